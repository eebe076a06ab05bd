package savorynode

// This file defines the worker pool for background jobs, and cancelable sleeps.

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	// poolWorkers is the number of workers.
	poolWorkers = 16
	// poolQueue is the length of the job queue.
	poolQueue = 1024
)

// workerPool runs background jobs that call peers and backend servers. A job
// is dropped if the queue is full: each job is either repeated in a later
// round or optional.
type workerPool struct {
	jobs chan func()
}

func newWorkerPool() *workerPool {
	return &workerPool{jobs: make(chan func(), poolQueue)}
}

// run starts the workers.
func (p *workerPool) run(t *tomb.Tomb) {
	for range poolWorkers {
		t.Go(func() error {
			for {
				select {
				case job := <-p.jobs:
					job()
				case <-t.Dying():
					return nil
				}
			}
		})
	}
}

// submit queues a job, or drops it if the queue is full.
func (p *workerPool) submit(job func()) {
	select {
	case p.jobs <- job:
	default:
	}
}

// sleepTomb waits for d. It returns false at once if t begins to die.
func sleepTomb(t *tomb.Tomb, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.Dying():
		return false
	}
}

// sleepContext waits for d. It returns false at once if ctx ends.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
