package savoryconfig

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
)

// Each file of testdata/faults.txtar replaces sections of the base document.
// Its first line is a comment with a pattern that the error must match, or "ok".
func TestCheckFaults(t *testing.T) {
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

// checkFault parses a file, puts its sections over the base and checks the
// whole.
func checkFault(t *testing.T, base []byte, f txtar.File) error {
	t.Helper()
	whole, err := Parse("base", base)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := Parse(f.Name, f.Data)
	if err != nil {
		return err
	}
	for _, s := range doc.NonEmptySections() {
		whole.SetSection(s, doc)
	}
	return whole.Check()
}
