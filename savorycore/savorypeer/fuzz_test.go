package savorypeer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorylimit"
	"savorycart.example/savorycore/savorymember"
)

func sampleMessages() []message {
	address := netip.MustParseAddrPort("127.0.0.1:7081")
	return []message{
		&Heartbeat{Address: address, Zone: "a", Region: "r", Revision: 7, Demands: []savorylimit.Demand{{Customer: "c", Rate: 2}}},
		&Offer{From: address, Marks: []savorymember.Mark{{Server: "s", Source: savorymember.FromOperator, Leaving: true, At: time.Unix(5, 0)}}},
		&State{Steps: []savoryconfig.Step{{Delta: savoryconfig.Delta{
			Base: 3, Sections: []savoryconfig.SectionDelta{{Section: savoryconfig.Routes, Count: 1}},
		}}}},
		&Fetch{Config: true, Since: 2, Buckets: []savoryconfig.BucketID{{1, 2}}},
		&Ack{Revision: 3},
	}
}

// Guards against a field that the codec loses: each message must be equal to
// its original after encoding and decoding.
func TestMessagesSurviveCodec(t *testing.T) {
	is := is.New(t)
	for _, m := range sampleMessages() {
		body, err := codec{}.Marshal(m)
		is.NoErr(err)
		switch m := m.(type) {
		case *Heartbeat:
			got := new(Heartbeat)
			is.NoErr(codec{}.Unmarshal(body, got))
			is.Equal(got, m)
		case *Offer:
			got := new(Offer)
			is.NoErr(codec{}.Unmarshal(body, got))
			is.Equal(got, m)
		}
	}
}

// Guards against a decoded message that breaks the rules of its Check method,
// which a broken or malicious peer could send. Unmarshal must refuse such
// bytes.
func FuzzUnmarshal(f *testing.F) {
	for i, m := range sampleMessages() {
		body, err := codec{}.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(i, body)
	}
	f.Fuzz(func(t *testing.T, kind int, body []byte) {
		targets := []message{new(Heartbeat), new(Offer), new(Ack), new(Fetch), new(State)}
		m := targets[uint(kind)%uint(len(targets))]
		if err := (codec{}).Unmarshal(body, m); err != nil {
			return
		}
		if err := m.Check(); err != nil {
			t.Fatalf("accepted %T that fails its check: %v", m, err)
		}
	})
}
