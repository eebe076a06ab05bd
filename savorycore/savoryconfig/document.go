// Package savoryconfig defines the configuration document, its encoding in the
// platform's store, and the snapshot that requests are routed with.
//
// A Document is the text of the configuration, in TOML. Its top-level tables are
// its sections. One team owns each section. The platform's store holds a
// document as a set of buckets and a Root, which references its parts: the Root
// has the revision and, for each section, the ID of a manifest, which lists the
// section's buckets by content digest. A change of one
// record therefore writes one record bucket, the section's manifest and the
// root. A Snapshot is a complete and checked document with indexes for the
// lookups that requests need. It is immutable.
//
// The files depend on each other in one direction: document, check, bucket,
// root, snapshot.
package savoryconfig

// This file defines Document and its text form.

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"savorycart.example/savorycore/savoryworld"
)

// Section is the name of a section of the document.
type Section string

// The sections.
const (
	Teams          Section = "Teams"
	Zones          Section = "Zones"
	Links          Section = "Links"
	Accelerators   Section = "Accelerators"
	Pipelines      Section = "Pipelines"
	BackendServers Section = "BackendServers"
	Routes         Section = "Routes"
	Customers      Section = "Customers"
)

// Sections returns all sections in the order in which a document has them.
func Sections() []Section {
	return []Section{Teams, Zones, Links, Accelerators, Pipelines, BackendServers, Routes, Customers}
}

// Valid reports whether s names a section.
func (s Section) Valid() bool { return slices.Contains(Sections(), s) }

// Document is the complete configuration, or a part of it.
type Document struct {
	Teams          []savoryworld.Team             `toml:",omitempty" msgpack:",omitempty"`
	Zones          []savoryworld.AvailabilityZone `toml:",omitempty" msgpack:",omitempty"`
	Links          []savoryworld.Link             `toml:",omitempty" msgpack:",omitempty"`
	Accelerators   []savoryworld.Accelerator      `toml:",omitempty" msgpack:",omitempty"`
	Pipelines      []savoryworld.Pipeline         `toml:",omitempty" msgpack:",omitempty"`
	BackendServers []savoryworld.BackendServer    `toml:",omitempty" msgpack:",omitempty"`
	Routes         []savoryworld.Route            `toml:",omitempty" msgpack:",omitempty"`
	Customers      []savoryworld.Customer         `toml:",omitempty" msgpack:",omitempty"`
}

// InputError is an error in a document or another TOML input, with its position
// in the text.
type InputError struct {
	// File is the name of the input; empty means unknown.
	File string
	// Line is the line number, from 1; 0 means that no single line is wrong.
	Line int
	// Field is the path of the wrong key, such as "Customers.timber.KeySHA256".
	Field string
	// Message describes the error.
	Message string
}

var _ error = (*InputError)(nil)

// Error returns "file:line: field: message", without the parts that are unknown.
func (e *InputError) Error() string {
	text := e.Message
	if e.Field != "" {
		text = e.Field + ": " + text
	}
	if e.Line > 0 {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, text)
	}
	if e.File != "" {
		return e.File + ": " + text
	}
	return text
}

// Parse decodes a document from TOML. It does not call Check. Unknown keys and
// values of the wrong type are an *InputError.
func Parse(file string, text []byte) (*Document, error) {
	doc := new(Document)
	if err := DecodeTOML(file, text, doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// DecodeTOML decodes text into v. Unknown keys are an error. All errors are an
// *InputError with the file and, where known, the line and the key.
func DecodeTOML(file string, text []byte, v any) error {
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		return inputError(file, "unknown key", &strict.Errors[0])
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return inputError(file, decode.Error(), decode)
	}
	return &InputError{File: file, Message: err.Error()}
}

// inputError returns an InputError with the position of err.
func inputError(file, message string, err *toml.DecodeError) *InputError {
	line, _ := err.Position()
	field := ""
	for _, key := range err.Key() {
		if field != "" {
			field += "."
		}
		field += key
	}
	return &InputError{File: file, Line: line, Field: field, Message: message}
}

// EncodeTOML returns the document as TOML text.
func (d *Document) EncodeTOML() ([]byte, error) {
	text, err := toml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode document as TOML: %w", err)
	}
	return text, nil
}

// ExtractSection returns a document that has only section s of d. The two
// documents share the records.
func (d *Document) ExtractSection(s Section) *Document {
	extracted := new(Document)
	extracted.SetSection(s, d)
	return extracted
}

// SetSection replaces section s of d by section s of from. The two documents
// share the records.
func (d *Document) SetSection(s Section, from *Document) {
	switch s {
	case Teams:
		d.Teams = from.Teams
	case Zones:
		d.Zones = from.Zones
	case Links:
		d.Links = from.Links
	case Accelerators:
		d.Accelerators = from.Accelerators
	case Pipelines:
		d.Pipelines = from.Pipelines
	case BackendServers:
		d.BackendServers = from.BackendServers
	case Routes:
		d.Routes = from.Routes
	case Customers:
		d.Customers = from.Customers
	}
}

// appendDocument appends the records of each section of from to d.
func (d *Document) appendDocument(from *Document) {
	d.Teams = append(d.Teams, from.Teams...)
	d.Zones = append(d.Zones, from.Zones...)
	d.Links = append(d.Links, from.Links...)
	d.Accelerators = append(d.Accelerators, from.Accelerators...)
	d.Pipelines = append(d.Pipelines, from.Pipelines...)
	d.BackendServers = append(d.BackendServers, from.BackendServers...)
	d.Routes = append(d.Routes, from.Routes...)
	d.Customers = append(d.Customers, from.Customers...)
}

// NonEmptySections returns the sections of d that have at least one record.
func (d *Document) NonEmptySections() []Section {
	var sections []Section
	for _, s := range Sections() {
		if len(d.records(s)) > 0 {
			sections = append(sections, s)
		}
	}
	return sections
}

// sort sorts the records of each section by name, and links by both zones.
func (d *Document) sort() {
	sortByName(d.Teams, func(v savoryworld.Team) string { return v.Name })
	sortByName(d.Zones, func(v savoryworld.AvailabilityZone) string { return v.Name })
	sortByName(d.Links, func(v savoryworld.Link) string { return v.From + "/" + v.To })
	sortByName(d.Accelerators, func(v savoryworld.Accelerator) string { return v.Name })
	sortByName(d.Pipelines, func(v savoryworld.Pipeline) string { return v.Name })
	sortByName(d.BackendServers, func(v savoryworld.BackendServer) string { return v.Name })
	sortByName(d.Routes, func(v savoryworld.Route) string { return v.Name })
	sortByName(d.Customers, func(v savoryworld.Customer) string { return v.Name })
}

func sortByName[T any](records []T, name func(T) string) {
	slices.SortFunc(records, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
}

// Owner returns the team that owns section s, or false if d has no such team.
func (d *Document) Owner(s Section) (savoryworld.Team, bool) {
	for _, team := range d.Teams {
		if slices.Contains(team.Sections, string(s)) {
			return team, true
		}
	}
	return savoryworld.Team{}, false
}
