package savorynode

// This file defines how the spreader follows the platform's store and VM list.

import (
	"context"
	"strings"
	"time"

	"gopkg.in/tomb.v2"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savoryworld"
)

// pollLoop reads the root from time to time: a watcher often, since it finds
// what a silent watch does not tell, the others seldom, in case no watcher is
// left in their zone.
func (s *gossiper) pollLoop(t *tomb.Tomb) error {
	var polledAt time.Time
	seen := make(map[string]int64)
	for {
		now := s.now()
		if s.isWatcher() || s.keeper.revision() == 0 || now.Sub(polledAt) >= otherPollInterval {
			s.poll(t.Context(context.Background()), seen)
			polledAt = now
		}
		if !sleepTomb(t, watcherPollInterval) {
			return nil
		}
	}
}

// poll looks at the revisions of the root and the marks in the store, and reads
// those that changed since the last look.
func (s *gossiper) poll(ctx context.Context, seen map[string]int64) {
	keys, err := s.store.List(ctx, watchedPrefix)
	if err != nil {
		return
	}
	s.storeContactAt.Store(s.now().UnixNano())
	var changed []string
	for _, key := range keys {
		if key.Revision != seen[key.Key] {
			changed = append(changed, key.Key)
		}
	}
	if len(changed) == 0 {
		return
	}
	values, err := s.store.GetMany(ctx, changed)
	if err != nil {
		return
	}
	for _, v := range values {
		if s.applyWatched(ctx, v) {
			seen[v.Key] = v.Revision
		}
	}
}

// applyStoredRoot puts a root read from the store in force and hands it on. If the
// store was set back to an older one it is healed. It reports whether the root
// need not be read again.
func (s *gossiper) applyStoredRoot(ctx context.Context, root *savoryconfig.Root) bool {
	if root.Revision < s.keeper.revision() {
		return s.restoreStore(ctx)
	}
	fresh, err := s.keeper.apply(root, nil, s.config.fetch(ctx), "store")
	if err != nil {
		s.log.WithError(err).Error("revision refused")
		return false
	}
	if fresh {
		s.announceRevision(ctx)
	}
	return true
}

// restoreStore writes the root in force over an older one in the store. It reports
// whether the store is known to hold it.
func (s *gossiper) restoreStore(ctx context.Context) bool {
	restored, err := s.config.restoreRoot(ctx, s.keeper)
	if err != nil {
		s.log.WithError(err).Warn("store not healed")
		return false
	}
	if restored {
		s.log.WithField("revision", s.keeper.revision()).Error("the store showed an older revision; the one in force was written over it")
	}
	return true
}

func (s *gossiper) applyStoredMark(ctx context.Context, v savorystore.Value) {
	mark, err := decodeMark(v.Body)
	if err != nil {
		s.log.WithError(err).WithField("key", v.Key).Error("mark refused")
		return
	}
	s.announceMarks(ctx, []savorymember.Mark{mark})
}

// watchLoop holds a watch while the entry is a watcher.
func (s *gossiper) watchLoop(t *tomb.Tomb) error {
	for {
		if s.isWatcher() {
			s.watch(t)
		}
		if !sleepTomb(t, watchRetryDelay) {
			return nil
		}
	}
}

// watch follows changes until the watch breaks or the entry is no longer a
// watcher.
func (s *gossiper) watch(t *tomb.Tomb) {
	ctx, cancel := context.WithCancel(t.Context(context.Background()))
	defer cancel()
	go func() {
		for s.isWatcher() && sleepContext(ctx, watcherPollInterval) {
		}
		cancel()
	}()
	err := s.store.Watch(ctx, watchedPrefix, 0, func(v savorystore.Value) { _ = s.applyWatched(ctx, v) })
	if err != nil && ctx.Err() == nil {
		s.log.WithError(err).Warn("watch broken")
	}
}

// applyWatched takes a applyWatched key and reports whether it need not be read again.
func (s *gossiper) applyWatched(ctx context.Context, v savorystore.Value) bool {
	s.storeContactAt.Store(s.now().UnixNano())
	switch {
	case v.Body == nil:
		return true
	case v.Key == rootKey:
		root, err := savoryconfig.DecodeRoot(v.Body)
		if err != nil {
			s.log.WithError(err).Error("root refused")
			return true
		}
		return s.applyStoredRoot(ctx, root)
	case strings.HasPrefix(v.Key, markPrefix):
		s.applyStoredMark(ctx, v)
	}
	return true
}

func (s *gossiper) isWatcher() bool {
	watcher := false
	s.tables.members.with(func(m *memberState) { watcher = m.table.IsWatcher(s.now()) })
	return watcher
}

// listLoop reads the entries, and in a watcher the backend servers' VMs of the
// own zone.
func (s *gossiper) listLoop(t *tomb.Tomb) error {
	for {
		ctx := t.Context(context.Background())
		s.readEntries(ctx)
		interval := otherListInterval
		if s.isWatcher() {
			s.readWorkers(ctx)
			interval = watcherListInterval
		}
		if !sleepTomb(t, interval) {
			return nil
		}
	}
}

// readEntries reads which entries the platform lists.
func (s *gossiper) readEntries(ctx context.Context) {
	vms, err := s.entryVMs.Read(ctx)
	if err != nil {
		s.log.WithError(err).Debug("VM list not read")
		return
	}
	s.tables.setListedVMs(vms, s.now())
	others := 0
	for _, vm := range vms {
		if vm.Address != s.self.Address {
			others++
		}
	}
	s.listedPeers.Store(int64(others))
}

// readWorkers marks the backend servers of the own zone whose VMs leave.
func (s *gossiper) readWorkers(ctx context.Context) {
	vms, err := s.workerVMs.Read(ctx)
	if err != nil {
		s.log.WithError(err).Debug("VM list not read")
		return
	}
	var marks []savorymember.Mark
	for _, vm := range vms {
		if mark, ok := s.leavingMark(vm, s.now()); ok {
			marks = append(marks, mark)
		}
	}
	s.announceMarks(ctx, marks)
}

// leavingMark returns the mark for a backend server's VM that is leaving. A mark
// that is in force is renewed only near its end.
func (s *gossiper) leavingMark(vm savoryworld.VM, now time.Time) (savorymember.Mark, bool) {
	snapshot := s.keeper.snapshot()
	if snapshot == nil || vm.State != savoryworld.VMLeaving {
		return savorymember.Mark{}, false
	}
	server := snapshot.ServerByAddress(vm.Address)
	if server == nil {
		return savorymember.Mark{}, false
	}
	mark := savorymember.Mark{Server: server.Name, Source: savorymember.FromVMList, Leaving: true, At: now}
	due := false
	s.tables.members.with(func(m *memberState) { due = m.marks.NeedsRenewal(mark) })
	return mark, due
}
