package savoryconfig

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
)

func TestCheckFaults(t *testing.T) {
	// Guards against invalid documents that are accepted, and against errors
	// that do not name the wrong field. Each file of testdata/faults.txtar
	// replaces sections of the base document; its first line is a comment with
	// a pattern that the error must match, or "ok" for a valid document.
	is := is.New(t)
	text, err := os.ReadFile("testdata/faults.txtar")
	is.NoErr(err)
	archive := txtar.Parse(text)
	base := archive.Files[0]
	for _, f := range archive.Files[1:] {
		t.Run(f.Name, func(t *testing.T) {
			is := is.New(t)
			want, _, _ := strings.Cut(string(f.Data), "\n")
			want = strings.TrimPrefix(want, "# ")
			got := checkFault(t, base.Data, f)
			if want == "ok" {
				is.NoErr(got)
				return
			}
			is.True(got != nil)
			if !regexp.MustCompile(want).MatchString(got.Error()) {
				t.Fatalf("error %q does not match %q", got, want)
			}
		})
	}
}

// checkFault replaces the sections of the base document that f has, and returns
// the error of the result's check or of parsing f.
func checkFault(t *testing.T, base []byte, f txtar.File) error {
	t.Helper()
	merged, err := Parse("base", base)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := Parse(f.Name, f.Data)
	if err != nil {
		return err
	}
	for _, s := range doc.NonEmptySections() {
		merged.SetSection(s, doc)
	}
	return merged.Check()
}
