package savoryconfig

// This file defines how a section is divided into buckets.

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"savorycart.example/savorycore/savorywire"
)

const (
	// maxMeanBucketRecords is the mean number of records of a bucket, at most.
	maxMeanBucketRecords = 8
	// maxSectionBuckets bounds the buckets of one section.
	maxSectionBuckets = 1 << 16
	// digestBytes is the length of a content digest, cut from SHA-256.
	digestBytes = 16
	// submissionDigestBytes is the length of the part of a BucketID that names the
	// submission which wrote the bucket.
	submissionDigestBytes = 4
	// MaxBucketBytes is the most bytes of an encoded bucket; the platform's
	// store holds values of up to a megabyte.
	MaxBucketBytes = 512 << 10
)

// BucketID names a bucket: the digest of its content and the submission that
// wrote it. Two submissions never share an ID, so that deleting a bucket that
// one root retired cannot delete what a later root names.
type BucketID [digestBytes + submissionDigestBytes]byte

// String returns the ID in hex, which is the last part of its store key.
func (id BucketID) String() string { return hex.EncodeToString(id[:]) }

// digest returns the part of the ID that names the content.
func (id BucketID) digest() [digestBytes]byte { return [digestBytes]byte(id[:digestBytes]) }

// Bucket is one part of a section, encoded.
type Bucket struct {
	ID   BucketID
	Body []byte

	// parsed is set by Parse; copies of the bucket share it.
	parsed *Document
}

// Check returns an error if the content does not match the ID.
func (b *Bucket) Check() error {
	if digestOf(b.Body) != b.ID.digest() {
		return fmt.Errorf("bucket %s: the content has another digest", b.ID)
	}
	return nil
}

// record is one entry of a section: its name and a document that holds only
// this entry.
type record struct {
	name string
	doc  *Document
}

func digestOf(body []byte) [digestBytes]byte {
	sum := sha256.Sum256(body)
	return [digestBytes]byte(sum[:digestBytes])
}

// SplitSection divides section s of d into buckets by the hash of each
// record's name. A change of one record changes one bucket unless the number
// of buckets changes. Buckets whose content stands in old keep their ID, the
// others get one that names submission. A bucket of more than MaxBucketBytes
// is an error.
func SplitSection(d *Document, s Section, old []BucketID, submission string) ([]Bucket, error) {
	records := d.records(s)
	slices.SortStableFunc(records, func(a, b record) int { return cmp.Compare(a.name, b.name) })
	parts := make([]Document, bucketCount(len(records)))
	for _, r := range records {
		i := xxhash.Sum64String(r.name) % uint64(len(parts))
		parts[i].appendDocument(r.doc)
	}
	buckets := make([]Bucket, 0, len(parts))
	for i := range parts {
		body, err := savorywire.Encode(&parts[i])
		if err != nil {
			return nil, fmt.Errorf("section %s: %w", s, err)
		}
		if len(body) > MaxBucketBytes {
			return nil, fmt.Errorf("section %s: a bucket has %d bytes, more than %d", s, len(body), MaxBucketBytes)
		}
		buckets = append(buckets, Bucket{ID: assignBucketID(body, old, submission), Body: body})
	}
	return buckets, nil
}

// assignBucketID returns the ID in old of a bucket with the same content, or a new
// one.
func assignBucketID(body []byte, old []BucketID, submission string) BucketID {
	digest := digestOf(body)
	for _, id := range old {
		if id.digest() == digest {
			return id
		}
	}
	var id BucketID
	copy(id[:], digest[:])
	suffix := sha256.Sum256([]byte(submission))
	copy(id[digestBytes:], suffix[:submissionDigestBytes])
	return id
}

// bucketCount returns the power of two that gives at most recordsPerBucket
// records to a bucket on average.
func bucketCount(records int) int {
	n := 1
	for n*maxMeanBucketRecords < records {
		n *= 2
	}
	return n
}

// newManifest returns the bucket that lists ids.
func newManifest(ids []BucketID, old BucketID, submission string) (Bucket, error) {
	body, err := savorywire.Encode(ids)
	if err != nil {
		return Bucket{}, err
	}
	return Bucket{ID: assignBucketID(body, []BucketID{old}, submission), Body: body}, nil
}

// decodeManifest reads the IDs that a decodeManifest lists.
func (b *Bucket) decodeManifest() ([]BucketID, error) {
	if err := b.Check(); err != nil {
		return nil, err
	}
	var ids []BucketID
	if err := savorywire.Decode(b.Body, &ids); err != nil {
		return nil, fmt.Errorf("manifest %s: %w", b.ID, err)
	}
	return ids, nil
}

// Parse reads the records of the bucket, which then need not be read again for
// the next revision that names it. It must not be called by two goroutines at
// once.
func (b *Bucket) Parse() error {
	if b.parsed != nil {
		return nil
	}
	if err := b.Check(); err != nil {
		return err
	}
	doc := new(Document)
	if err := savorywire.Decode(b.Body, doc); err != nil {
		return fmt.Errorf("bucket %s: %w", b.ID, err)
	}
	b.parsed = doc
	return nil
}

// records returns the records of section s.
func (d *Document) records(s Section) []record {
	switch s {
	case Teams:
		return recordsOf(d.Teams, func(i int) (string, Document) {
			return d.Teams[i].Name, Document{Teams: d.Teams[i : i+1]}
		})
	case Zones:
		return recordsOf(d.Zones, func(i int) (string, Document) {
			return d.Zones[i].Name, Document{Zones: d.Zones[i : i+1]}
		})
	case Links:
		return recordsOf(d.Links, func(i int) (string, Document) {
			return d.Links[i].From + "/" + d.Links[i].To, Document{Links: d.Links[i : i+1]}
		})
	case Accelerators:
		return recordsOf(d.Accelerators, func(i int) (string, Document) {
			return d.Accelerators[i].Name, Document{Accelerators: d.Accelerators[i : i+1]}
		})
	case Pipelines:
		return recordsOf(d.Pipelines, func(i int) (string, Document) {
			return d.Pipelines[i].Name, Document{Pipelines: d.Pipelines[i : i+1]}
		})
	case BackendServers:
		return recordsOf(d.BackendServers, func(i int) (string, Document) {
			return d.BackendServers[i].Name, Document{BackendServers: d.BackendServers[i : i+1]}
		})
	case Routes:
		return recordsOf(d.Routes, func(i int) (string, Document) {
			return d.Routes[i].Name, Document{Routes: d.Routes[i : i+1]}
		})
	default:
		return recordsOf(d.Customers, func(i int) (string, Document) {
			return d.Customers[i].Name, Document{Customers: d.Customers[i : i+1]}
		})
	}
}

func recordsOf[T any](entries []T, at func(int) (string, Document)) []record {
	records := make([]record, 0, len(entries))
	for i := range entries {
		name, doc := at(i)
		records = append(records, record{name: name, doc: &doc})
	}
	return records
}
