package savoryrouting

import (
	"testing"
	"time"

	"savorycart.example/savorycore/savorygolden"
)

func TestGolden(t *testing.T) {
	// A renamed field without a tag, or an enum with another text, changes the bytes
	// that entries exchange. A process of another build then reads zero values.
	savorygolden.Texts(t, "kind", Idempotent, NonIdempotent, Streaming)
	savorygolden.Check(t, savorygolden.MessagePack, []savorygolden.Case{{Name: "config", Value: &Config{
		Version: 9,
		Routes: []Route{{
			Name: "planks", Host: "timber.example", Prefix: "/planks/", Kind: Streaming, Timeout: 30 * time.Second,
			Objective: 2 * time.Second, GapObjective: 300 * time.Millisecond, Priority: 2,
			Shares: []Share{{Service: "timber", Weight: 7}}, Attempts: 3, Open: true, Resumable: true,
		}},
		Services: []Service{{
			Name: "timber", HealthPath: "/health", MaxConnections: 64,
			Engine: &Engine{
				Model: "saw", Layers: 24, LayerMB: 120.5, TokenBytes: 4096, TokenRoom: 9000, Slots: 8,
				StepTime: 5 * time.Millisecond, RequestTime: 6 * time.Microsecond, ContextTime: 7 * time.Microsecond,
				ReadPerSecond: 1500.5, ReadChunk: 256, Stride: 2, LoadTime: 11 * time.Second, LoadsAtOnce: 3,
				ActivationBytes: 8192, PipeMbps: 950.5, UsualPrompt: 400, UsualAnswer: 120,
				Accelerators: []Accelerator{{Name: "small", MemoryMB: 2000.5, StepFactor: 1.5, ReadFactor: 1.25}},
				ReportLag:    250 * time.Millisecond,
			},
		}},
		Limits:    Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute},
		Customers: []Customer{{Name: "joiner", KeySHA256: []string{"aabb"}, Priority: new(1)}},
	}}})
}
