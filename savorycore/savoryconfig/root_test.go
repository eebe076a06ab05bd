package savoryconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"savorycart.example/savorycore/savoryworld"
)

// smallDocument returns a valid document with n customers.
func smallDocument(n int) *Document {
	digest := func(i int) string { return fmt.Sprintf("%064x", i) }
	doc := &Document{
		Teams:        []savoryworld.Team{{Name: "all", TokenSHA256: digest(1)}},
		Zones:        []savoryworld.AvailabilityZone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Links:        []savoryworld.Link{{From: "a", To: "b", Delay: savoryworld.Duration(time.Millisecond), BytesPerSecond: 1 << 20}},
		Accelerators: []savoryworld.Accelerator{{Name: "x", StepBase: 1, StepToken: 1, MaxTokens: 8}},
		Pipelines:    []savoryworld.Pipeline{{Name: "p", Model: "m", Version: "v", Layers: 4, FirstToken: 1, BetweenTokens: 1, MaxTokens: 9}},
		Routes:       []savoryworld.Route{{Name: "callouts", Path: "/callouts", Service: "dispatch"}},
	}
	for _, s := range Sections() {
		doc.Teams[0].Sections = append(doc.Teams[0].Sections, string(s))
	}
	server := func(port uint16, s savoryworld.BackendServer) {
		s.Name = fmt.Sprintf("s%d", port)
		s.Zone = "a"
		s.Address = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		doc.BackendServers = append(doc.BackendServers, s)
	}
	server(1, savoryworld.BackendServer{Model: "m", Version: "v", Accelerator: "x", Layers: savoryworld.LayerRange{To: 2}})
	server(2, savoryworld.BackendServer{Model: "m", Version: "v", Accelerator: "x", Layers: savoryworld.LayerRange{From: 2, To: 4}})
	server(3, savoryworld.BackendServer{Service: "dispatch"})
	for i := range n {
		doc.Customers = append(doc.Customers, savoryworld.Customer{
			Name: fmt.Sprintf("customer-%04d", i), KeySHA256: []string{digest(100 + i)}, HomeRegion: "r",
		})
	}
	return doc
}

// bucketMap stands in for the buckets in the platform's store.
type bucketMap map[BucketID]Bucket

func (s bucketMap) find(id BucketID) (Bucket, bool) {
	b, ok := s[id]
	return b, ok
}

// storeSection stores the buckets of a section of doc and returns the change of
// the section.
func (s bucketMap) storeSection(t *rapid.T, root *Root, doc *Document, section Section, submission string) SectionChange {
	sectionChange, err := NewSectionChange(root, doc, section, root.Section(section).Revision, submission)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range sectionChange.AllBuckets() {
		s[b.ID] = b
	}
	return sectionChange
}

func TestChanges(t *testing.T) {
	// Guards against lost updates and against entries with different documents
	// of one revision. In a random sequence of changes each accepted change
	// increases the revision by one, a change based on an outdated revision of
	// its section is refused, and each root gives the submitted document,
	// whether it comes from Apply or from a delta.
	rapid.Check(t, func(t *rapid.T) {
		store := make(bucketMap)
		now := time.Unix(1000, 0).UTC()
		doc := smallDocument(rapid.IntRange(0, 40).Draw(t, "customers"))
		root := &Root{}
		first := Change{SubmissionID: "first"}
		for _, s := range Sections() {
			first.SectionChanges = append(first.SectionChanges, store.storeSection(t, root, doc, s, "first"))
		}
		root, err := root.Apply(first, now)
		if err != nil {
			t.Fatal(err)
		}
		steps := rapid.IntRange(1, 12).Draw(t, "steps")
		for i := range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "minutes")) * time.Minute)
			n := rapid.IntRange(0, 60).Draw(t, "n")
			changed := *doc
			changed.Customers = smallDocument(n).Customers
			sectionChange := store.storeSection(t, root, &changed, Customers, fmt.Sprint("s", i))
			stale := rapid.Bool().Draw(t, "stale")
			if stale {
				sectionChange.BaseRevision--
			}
			next, err := root.Apply(Change{SubmissionID: fmt.Sprint("s", i), SectionChanges: []SectionChange{sectionChange}}, now)
			var conflict *ConflictError
			if stale != errors.As(err, &conflict) {
				t.Fatalf("stale=%t, error %v", stale, err)
			}
			if stale {
				continue
			}
			checkNext(t, store, root, next, &changed)
			for _, id := range root.ExpiredBuckets(now) {
				delete(store, id)
			}
			root, doc = next, &changed
		}
	})
}

// checkNext fails the test unless next, and the root built from the delta between
// root and next, both give the document want after an encoding and decoding.
func checkNext(t *rapid.T, store bucketMap, root, next *Root, want *Document) {
	if next.Revision != root.Revision+1 {
		t.Fatalf("revision %d after %d", next.Revision, root.Revision)
	}
	delta, ok := DeltaBetween(root, next)
	if !ok {
		t.Fatal("no delta between a root and the next")
	}
	built, _, err := delta.ApplyTo(root)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range []*Root{next, built} {
		body, err := EncodeRoot(r)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeRoot(body)
		if err != nil {
			t.Fatal(err)
		}
		if err := decoded.LoadManifests(store.find); err != nil {
			t.Fatal(err)
		}
		snapshot, err := AssembleSnapshot(decoded, store.find)
		if err != nil {
			t.Fatal(err)
		}
		got, err := snapshot.Document.EncodeTOML()
		if err != nil {
			t.Fatal(err)
		}
		text, err := want.EncodeTOML()
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != string(text) {
			t.Fatalf("assembled:\n%s\nsubmitted:\n%s", got, text)
		}
	}
}

func TestChangeOfOneRecordWritesOneBucket(t *testing.T) {
	// If the division into buckets depends on more than a record's own name, a
	// small change rewrites a large part of the section in the store.
	is := is.New(t)
	doc := smallDocument(3200)
	old, err := SplitSection(doc, Customers, nil, "one")
	is.NoErr(err)
	var ids []BucketID
	for _, b := range old {
		ids = append(ids, b.ID)
	}
	doc.Customers[77].Contract.Concurrency = 5
	changed, err := SplitSection(doc, Customers, ids, "two")
	is.NoErr(err)
	newBuckets := 0
	for _, b := range changed {
		if !slices.Contains(ids, b.ID) {
			newBuckets++
		}
	}
	is.Equal(newBuckets, 1)
}

func TestSameContentOfTwoSubmissionsHasTwoIDs(t *testing.T) {
	// If a later submission writes the content of a retired bucket again under
	// the same ID, the deletion of the retired bucket deletes a bucket in use.
	is := is.New(t)
	doc := smallDocument(3)
	first, err := SplitSection(doc, Customers, nil, "one")
	is.NoErr(err)
	second, err := SplitSection(doc, Customers, nil, "two")
	is.NoErr(err)
	is.True(first[0].ID != second[0].ID)
	is.Equal(first[0].Body, second[0].Body)
}

func TestRouteMatchesWholeSegments(t *testing.T) {
	// With a plain prefix match a request for /callouts-old would reach the
	// service of /callouts.
	is := is.New(t)
	s := NewSnapshot(&Root{}, &Document{Routes: []savoryworld.Route{
		{Name: "callouts", Path: "/callouts"}, {Name: "urgent", Path: "/callouts/urgent"},
	}})
	is.Equal(s.Route("/callouts/7").Name, "callouts")
	is.Equal(s.Route("/callouts/urgent/7").Name, "urgent")
	is.True(s.Route("/callouts-old") == nil)
	is.True(s.Route("/") == nil)
}

func FuzzParse(f *testing.F) {
	// Any text must give an error with the file's name or a document. A
	// document that passes its checks must survive the encoding in buckets:
	// otherwise an accepted revision cannot be loaded by any entry.
	text, err := smallDocument(2).EncodeTOML()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(text))
	f.Add("[[Customers]]\nName = 3\n")
	f.Add("[[Routes]]\nPath = \"/x\"\nTimeout = \"-1s\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		doc, err := Parse("fuzz", []byte(text))
		if err != nil {
			if !strings.Contains(err.Error(), "fuzz") {
				t.Fatalf("error does not name the file: %v", err)
			}
			return
		}
		if doc.Check() != nil {
			return
		}
		// A valid document can be stored and loaded again.
		root := &Root{}
		store := make(bucketMap)
		change := Change{SubmissionID: "fuzz"}
		for _, s := range Sections() {
			sectionChange, err := NewSectionChange(root, doc, s, 0, "fuzz")
			if err != nil {
				return
			}
			for _, b := range sectionChange.AllBuckets() {
				store[b.ID] = b
			}
			change.SectionChanges = append(change.SectionChanges, sectionChange)
		}
		next, err := root.Apply(change, time.Unix(0, 0))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := AssembleSnapshot(next, store.find); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzDecodeRoot(f *testing.F) {
	// A root from the store or a peer may hold any bytes: decoding must not
	// panic, and missing manifests must be an error.
	body, err := EncodeRoot(&Root{Revision: 3, Sections: []SectionRef{{Section: Customers, Manifest: BucketID{1}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		root, err := DecodeRoot(body)
		if err != nil {
			return
		}
		if err := root.LoadManifests(func(BucketID) (Bucket, bool) { return Bucket{}, false }); err == nil && len(root.Manifests()) > 0 {
			t.Fatal("LoadManifests returns no error for missing manifests")
		}
	})
}
