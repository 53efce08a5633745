package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"fieldvale": main})
}

// TestScripts runs the scripts in testdata/script, which call the program as an
// operator would and check its output and exit code.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Setup: func(e *testscript.Env) error {
		d, err := os.Getwd()
		e.Setenv("EXAMPLES", d+"/../../examples")
		return err
	}})
}
