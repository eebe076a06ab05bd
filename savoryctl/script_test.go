package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"savoryctl": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			text, err := os.ReadFile("../examples/document.toml")
			if err != nil {
				return err
			}
			return os.WriteFile(env.WorkDir+"/document.toml", text, 0o600)
		},
	})
}
