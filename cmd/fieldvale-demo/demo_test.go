package main

import (
	"bytes"
	"os/exec"
	"strings"
	"testing"
)

// The demo as a test of real processes: an instance is killed, another
// paused, the store is out for a while, and no promise breaks.
func TestDemo(t *testing.T) {
	bin := t.TempDir()
	if o, err := exec.Command("go", "build", "-o", bin, "../...").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, o)
	}
	var b bytes.Buffer
	c := exec.Command(bin+"/fieldvale-demo", "run", "--bin", bin, "--examples", "../../examples", "--requests", "150", "--seed", "7")
	c.Stdout, c.Stderr = &b, &b
	err := c.Run()
	l := strings.Split(strings.TrimSpace(b.String()), "\n")
	if last := l[len(l)-1]; err != nil || !strings.HasSuffix(last, "ok=true") {
		t.Errorf("%v\n%s", err, b.String())
	}
}
