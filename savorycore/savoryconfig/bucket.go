package savoryconfig

// This file defines Bucket and how a section is divided into buckets.

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
	// maxMeanBucketRecords is the maximum of the mean number of records per
	// bucket of a section.
	maxMeanBucketRecords = 8
	// maxSectionBuckets is the maximum number of buckets of a section in a
	// delta from a peer.
	maxSectionBuckets = 1 << 16
	// digestBytes is the length of a content digest, which is a truncated
	// SHA-256 digest.
	digestBytes = 16
	// submissionDigestBytes is the length of the part of a BucketID that
	// identifies the submission that wrote the bucket. It is a truncated
	// SHA-256 digest.
	submissionDigestBytes = 4
	// MaxBucketBytes is the maximum size of an encoded bucket. The platform's
	// store accepts values of up to a megabyte.
	MaxBucketBytes = 512 << 10
)

// BucketID identifies a bucket by the digest of its content and the submission
// that wrote it. Buckets written by two submissions have different IDs even if
// their content is the same. The deletion of a bucket that one root retired can
// therefore not delete a bucket that a later root references.
type BucketID [digestBytes + submissionDigestBytes]byte

// String returns the ID in hex, which is the last part of the bucket's store key.
func (id BucketID) String() string { return hex.EncodeToString(id[:]) }

// digest returns the part of the ID that is the digest of the content.
func (id BucketID) digest() [digestBytes]byte { return [digestBytes]byte(id[:digestBytes]) }

// Bucket is an encoded subset of a section's records, or a manifest, which is an
// encoded list of the section's bucket IDs.
type Bucket struct {
	ID   BucketID
	Body []byte

	// parsed holds the decoded records after a call of Parse. Copies of the
	// bucket share it.
	parsed *Document
}

// Check returns an error if the digest of the content is not that of the ID.
func (b *Bucket) Check() error {
	if digestOf(b.Body) != b.ID.digest() {
		return fmt.Errorf("bucket %s: the digest of the content does not match the ID", b.ID)
	}
	return nil
}

// record is one record of a section. The document has only this record.
type record struct {
	name string
	doc  *Document
}

// digestOf returns the truncated SHA-256 digest of body.
func digestOf(body []byte) [digestBytes]byte {
	sum := sha256.Sum256(body)
	return [digestBytes]byte(sum[:digestBytes])
}

// SplitSection divides section s of d into buckets by the hash of each record's
// name. A change of one record changes one bucket unless the number of buckets
// changes. A bucket whose content has an ID in old keeps this ID; any other
// bucket gets a new ID with the digest of submission. A bucket larger than
// MaxBucketBytes is an error.
func SplitSection(d *Document, s Section, old []BucketID, submission string) ([]Bucket, error) {
	records := d.records(s)
	slices.SortStableFunc(records, func(a, b record) int { return cmp.Compare(a.name, b.name) })
	documents := make([]Document, bucketCount(len(records)))
	for _, r := range records {
		i := xxhash.Sum64String(r.name) % uint64(len(documents))
		documents[i].appendDocument(r.doc)
	}
	buckets := make([]Bucket, 0, len(documents))
	for i := range documents {
		body, err := savorywire.Encode(&documents[i])
		if err != nil {
			return nil, fmt.Errorf("section %s: %w", s, err)
		}
		if len(body) > MaxBucketBytes {
			return nil, fmt.Errorf("section %s: bucket size %d bytes is above the maximum of %d", s, len(body), MaxBucketBytes)
		}
		buckets = append(buckets, Bucket{ID: assignBucketID(body, old, submission), Body: body})
	}
	return buckets, nil
}

// assignBucketID returns the ID in old that has the digest of body, or a new ID
// if old has none.
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

// bucketCount returns the smallest power of two for which the mean number of
// records per bucket is at most maxMeanBucketRecords.
func bucketCount(records int) int {
	n := 1
	for n*maxMeanBucketRecords < records {
		n *= 2
	}
	return n
}

// newManifest returns the manifest that lists ids. It keeps the ID old if the
// content is the same.
func newManifest(ids []BucketID, old BucketID, submission string) (Bucket, error) {
	body, err := savorywire.Encode(ids)
	if err != nil {
		return Bucket{}, err
	}
	return Bucket{ID: assignBucketID(body, []BucketID{old}, submission), Body: body}, nil
}

// decodeManifest returns the bucket IDs that the manifest b lists.
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

// Parse decodes and caches the records of the bucket, so that later revisions
// that reference the bucket need not decode it again. It is not safe for
// concurrent use.
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

// records returns the records of section s. The name of a link is "from/to".
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

// recordsOf returns a record for each element of entries. The function at
// returns the name and the document of the element at an index.
func recordsOf[T any](entries []T, at func(int) (string, Document)) []record {
	records := make([]record, 0, len(entries))
	for i := range entries {
		name, doc := at(i)
		records = append(records, record{name: name, doc: &doc})
	}
	return records
}
