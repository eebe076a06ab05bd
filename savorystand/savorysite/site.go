// Package savorysite runs a whole small site in one process on loopback: the
// stand-ins of the platform, of model engines and of plain services, and the
// entries in front of them.
package savorysite

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryadmin"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savoryentry/savorynode"
	"savorycart.example/savorystand/savorymodel"
	"savorycart.example/savorystand/savoryplatform"
	"savorycart.example/savorystand/savoryservice"
)

const (
	// BootstrapToken submits the first document.
	BootstrapToken = "bootstrap-token"
	// ModelName is the name of the pipeline and of its model.
	ModelName = "shift-writer"
	// ModelVersion is the version of the model.
	ModelVersion = "v1"
	// Layers is the number of layers of the model.
	Layers = 12
	// Stages is the number of stages of the pipeline.
	Stages = 3
	// readyTimeout bounds the wait until the site serves.
	readyTimeout = 15 * time.Second
	// pollInterval is the time between two looks at a condition.
	pollInterval = 20 * time.Millisecond
)

// Site is a running site. Its exported fields are set before Start.
type Site struct {
	// Entries is the number of entries, spread over the zones.
	Entries int
	// EnginesPerStage is the number of engines for each stage.
	EnginesPerStage int
	// ServiceServers is the number of servers of each plain service.
	ServiceServers int
	// Log receives the entries' logs.
	Log log.Interface
	// Tune, if set, changes the settings of each entry.
	Tune func(*savorynode.Settings)
	// Edit, if set, changes the document before it is submitted.
	Edit func(*savoryconfig.Document)

	Platform *savoryplatform.Platform
	Engines  []*savorymodel.Engine
	Dispatch []*savoryservice.Service
	Nodes    []*Entry
	Document *savoryconfig.Document

	platformAddress netip.AddrPort
	servers         []*http.Server
	freezing        []*freezingListener
	peerBytes       atomic.Int64
}

// Freeze makes all open connections to the platform, between entries and to
// backend servers silent, while new ones work. It returns their number.
func (s *Site) Freeze() int {
	n := 0
	for _, l := range s.freezing {
		n += l.freeze()
	}
	return n
}

// PeerBytes returns the bytes that entries exchanged with one another, framing
// of TLS, HTTP/2 and gRPC included, counted once.
func (s *Site) PeerBytes() int64 { return s.peerBytes.Load() }

// Entry is one entry of a site.
type Entry struct {
	Node    *savorynode.Node
	Callers netip.AddrPort
	Peers   netip.AddrPort
	Admin   netip.AddrPort

	cancel context.CancelFunc
	done   chan error
}

// Zones returns the availability zones of the site.
func Zones() []string { return []string{"limpopo-a", "limpopo-b", "limpopo-c"} }

// Start starts all parts and submits the first document.
func (s *Site) Start() error {
	if s.Platform == nil {
		s.Platform = new(savoryplatform.Platform)
	}
	var err error
	if s.platformAddress, err = s.serve(s.Platform.Handler()); err != nil {
		return err
	}
	s.Document = baseDocument()
	if err := s.startEngines(); err != nil {
		return err
	}
	if err := s.startServices(); err != nil {
		return err
	}
	if s.Edit != nil {
		s.Edit(s.Document)
	}
	for i := range s.Entries {
		if _, err := s.AddEntry(Zones()[i%len(Zones())]); err != nil {
			return err
		}
	}
	if err := s.bootstrap(); err != nil {
		return err
	}
	if err := s.WaitRevision(1); err != nil {
		return err
	}
	return Eventually(readyTimeout, "every entry takes idempotency keys", func() bool {
		for _, e := range s.Nodes {
			status, err := e.Operator("").Status(context.Background())
			if err != nil || !status.Keys {
				return false
			}
		}
		return true
	})
}

// Store returns a client of the platform's store.
func (s *Site) Store() *savorystore.Store {
	return &savorystore.Store{Address: s.platformAddress, Timeout: readyTimeout}
}

// Stop ends all parts at once.
func (s *Site) Stop() {
	for _, e := range s.Nodes {
		e.Kill()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// AddEntry starts an entry in a zone and lists its VM.
func (s *Site) AddEntry(zone string) (*Entry, error) {
	settings := savorynode.DefaultSettings()
	settings.Zone = zone
	settings.Region = "limpopo"
	settings.PlainText = true
	settings.Stop.NoticeTime = savoryworld.Duration(200 * time.Millisecond)
	settings.Admin.BootstrapTokenSHA256 = Digest(BootstrapToken)
	settings.Platform.Store = s.platformAddress
	settings.Platform.VMList = s.platformAddress
	e := new(Entry)
	var listeners savorynode.Listeners
	for _, l := range []struct {
		listener *net.Listener
		address  *netip.AddrPort
		copy     *netip.AddrPort
	}{
		{&listeners.Callers, &settings.Callers.Address, &e.Callers},
		{&listeners.Peers, &settings.Peers.Address, &e.Peers},
		{&listeners.Admin, &settings.Admin.Address, &e.Admin},
	} {
		opened, address, err := listen()
		if err != nil {
			return nil, err
		}
		*l.listener, *l.address, *l.copy = opened, address, address
	}
	if s.Tune != nil {
		s.Tune(settings)
	}
	freezing := newFreezingListener(listeners.Peers)
	s.freezing = append(s.freezing, freezing)
	listeners.Peers = &countingListener{Listener: freezing, bytes: &s.peerBytes}
	e.Node = &savorynode.Node{Settings: settings, Log: s.Log.WithField("entry", e.Peers), Listeners: listeners}
	s.Nodes = append(s.Nodes, e)
	s.Platform.SetVM(savoryworld.VM{Address: e.Peers, Zone: zone, Region: "limpopo", State: savoryworld.VMLive, Entry: true})
	e.start()
	return e, nil
}

func (e *Entry) start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.done = make(chan error, 1)
	go func() { e.done <- e.Node.Run(ctx) }()
}

// Kill ends the entry at once, as when its VM vanishes.
func (e *Entry) Kill() {
	e.cancel()
	_ = e.wait()
}

// wait waits until the entry has left.
func (e *Entry) wait() error {
	err := <-e.done
	e.done <- err
	return err
}

// Drain stops the entry as planned and waits until it has left.
func (e *Entry) Drain() error {
	e.Node.Drain()
	return e.wait()
}

// WaitRevision waits until a revision, or a later one, is in force everywhere.
func (s *Site) WaitRevision(revision uint64) error {
	return Eventually(readyTimeout, fmt.Sprintf("revision %d in force everywhere", revision), func() bool {
		for _, e := range s.Nodes {
			if e.Node.Revision() < revision {
				return false
			}
		}
		return true
	})
}

// Eventually waits until condition holds; after the timeout it is an error.
func Eventually(timeout time.Duration, what string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %s: %s", timeout, what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// Operator returns the client of an entry's operators' listener with a token.
func (e *Entry) Operator(token string) *savoryadmin.Client {
	return &savoryadmin.Client{Entry: e.Admin, Token: token}
}

// Submit submits a section of doc that was read at a revision and returns the
// accepted revision.
func (e *Entry) Submit(ctx context.Context, section savoryconfig.Section, team string, read uint64, doc *savoryconfig.Document) (uint64, error) {
	text, err := doc.ExtractSection(section).EncodeTOML()
	if err != nil {
		return 0, err
	}
	accepted, err := e.Operator(TeamToken(team)).Submit(ctx, section, read, rand.Text(), text)
	return accepted.Revision, err
}

// bootstrap submits the first document once an entry answers.
func (s *Site) bootstrap() error {
	text, err := s.Document.EncodeTOML()
	if err != nil {
		return err
	}
	submission := rand.Text()
	var last error
	wait := Eventually(readyTimeout, "the first document accepted", func() bool {
		_, last = s.Nodes[0].Operator(BootstrapToken).Bootstrap(context.Background(), submission, text)
		return last == nil
	})
	return errors.Join(wait, last)
}

// startEngines starts the engines of three stages on mixed accelerators.
func (s *Site) startEngines() error {
	stages := []savoryworld.LayerRange{{From: 0, To: 5}, {From: 5, To: 9}, {From: 9, To: Layers}}
	for i, layers := range stages {
		for j := range s.EnginesPerStage {
			kind := s.Document.Accelerators[(i+j)%len(s.Document.Accelerators)]
			name := fmt.Sprintf("engine-%d%c", i, 'a'+j)
			engine := &savorymodel.Engine{
				Name: name, Accelerator: kind, ChecksFence: true,
				InitialAssignment: savoryengine.Assignment{Model: ModelName, Version: ModelVersion, Layers: layers},
			}
			address, err := s.serve(engine.Handler())
			if err != nil {
				return err
			}
			s.Engines = append(s.Engines, engine)
			s.Document.BackendServers = append(s.Document.BackendServers, savoryworld.BackendServer{
				Name: name, Address: address, Zone: Zones()[j%len(Zones())],
				Model: ModelName, Version: ModelVersion, Layers: layers, Accelerator: kind.Name,
			})
		}
	}
	return nil
}

func (s *Site) startServices() error {
	for i := range s.ServiceServers {
		name := fmt.Sprintf("dispatch-%d", i)
		service := &savoryservice.Service{Name: name}
		address, err := s.serve(service)
		if err != nil {
			return err
		}
		s.Dispatch = append(s.Dispatch, service)
		s.Document.BackendServers = append(s.Document.BackendServers, savoryworld.BackendServer{
			Name: name, Address: address, Zone: Zones()[i%len(Zones())], Service: "dispatch",
		})
	}
	return nil
}

// Engine returns the engine of the name, or nil.
func (s *Site) Engine(name string) *savorymodel.Engine {
	for _, e := range s.Engines {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// Executed returns how often requests with an idempotency key were carried out
// by all servers of the dispatch service.
func (s *Site) Executed(key string) int {
	total := 0
	for _, d := range s.Dispatch {
		total += d.Executed(key)
	}
	return total
}

func (s *Site) serve(handler http.Handler) (netip.AddrPort, error) {
	l, address, err := listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readyTimeout}
	freezing := newFreezingListener(l)
	s.servers = append(s.servers, server)
	s.freezing = append(s.freezing, freezing)
	go func() { _ = server.Serve(freezing) }()
	return address, nil
}

func listen() (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	address, err := netip.ParseAddrPort(l.Addr().String())
	return l, address, err
}

// Digest returns the SHA-256 digest of a key or token in hex.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// TeamToken returns the token of a team of the site.
func TeamToken(team string) string { return team + "-token" }

// CustomerKey returns the key of a customer of the site.
func CustomerKey(customer string) string { return customer + "-key" }
