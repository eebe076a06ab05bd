// Package savorysite runs a small site in one process on loopback: a simulated
// platform, simulated model engines and plain services, and the entries that route
// requests to them.
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
	// BootstrapToken is the operator's token that submits the first document.
	BootstrapToken = "bootstrap-token"
	// ModelName is the name of the pipeline and of its model.
	ModelName = "shift-writer"
	// ModelVersion is the version of the model.
	ModelVersion = "v1"
	// Layers is the number of layers of the model.
	Layers = 12
	// Stages is the number of stages of the pipeline.
	Stages = 3
	// readyTimeout bounds the wait for a condition of the site.
	readyTimeout = 15 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// Site is a running site. The fields from Entries to WrapPeers and, optionally,
// Platform are set before Start, which sets the other exported fields.
type Site struct {
	// Entries is the number of entries, which are spread over the zones.
	Entries int
	// EnginesPerStage is the number of engines of each stage.
	EnginesPerStage int
	// ServiceServers is the number of servers of the dispatch service.
	ServiceServers int
	// Log receives the entries' logs.
	Log log.Interface
	// EditSettings, if not nil, changes the settings of each entry.
	EditSettings func(*savorynode.Settings)
	// EditDocument, if not nil, changes the document before it is submitted.
	EditDocument func(*savoryconfig.Document)
	// WrapCallers and WrapPeers, if not nil, wrap the listeners for callers and
	// for peers of each entry.
	WrapCallers func(net.Listener) net.Listener
	WrapPeers   func(net.Listener) net.Listener

	Platform        *savoryplatform.Platform
	Engines         []*savorymodel.Engine
	DispatchServers []*savoryservice.Service
	Nodes           []*Entry
	Document        *savoryconfig.Document

	platformAddress netip.AddrPort
	servers         []*http.Server
	freezable       []*freezableListener
	peerBytes       atomic.Int64
}

// Freeze makes all open connections to the platform, between entries and to backend
// servers unresponsive; new ones work. It returns their number.
func (s *Site) Freeze() int {
	n := 0
	for _, l := range s.freezable {
		n += l.freeze()
	}
	return n
}

// PeerBytes returns the bytes that entries exchanged with one another, counted once
// and including the framing of TLS, HTTP/2 and gRPC.
func (s *Site) PeerBytes() int64 { return s.peerBytes.Load() }

// Entry is one entry of a site with the addresses on which it listens.
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

// Start starts all components, submits the first document and waits until every
// entry has it in force and accepts idempotency keys.
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
	if s.EditDocument != nil {
		s.EditDocument(s.Document)
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
	return Eventually(readyTimeout, "every entry accepts idempotency keys", func() bool {
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

// Stop stops all components at once, without a drain.
func (s *Site) Stop() {
	for _, e := range s.Nodes {
		e.Kill()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// AddEntry starts an entry in a zone and adds its VM to the list.
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
		recorded *netip.AddrPort
	}{
		{&listeners.Callers, &settings.Callers.Address, &e.Callers},
		{&listeners.Peers, &settings.Peers.Address, &e.Peers},
		{&listeners.Admin, &settings.Admin.Address, &e.Admin},
	} {
		opened, address, err := listen()
		if err != nil {
			return nil, err
		}
		*l.listener, *l.address, *l.recorded = opened, address, address
	}
	if s.EditSettings != nil {
		s.EditSettings(settings)
	}
	if s.WrapCallers != nil {
		listeners.Callers = s.WrapCallers(listeners.Callers)
	}
	if s.WrapPeers != nil {
		listeners.Peers = s.WrapPeers(listeners.Peers)
	}
	freezable := newFreezableListener(listeners.Peers)
	s.freezable = append(s.freezable, freezable)
	listeners.Peers = &countingListener{Listener: freezable, bytes: &s.peerBytes}
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

// Kill stops the entry at once, like a failure of its VM.
func (e *Entry) Kill() {
	e.cancel()
	_ = e.wait()
}

// wait waits until the entry has stopped and returns its error. It may be called
// repeatedly.
func (e *Entry) wait() error {
	err := <-e.done
	e.done <- err
	return err
}

// Drain drains the entry and waits until it has stopped.
func (e *Entry) Drain() error {
	e.Node.Drain()
	return e.wait()
}

// WaitRevision waits until revision or a later one is in force at every entry.
func (s *Site) WaitRevision(revision uint64) error {
	return Eventually(readyTimeout, fmt.Sprintf("revision %d in force at every entry", revision), func() bool {
		for _, e := range s.Nodes {
			if e.Node.Revision() < revision {
				return false
			}
		}
		return true
	})
}

// Eventually waits until condition returns true. After the timeout it returns an
// error that contains description.
func Eventually(timeout time.Duration, description string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("condition not met within %s: %s", timeout, description)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// Operator returns a client for operators of the entry, authorized by token.
func (e *Entry) Operator(token string) *savoryadmin.Client {
	return &savoryadmin.Client{Entry: e.Admin, Token: token}
}

// Submit submits a section of doc that was read at readRevision and returns the
// accepted revision.
func (e *Entry) Submit(ctx context.Context, section savoryconfig.Section, team string, readRevision uint64, doc *savoryconfig.Document) (uint64, error) {
	text, err := doc.ExtractSection(section).EncodeTOML()
	if err != nil {
		return 0, err
	}
	accepted, err := e.Operator(TeamToken(team)).Submit(ctx, section, readRevision, rand.Text(), text)
	return accepted.Revision, err
}

// bootstrap submits the first document, and repeats the call until an entry accepts
// it.
func (s *Site) bootstrap() error {
	text, err := s.Document.EncodeTOML()
	if err != nil {
		return err
	}
	submission := rand.Text()
	var last error
	wait := Eventually(readyTimeout, "first document accepted", func() bool {
		_, last = s.Nodes[0].Operator(BootstrapToken).Bootstrap(context.Background(), submission, text)
		return last == nil
	})
	return errors.Join(wait, last)
}

// startEngines starts the engines of three stages on different accelerators.
func (s *Site) startEngines() error {
	stages := []savoryworld.LayerRange{{From: 0, To: 5}, {From: 5, To: 9}, {From: 9, To: Layers}}
	for i, layers := range stages {
		for j := range s.EnginesPerStage {
			accelerator := s.Document.Accelerators[(i+j)%len(s.Document.Accelerators)]
			name := fmt.Sprintf("engine-%d%c", i, 'a'+j)
			engine := &savorymodel.Engine{
				Name: name, Accelerator: accelerator, ChecksFence: true,
				InitialAssignment: savoryengine.Assignment{Model: ModelName, Version: ModelVersion, Layers: layers},
			}
			address, err := s.serve(engine.Handler())
			if err != nil {
				return err
			}
			s.Engines = append(s.Engines, engine)
			s.Document.BackendServers = append(s.Document.BackendServers, savoryworld.BackendServer{
				Name: name, Address: address, Zone: Zones()[j%len(Zones())],
				Model: ModelName, Version: ModelVersion, Layers: layers, Accelerator: accelerator.Name,
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
		s.DispatchServers = append(s.DispatchServers, service)
		s.Document.BackendServers = append(s.Document.BackendServers, savoryworld.BackendServer{
			Name: name, Address: address, Zone: Zones()[i%len(Zones())], Service: "dispatch",
		})
	}
	return nil
}

// Engine returns the engine with the name, or nil.
func (s *Site) Engine(name string) *savorymodel.Engine {
	for _, e := range s.Engines {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// Executed returns the number of executions of requests with an idempotency key,
// over all servers of the dispatch service.
func (s *Site) Executed(key string) int {
	total := 0
	for _, d := range s.DispatchServers {
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
	freezable := newFreezableListener(l)
	s.servers = append(s.servers, server)
	s.freezable = append(s.freezable, freezable)
	go func() { _ = server.Serve(freezable) }()
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

// Digest returns the SHA-256 digest of a key or token in hexadecimal.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// TeamToken returns the token of a team of the site.
func TeamToken(team string) string { return team + "-token" }

// CustomerKey returns the API key of a customer of the site.
func CustomerKey(customer string) string { return customer + "-key" }
