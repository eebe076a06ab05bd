package savorynode

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
)

// TestSettings guards against a settings file with an error that is accepted,
// or refused without the right file, line and key.
//
// Each file of testdata/settings.txtar is a settings file. Its first line is
// a comment with a pattern that the error must match, or "ok".
func TestSettings(t *testing.T) {
	is := is.New(t)
	archive, err := txtar.ParseFile("testdata/settings.txtar")
	is.NoErr(err)
	base := string(archive.Files[0].Data)
	for _, f := range archive.Files[1:] {
		t.Run(f.Name, func(t *testing.T) {
			is := is.New(t)
			want, text, _ := strings.Cut(string(f.Data), "\n")
			want = strings.TrimPrefix(want, "# ")
			if strings.HasPrefix(want, "base ") {
				want, text = strings.TrimPrefix(want, "base "), text+base
			}
			file := filepath.Join(t.TempDir(), "entry.toml")
			is.NoErr(os.WriteFile(file, []byte(text), 0o600))
			_, err := ReadSettings(file)
			if want == "ok" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			if !regexp.MustCompile(want).MatchString(err.Error()) {
				t.Fatalf("error %q does not match %q", err, want)
			}
		})
	}
}
