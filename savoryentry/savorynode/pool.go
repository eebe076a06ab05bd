package savorynode

// This file defines the pool of workers for jobs in the background, and waits.

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	// poolWorkers is the number of jobs that run at a time.
	poolWorkers = 16
	// poolQueue is the number of jobs that may wait.
	poolQueue = 1024
)

// workerPool runs jobs that talk to peers and to backend servers in the
// background. A job that finds the queue full is dropped: each job is either
// repeated by a later round or a hint.
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

// submit queues a job if there is room.
func (p *workerPool) submit(job func()) {
	select {
	case p.jobs <- job:
	default:
	}
}

// sleepTomb waits for d and reports whether t still lives.
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

// sleepContext waits for d and reports whether ctx has not ended.
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
