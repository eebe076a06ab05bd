package savorynode

// This file defines groupWriter, which batches the writes of several requests
// into one store call.

import (
	"context"

	"gopkg.in/tomb.v2"

	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savoryverdict"
)

// groupWriter batches the swaps that wait while store calls are in flight
// into the next call, so that the number of calls does not grow with the
// load.
type groupWriter struct {
	store *savorystore.Store
	queue chan *pendingSwap
}

type pendingSwap struct {
	swap   savorystore.Swap
	result savorystore.SwapResult
	err    error
	done   chan struct{}
}

// maxGroupCalls bounds the calls in flight.
const maxGroupCalls = 2

func newGroupWriter(store *savorystore.Store) *groupWriter {
	return &groupWriter{store: store, queue: make(chan *pendingSwap, poolQueue)}
}

// run starts the writers.
func (g *groupWriter) run(t *tomb.Tomb) {
	for range maxGroupCalls {
		t.Go(func() error {
			for {
				select {
				case first := <-g.queue:
					g.writeGroup(g.gather(first))
				case <-t.Dying():
					return nil
				}
			}
		})
	}
}

// write writes one swap as part of a group. If ctx ends, the error has the
// verdict NotRun while the swap is not queued yet, and MayHaveRun afterwards.
func (g *groupWriter) write(ctx context.Context, swap savorystore.Swap) (savorystore.SwapResult, error) {
	p := &pendingSwap{swap: swap, done: make(chan struct{})}
	select {
	case g.queue <- p:
	case <-ctx.Done():
		return savorystore.SwapResult{}, &savorystore.Error{Op: "txn", Verdict: savoryverdict.NotRun, Err: ctx.Err()}
	}
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		return savorystore.SwapResult{}, &savorystore.Error{Op: "txn", Verdict: savoryverdict.MayHaveRun, Err: ctx.Err()}
	}
}

// gather adds the queued swaps to the group of first, up to the limit of a
// store transaction. If a swap has the same key as another of the group,
// gather writes the group and starts a new one with that swap.
func (g *groupWriter) gather(first *pendingSwap) []*pendingSwap {
	group := []*pendingSwap{first}
	keys := map[string]bool{first.swap.Key: true}
	for len(group) < savorystore.MaxTxnOps {
		select {
		case p := <-g.queue:
			if keys[p.swap.Key] {
				g.writeGroup(group)
				return g.gather(p)
			}
			keys[p.swap.Key] = true
			group = append(group, p)
		default:
			return group
		}
	}
	return group
}

// writeGroup writes a group and passes each result to its waiter.
func (g *groupWriter) writeGroup(group []*pendingSwap) {
	swaps := make([]savorystore.Swap, len(group))
	for i, p := range group {
		swaps[i] = p.swap
	}
	results, err := g.store.SwapGroup(context.Background(), swaps)
	for i, p := range group {
		p.err = err
		if err == nil {
			p.result = results[i]
		}
		close(p.done)
	}
}
