package main

// This file defines the measurement of the size of single calls and of the encoded
// root.

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savoryvmlist"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savorystand/savorymodel"
	"savorycart.example/savorystand/savoryplatform"
	"savorycart.example/savorystand/savorysite"
)

const (
	// messageTimeout bounds one call.
	messageTimeout = 2 * time.Second
	// messageSettleDelay is the wait before and after a call, so that all of its
	// bytes are counted and none of the previous call's.
	messageSettleDelay = 50 * time.Millisecond
	// rootChanges is the number of changes before the root's size is measured,
	// changeInterval the time between them: the target's rate of one in 15.4 s.
	rootChanges    = 40
	changeInterval = 15400 * time.Millisecond
)

// measureMessages prints the bytes, in both directions, of the calls that
// docs/CAPACITY.md counts.
func measureMessages() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CALL\tBYTES")
	platform := new(savoryplatform.Platform)
	address, bytes, err := serveCounted(platform.Handler())
	if err != nil {
		return err
	}
	for i := range targetNodes {
		platform.SetVM(savoryworld.VM{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 250), byte(1 + i%250)}), 7081),
			Zone:    zoneName(i % targetZones), Region: "region-0", State: savoryworld.VMLive, Entry: true,
		})
	}
	ctx := context.Background()
	vms := &savoryvmlist.Client{Address: address, Timeout: messageTimeout, Filter: savoryvmlist.Filter{Role: savoryvmlist.RoleEntry}}
	store := &savorystore.Store{Address: address, Timeout: messageTimeout}
	const key = "savorycart/watched/root"
	if err := store.PutMany(ctx, []savorystore.Value{{Key: key, Body: []byte("x")}}); err != nil {
		return err
	}
	engine := &savorymodel.Engine{Name: "worker-00001", InitialAssignment: savoryengine.Assignment{Model: "model-0", Version: "v1", Layers: savoryworld.LayerRange{To: 16}}}
	engineAddress, engineBytes, err := serveCounted(engine.Handler())
	if err != nil {
		return err
	}
	engines := &savoryengine.Client{Transport: &http.Transport{DisableKeepAlives: true}, CallTimeout: messageTimeout}
	for _, m := range []struct {
		name  string
		bytes *atomic.Int64
		call  func() error
	}{
		{"list of 860 entries", bytes, func() error { _, err := vms.Read(ctx); return err }},
		{"list unchanged", bytes, func() error { _, err := vms.Read(ctx); return err }},
		{"read of the store's revisions", bytes, func() error { _, err := store.List(ctx, key); return err }},
		{"status of an engine", engineBytes, func() error { _, err := engines.Status(ctx, engineAddress); return err }},
	} {
		time.Sleep(messageSettleDelay)
		m.bytes.Store(0)
		if err := m.call(); err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
		time.Sleep(messageSettleDelay)
		fmt.Fprintf(w, "%s\t%d\n", m.name, m.bytes.Load())
	}
	root, err := changedRoot()
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "root after %d changes, in base64\t%d\n", rootChanges, (len(root)+2)/3*4)
	return w.Flush()
}

// serveCounted serves handler on loopback until the process ends and returns its
// address and the count of its bytes.
func serveCounted(handler http.Handler) (netip.AddrPort, *atomic.Int64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, fmt.Errorf("listen: %w", err)
	}
	bytes := new(atomic.Int64)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(savorysite.CountBytes(l, bytes)) }()
	address, err := netip.ParseAddrPort(l.Addr().String())
	return address, bytes, err
}

// changedRoot returns the encoded root after the first document and rootChanges-1
// changes of single customers.
func changedRoot() ([]byte, error) {
	doc := largeDocument(targetWorkers/10, targetCustomers/10)
	root := new(savoryconfig.Root)
	now := time.Unix(1000, 0)
	for i := range rootChanges {
		change := savoryconfig.Change{SubmissionID: fmt.Sprintf("%026d", i)}
		for _, s := range savoryconfig.Sections() {
			if i > 0 && s != savoryconfig.Customers {
				continue
			}
			sectionChange, err := savoryconfig.NewSectionChange(root, doc, s, root.Section(s).Revision, change.SubmissionID)
			if err != nil {
				return nil, err
			}
			change.SectionChanges = append(change.SectionChanges, sectionChange)
		}
		next, err := root.Apply(change, now)
		if err != nil {
			return nil, err
		}
		root = next
		now = now.Add(changeInterval)
		doc.Customers[i].Contract.Concurrency++
	}
	return savoryconfig.EncodeRoot(root)
}
