package savoryconfig

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorygolden"
	"savorycart.example/savorycore/savoryworld"
)

// goldenDocument returns a document in which every field is set.
func goldenDocument() *Document {
	return &Document{
		Teams: []savoryworld.Team{{Name: "saws", TokenSHA256: "aabb", Sections: []string{"Routes"}}},
		Zones: []savoryworld.AvailabilityZone{{Name: "north-1", Region: "north"}},
		Links: []savoryworld.Link{{From: "north-1", To: "north-2", Delay: savoryworld.Duration(time.Millisecond), BytesPerSecond: 1e9}},
		Accelerators: []savoryworld.Accelerator{{
			Name: "small", StepBase: savoryworld.Duration(time.Microsecond), StepToken: savoryworld.Duration(2 * time.Microsecond), MaxTokens: 64,
		}},
		Pipelines: []savoryworld.Pipeline{{
			Name: "cut", Model: "saw", Version: "v2", Layers: 24, ActivationBytes: 8192,
			FirstToken: savoryworld.Duration(time.Second), BetweenTokens: savoryworld.Duration(72 * time.Millisecond), MaxTokens: 512,
		}},
		// Service and Model are both set to pin every field, which a valid
		// document does not allow.
		BackendServers: []savoryworld.BackendServer{{
			Name: "oak-1", Address: netip.MustParseAddrPort("10.0.0.1:8001"), Zone: "north-1", Service: "timber", Model: "saw",
			Version: "v2", Adapter: "fine", Layers: savoryworld.LayerRange{From: 3, To: 12}, Accelerator: "small",
			IgnoresFence: true, Leaving: true,
		}},
		Routes: []savoryworld.Route{{
			Name: "planks", Path: "/planks", Service: "timber", Methods: []string{"POST"}, Idempotent: true, KeyRequired: true,
			WhenStoreOut: savoryworld.OutageForward, Timeout: savoryworld.Duration(30 * time.Second),
		}},
		Customers: []savoryworld.Customer{{
			Name: "joiner", KeySHA256: []string{"ccdd"}, HomeRegion: "north", Pipelines: []string{"cut"}, Routes: []string{"planks"},
			Contract: savoryworld.Contract{RequestsPerSecond: 2.5, TokensPerSecond: 100.5, Concurrency: 8, Priority: 3, Weight: 1.5},
		}},
	}
}

func TestGolden(t *testing.T) {
	// A renamed field without a tag, or an enum with another text, changes the
	// encoding in the store, in messages and in operators' files. A process of
	// another build then decodes zero values.
	savorygolden.Texts(t, "section", Sections()...)
	doc := goldenDocument()
	savorygolden.Check(t, savorygolden.MessagePack, []savorygolden.Case{{Name: "document", Value: doc}})
	text := savorygolden.TOML
	text.Encode = func(v any) ([]byte, error) { return v.(*Document).EncodeTOML() }
	text.Decode = func(body []byte, v any) error { return DecodeTOML("golden", body, v) }
	savorygolden.Check(t, text, []savorygolden.Case{{Name: "document", Value: doc}})
	// Operators' scripts read the document as JSON.
	savorygolden.Check(t, savorygolden.JSON, []savorygolden.Case{{Name: "document", Value: doc}})
}

func TestGoldenRoot(t *testing.T) {
	// A renamed field without a tag, or an enum with another text, changes the
	// encoding in the store and in messages. A process of another build then
	// decodes zero values.
	at := time.Date(2026, 3, 4, 5, 6, 7, 8000000, time.UTC)
	id := assignBucketID([]byte("body"), nil, "s1")
	root := savorygolden.MessagePack
	root.Encode = func(v any) ([]byte, error) { return EncodeRoot(v.(*Root)) }
	root.Decode = func(body []byte, v any) error {
		r, err := DecodeRoot(body)
		if err == nil {
			*v.(*Root) = *r
		}
		return err
	}
	savorygolden.Check(t, root, []savorygolden.Case{{Name: "root", Value: &Root{
		Revision: 9, AcceptedAt: at, Sections: []SectionRef{{Section: Routes, Revision: 8, Manifest: id}},
		Submissions: []AcceptedSubmission{{ID: "s1", Revision: 9}}, Retired: []RetiredBucket{{ID: id, Since: at}},
	}}})
	savorygolden.Check(t, savorygolden.MessagePack, []savorygolden.Case{{Name: "step", Value: &Step{
		Delta: Delta{Base: 8, AcceptedAt: at, Submission: "s1", Sections: []SectionDelta{{
			Section: Routes, Manifest: id, Count: 2, Changed: []BucketChange{{Index: 1, ID: id}},
		}}},
		Buckets: []Bucket{{ID: id, Body: []byte("body")}},
	}}})
}

func TestGoldenBuckets(t *testing.T) {
	// A bucket's ID has the digest of its content. If the encoding of the
	// content changes, a process of another build finds no bucket with the ID.
	is := is.New(t)
	var ids []BucketID
	for _, s := range Sections() {
		buckets, err := SplitSection(goldenDocument(), s, nil, "s1")
		is.NoErr(err)
		is.Equal(len(buckets), 1)
		name := "bucket" + string(s)
		is.Equal(buckets[0].Body, savorygolden.File(t, name+".msgpack", buckets[0].Body))
		is.NoErr(buckets[0].Parse())
		is.Equal(buckets[0].parsed, goldenDocument().ExtractSection(s))
		ids = append(ids, buckets[0].ID)
	}
	manifest, err := newManifest(ids, BucketID{}, "s1")
	is.NoErr(err)
	is.Equal(manifest.Body, savorygolden.File(t, "manifest.msgpack", manifest.Body))
	read, err := manifest.decodeManifest()
	is.NoErr(err)
	is.Equal(read, ids)
	savorygolden.Texts(t, "bucketID", manifest.ID.String())
}
