package savorynode

// This file defines how gossiper follows the platform's store and VM list.

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

// pollLoop polls the store. A watcher polls every watcherPollInterval, to
// find changes that a stalled watch does not report. Other entries poll every
// otherPollInterval, in case their zone has no watcher. An entry without a
// configuration polls like a watcher.
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

// poll lists the revisions of the watched keys and reads the keys that
// changed since the last poll. seen holds the last revision of each key that
// was applied.
func (s *gossiper) poll(ctx context.Context, seen map[string]int64) {
	keys, err := s.store.List(ctx, watchedPrefix)
	if err != nil {
		return
	}
	s.storeContactAt.Store(s.now())
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

// applyStoredRoot puts a root from the store in force and announces it. If
// the root is older than the one in force, it restores the store. It returns
// false if the root must be read again.
func (s *gossiper) applyStoredRoot(ctx context.Context, root *savoryconfig.Root) bool {
	if root.Revision < s.keeper.revision() {
		return s.restoreStore(ctx)
	}
	fresh, err := s.keeper.apply(root, nil, s.config.fetch(ctx), "store")
	if err != nil {
		s.log.WithError(err).Error("cannot apply the revision of the store")
		return false
	}
	if fresh {
		s.announceRevision(ctx)
	}
	return true
}

// restoreStore writes the root in force to a store that holds an older one.
// It returns false if the write failed.
func (s *gossiper) restoreStore(ctx context.Context) bool {
	restored, err := s.config.restoreRoot(ctx, s.keeper)
	if err != nil {
		s.log.WithError(err).Warn("store not restored to the revision in force")
		return false
	}
	if restored {
		s.log.WithField("revision", s.keeper.revision()).Error("older revision in the store was replaced by the revision in force")
	}
	return true
}

func (s *gossiper) applyStoredMark(ctx context.Context, v savorystore.Value) {
	mark, err := decodeMark(v.Body)
	if err != nil {
		s.log.WithError(err).WithField("key", v.Key).Error("cannot decode the leaving mark")
		return
	}
	s.announceMarks(ctx, []savorymember.Mark{mark})
}

// watchLoop keeps a watch open while the entry is a watcher.
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

// watch applies changes until the watch fails or the entry is no longer a
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
		s.log.WithError(err).Warn("watch failed")
	}
}

// applyWatched applies the value of a watched key. It returns false if the
// key must be read again.
func (s *gossiper) applyWatched(ctx context.Context, v savorystore.Value) bool {
	s.storeContactAt.Store(s.now())
	switch {
	case v.Body == nil:
		return true
	case v.Key == rootKey:
		root, err := savoryconfig.DecodeRoot(v.Body)
		if err != nil {
			s.log.WithError(err).Error("cannot decode the configuration root")
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

// listLoop reads the list of entries. In a watcher it also reads the list of
// this zone's worker VMs.
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

// readEntries updates the tables from the platform's list of entries.
func (s *gossiper) readEntries(ctx context.Context) {
	vms, err := s.entryVMs.Read(ctx)
	if err != nil {
		s.log.WithError(err).Debug("cannot read the VM list")
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

// readWorkers announces marks for the backend servers of this zone whose VMs
// are leaving.
func (s *gossiper) readWorkers(ctx context.Context) {
	vms, err := s.workerVMs.Read(ctx)
	if err != nil {
		s.log.WithError(err).Debug("cannot read the VM list")
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

// leavingMark returns the mark for a backend server whose VM is leaving, and
// whether it must be announced. A mark that is still in force is renewed only
// near its expiry.
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
