package main

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"savoryctl": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"entry": serveEntry, "exits": checkExit,
		},
		Setup: func(env *testscript.Env) error {
			text, err := os.ReadFile("../examples/document.toml")
			if err != nil {
				return err
			}
			return os.WriteFile(env.WorkDir+"/document.toml", text, 0o600)
		},
	})
}

// serveEntry starts an entry that responds to each call with the content of the file, and writes
// the calls to the file calls. The variable ENTRY is its address.
func serveEntry(ts *testscript.TestScript, _ bool, args []string) {
	response, calls := ts.ReadFile(args[0]), ts.MkAbs("calls")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			err = os.WriteFile(calls, []byte(r.Method+" "+r.RequestURI+"\n"+string(body)+"\n"), 0o600)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = io.WriteString(w, response)
	}))
	ts.Defer(server.Close)
	ts.Setenv("ENTRY", strings.TrimPrefix(server.URL, "http://"))
}

// checkExit runs a command and checks its exit code: exits CODE COMMAND ARGUMENT...
func checkExit(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}
