package savoryanswer

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a spoiled head that is taken for an answer, and against a true refusal or a signed
// failure that is not.
func TestHeads(t *testing.T) {
	data, err := os.ReadFile("testdata/heads.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "#") {
			continue
		}
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			columns := strings.Split(line, "|")
			status, err := strconv.Atoi(strings.TrimSpace(columns[0]))
			is.NoErr(err)
			h := Head{Status: status}
			for _, field := range strings.Split(columns[1], ";") {
				name, value, _ := strings.Cut(strings.TrimLeft(field, " "), " ")
				switch name {
				case "ID":
					h.IDs = append(h.IDs, value)
				case "Signature":
					h.Signatures = append(h.Signatures, value)
				case "Encoding":
					h.Encodings = append(h.Encodings, value)
				case "NotRun":
					h.NotRun = true
				default:
					t.Fatalf("unknown field %q", name)
				}
			}
			got := "answer"
			if failure := (*Error)(nil); errors.As(h.Check(), &failure) {
				got = string(failure.Reason)
				is.Equal(failure.Status, status)
			}
			is.Equal(got, strings.TrimSpace(columns[2]))
		})
	}
}
