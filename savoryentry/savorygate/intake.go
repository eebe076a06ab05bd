package savorygate

// This file bounds what the gate holds for callers, and at its other listeners.

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"savorycart.example/savoryentry/savoryfront"
)

const (
	// refusalLogInterval is the time between two log lines with the number of refused callers.
	refusalLogInterval = 10 * time.Second
	// The listeners for operators and checks get small requests: toolHeaderBytes bounds the
	// header, toolReadTimeout the time to receive a request, toolIdleTimeout the wait for the next one.
	toolHeaderBytes = 8 << 10
	toolReadTimeout = 10 * time.Second
	toolIdleTimeout = time.Minute
)

// toolServer returns the server of a listener for operators or checks.
func toolServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: toolReadTimeout, IdleTimeout: toolIdleTimeout, MaxHeaderBytes: toolHeaderBytes,
	}
}

// prepareIntake makes the bounds that hold until a configuration is in force.
func (g *Gate) prepareIntake() {
	g.intake.OnRefuse = func(c savoryfront.Cause) { g.metrics.refusals.WithLabelValues(string(c)).Inc() }
	for _, c := range savoryfront.Causes() {
		g.metrics.refusals.WithLabelValues(string(c))
	}
	g.intake.MaxHeaderBytes = func() int {
		if cfg := g.config(); cfg != nil {
			return cfg.Limits.MaxHeaderBytes
		}
		return 0
	}
	g.intake.HeaderTimeout = func() time.Duration {
		if cfg := g.config(); cfg != nil {
			return cfg.Limits.HeaderTimeout
		}
		return 0
	}
	g.setIntake()
}

// setIntake derives the bounds from the settings and the configuration.
func (g *Gate) setIntake() {
	limits := g.Settings().Limits()
	limits.MaxBodyBytes = maxBodyBytes(g.config())
	if limits == g.intakeLimits {
		return
	}
	g.intakeLimits = limits
	bounds := limits.Bounds()
	g.intake.Configure(bounds)
	g.Log.WithFields(log.Fields{"budgetBytes": bounds.BudgetBytes, "connections": bounds.Connections, "peerConnections": bounds.PeerConnections}).Info("bounds for callers set")
	if field, err := limits.Check("MemoryBytes", "Descriptors", "Limits.MaxBodyBytes"); err != nil {
		g.Log.WithError(err).WithField("field", field).Warn("the VM does not support a limit")
	}
}

// updateIntake applies changed limits, and records what is held and who was refused.
func (g *Gate) updateIntake(now time.Time) {
	g.setIntake()
	g.metrics.heldBytes.Set(float64(g.intake.Used()))
	g.metrics.connections.Set(float64(g.openConns()))
	if now.Sub(g.refusalsLoggedAt) < refusalLogInterval {
		return
	}
	counts := g.intake.TakeCounts()
	if len(counts) == 0 {
		return
	}
	g.refusalsLoggedAt = now
	fields := log.Fields{"heldBytes": g.intake.Used(), "connections": g.openConns()}
	for cause, n := range counts {
		fields[string(cause)] = n
	}
	g.Log.WithFields(fields).Warn("callers refused")
}
