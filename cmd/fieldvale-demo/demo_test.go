package main

import (
	"bytes"
	"os/exec"
	"strings"
	"testing"
)

// TestDemo runs the demo with the built programs. It guards against requests that
// are lost, run twice, misrouted or billed wrongly when an instance is killed,
// another one is paused or the store is unavailable for a while.
func TestDemo(t *testing.T) {
	bin := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", bin, "../...").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	var output bytes.Buffer
	cmd := exec.Command(bin+"/fieldvale-demo", "run", "--bin", bin, "--examples", "../../examples", "--requests", "150", "--seed", "7")
	cmd.Stdout, cmd.Stderr = &output, &output
	err := cmd.Run()
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if last := lines[len(lines)-1]; err != nil || !strings.HasSuffix(last, "ok=true") {
		t.Errorf("the demo ended with error %v, want no error and a last line that ends with ok=true; its output:\n%s", err, output.String())
	}
}
