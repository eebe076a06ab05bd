package savorypeer

import (
	"crypto/sha256"
	"net/netip"
	"testing"
	"time"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryecho"
	"savorycart.example/savorycore/savorygolden"
	"savorycart.example/savorycore/savorylimit"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savoryquarantine"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryworld"
)

func TestGolden(t *testing.T) {
	part := savoryquarantine.Part{Service: "timber", Model: "m", ID: "5c1e07a2"}
	quarantine := &savoryquarantine.State{
		Ends: []savoryquarantine.End{{
			Server: savoryquarantine.Server{ID: "oak-1", Born: time.Date(2026, 3, 4, 5, 6, 7, 8000000, time.UTC), Address: netip.MustParseAddrPort("10.0.0.1:8001")},
			Age:    time.Second, Parts: []savoryquarantine.Implicated{{Part: part, Begun: true, Depth: 1, Owners: []uint64{7}}},
		}},
		Sound:  []savoryquarantine.Sound{{Part: part, Age: time.Second}},
		Blames: []savoryquarantine.Blame{{Part: part, Age: 3 * time.Second, Ends: 3, Entry: "entry-1", Trials: 2, TrialAge: time.Second, Asked: 1}},
	}
	// Guards against a change of the bytes that peers exchange, such as by a
	// renamed field without a tag or an enum with another text. A process of
	// another build would read zero values.
	savorygolden.Texts(t, "method", codecName, serviceName, methodExchange, methodOffer, methodFetch, methodSync, methodConfigPart)
	at := time.Date(2026, 3, 4, 5, 6, 7, 8000000, time.UTC)
	address := netip.MustParseAddrPort("10.0.0.1:7001")
	layers := savoryworld.LayerRange{From: 3, To: 12}
	marks := []savorymember.Mark{{Server: "oak-1", Source: savorymember.FromVMList, Leaving: true, At: at}}
	// The ID of a bucket begins with the digest of its content.
	bucket := savoryconfig.Bucket{Body: []byte("body")}
	sum := sha256.Sum256(bucket.Body)
	copy(bucket.ID[:], sum[:16])
	copy(bucket.ID[16:], "name")
	buckets := []savoryconfig.Bucket{bucket}
	entry := Entry{Address: address, Zone: "north-1", Strength: 1.5}
	messages := savorygolden.MessagePack
	messages.Encode, messages.Decode = codec{}.Marshal, codec{}.Unmarshal
	savorygolden.Check(t, messages, []savorygolden.Case{
		{Name: "configRequest", Value: &ConfigRequest{Known: 7, Version: 9, Digest: 99, Offset: 65536}},
		{Name: "configPart", Value: &ConfigPart{Version: 9, Digest: 99, Size: 65540, Offset: 65536, Body: []byte("part")}},
		{Name: "hello", Value: &Heartbeat{
			Address: address, Zone: "north-1", Region: "north", Draining: true, Revision: 9, MarkDigest: 99,
			Demands: []savorylimit.Demand{{Customer: "joiner", Rate: 2.5}}, PromptPrint: 97,
		}},
		{Name: "offer", Value: &Offer{Revision: 9, Marks: marks, Quarantine: quarantine, From: address}},
		{Name: "ack", Value: &Ack{Revision: 9, MarkDigest: 99, PromptPrint: 97}},
		{Name: "fetch", Value: &Fetch{Config: true, Since: 8, Marks: true, Quarantine: true, Buckets: []savoryconfig.BucketID{bucket.ID}}},
		{Name: "state", Value: &State{
			Steps: []savoryconfig.Step{{
				Delta: savoryconfig.Delta{Base: 8, AcceptedAt: at, Submission: "s1", Sections: []savoryconfig.SectionDelta{{
					Section: savoryconfig.Routes, Manifest: bucket.ID, Count: 2,
					Changed: []savoryconfig.BucketChange{{Index: 1, ID: bucket.ID}},
				}}},
				Buckets: buckets,
			}},
			Root: []byte("root"), Buckets: buckets, Marks: marks, Quarantine: quarantine,
		}},
		{Name: "news", Value: &SyncState{
			From: entry, Stamp: savoryecho.Stamp{Number: 12, Echo: 11, Held: time.Millisecond}, Draining: true, StoreWorks: true, Orderer: true, Entries: []Entry{entry},
			Known: Versions{Config: 9, ListRevision: 71, ListPrint: 99, ListAge: time.Second, ListReading: 98, ListEra: 3, StoreEra: 4, ConfigReading: 95, ConfigAge: 3 * time.Second, FetchesConfig: true, PromptPrint: 97, TracksPrompts: true, NoticePrint: 96, TracksNotices: true},
			Loads: []savorypath.Load{{Server: "oak-1", Requests: 3, Memory: 2.5, First: 1}}, Relayed: true,
			Faults:     []ServerFailure{{Server: "oak-1", Age: 2 * time.Second}},
			Slowdowns:  []ServerSlowdown{{Server: "oak-1", Factor: 2.5, Age: 2 * time.Second}},
			Quarantine: quarantine,
			Notices:    []savorynotice.State{{Server: "oak-1", Born: at, Limit: 2.5, InReports: true, Age: 2 * time.Second}},
			Demands:    []savorynotice.Demand{{Service: "timber", Rate: 12.5}},
			Config: &savoryrouting.Config{
				Version: 9,
				Routes: []savoryrouting.Route{{
					Name: "planks", Host: "timber.example", Prefix: "/planks/", Kind: savoryrouting.Streaming,
					Timeout: 30 * time.Second, Objective: 2 * time.Second, GapObjective: 300 * time.Millisecond, Priority: 2,
					Shares: []savoryrouting.Share{{Service: "timber", Weight: 7}}, Attempts: 3, Open: true, Resumable: true,
				}},
				Services: []savoryrouting.Service{{
					Name: "timber", HealthPath: "/health", MaxConnections: 64,
					Engine: &savoryrouting.Engine{
						Model: "saw", Layers: 24, LayerMB: 120.5, TokenBytes: 4096, TokenRoom: 9000, Slots: 8,
						StepTime: 5 * time.Millisecond, RequestTime: 6 * time.Microsecond, ContextTime: 7 * time.Microsecond,
						ReadPerSecond: 1500.5, ReadChunk: 256, Stride: 2, LoadTime: 11 * time.Second, LoadsAtOnce: 3,
						ActivationBytes: 8192, PipeMbps: 950.5, UsualPrompt: 400, UsualAnswer: 120,
						Accelerators: []savoryrouting.Accelerator{{Name: "small", MemoryMB: 2000.5, StepFactor: 1.5, ReadFactor: 1.25}},
						ReportLag:    250 * time.Millisecond,
					},
				}},
				Limits: savoryrouting.Limits{
					MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute,
				},
				Customers: []savoryrouting.Customer{{Name: "joiner", KeySHA256: []string{"aabb"}, Priority: new(1)}},
			},
			Listing: &savoryroster.Listing{Era: 3, Revision: 71, Servers: []savoryroster.Server{{
				ID: "oak-1", Service: "timber", Address: address, Zone: "north-1", Leaving: true, Slots: 4, Born: at,
				Holds: layers, Accelerator: "small", Busy: true, Beat: 17, Orders: 5, ReportedBeat: 16,
			}}},
		}},
	})
}
