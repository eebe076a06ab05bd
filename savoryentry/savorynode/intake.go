package savorynode

// This file bounds what the entry holds for callers, and at its other listeners.

import (
	"net/http"
	"time"

	"github.com/apex/log"
)

const (
	// receiveBufferBytes bounds the bytes of request bodies that a connection of
	// a caller holds before they are read (HTTP/2); the library's default is 1 MB.
	receiveBufferBytes = 64 << 10
	// refusalLogInterval is the time between two log lines with the number of
	// refused callers.
	refusalLogInterval = 10 * time.Second
	// adminReadTimeout bounds the time to receive an operator's request, which may
	// be a whole document; adminIdleTimeout is how long an idle connection stays open.
	adminReadTimeout = 30 * time.Second
	adminIdleTimeout = time.Minute
)

func (n *Node) adminServer() *http.Server {
	return &http.Server{
		Handler: n.admin.handler(), ReadHeaderTimeout: n.Settings.Callers.HeaderTimeout.AsDuration(),
		ReadTimeout: adminReadTimeout, IdleTimeout: adminIdleTimeout, MaxHeaderBytes: n.Settings.Callers.MaxHeaderBytes,
	}
}

// watchIntake records what is held for callers, and logs how many were refused.
func (n *Node) watchIntake() error {
	ticker := time.NewTicker(refusalLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		used := n.intake.Used()
		n.metrics.heldBytes.Set(float64(used))
		counts := n.intake.TakeCounts()
		if len(counts) == 0 {
			continue
		}
		fields := log.Fields{"heldBytes": used}
		for cause, count := range counts {
			fields[string(cause)] = count
		}
		n.Log.WithFields(fields).Warn("callers refused")
	}
}
