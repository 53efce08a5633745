// Mutate shows that the proofs can fail: it takes one mechanism at a time out
// of a copy of the tree and runs the tests that are to notice. It lists the
// mechanisms whose loss nothing noticed and fails if there are any.
package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/inifile"
)

const listFile = "faults/mutants.ini"

// mutant is one mechanism that is taken out.
type mutant struct {
	name, promise, file, from, to, pkg, run string
}

func main() {
	b, err := os.ReadFile(listFile)
	if err != nil {
		exit(err)
	}
	var l []mutant
	f := inifile.Parse(listFile, string(b))
	f.Each([]string{"mutant"}, func(s *inifile.Section) {
		l = append(l, mutant{s.Name, s.Need("promise"), s.Need("file"), s.Need("from"), s.Need("to"), s.Need("package"), s.Need("run")})
	})
	if e := f.Errors(); len(e) > 0 {
		exit(e[0])
	}
	alive := 0
	for _, m := range l {
		if len(os.Args) > 1 && !strings.Contains(m.name, os.Args[1]) {
			continue
		}
		how, err := m.try()
		if err != nil {
			how = "NOT TRIED: " + err.Error()
			alive++
		}
		if how == "" {
			alive++
			how = "NOT NOTICED"
		}
		fmt.Printf("%-34s %-26s %s\n", m.name, m.promise, how)
	}
	fmt.Printf("mutants: %d not noticed\n", alive)
	if alive > 0 {
		os.Exit(1)
	}
}

func exit(err error) {
	fmt.Fprintln(os.Stderr, "mutate:", err)
	os.Exit(2)
}

// try returns the first line by which a test noticed, empty if none did.
func (m mutant) try() (string, error) {
	d, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return "", err
	}
	defer func() { _ = os.RemoveAll(d) }()
	if err := copyTree(d); err != nil {
		return "", err
	}
	p := filepath.Join(d, m.file)
	b, err := os.ReadFile(p)
	if err != nil {
		return "", err
	}
	if bytes.Count(b, []byte(m.from)) != 1 {
		return "", errors.Newf("%q stands %d times in %s, want once", m.from, bytes.Count(b, []byte(m.from)), m.file)
	}
	if err := os.WriteFile(p, bytes.Replace(b, []byte(m.from), []byte(m.to), 1), 0o644); err != nil {
		return "", err
	}
	c := exec.Command("go", "test", "-vet=off", "-count=1", "-timeout", "3m", "-run", m.run, m.pkg)
	c.Dir = d
	o, err := c.CombinedOutput()
	if err == nil {
		return "", nil
	}
	if bytes.Contains(o, []byte("[build failed]")) {
		return "", errors.Newf("the copy does not build: %s", o)
	}
	return firstFailure(string(o)), nil
}

// firstFailure picks a line that tells why, not just that, a test failed.
func firstFailure(o string) string {
	for _, l := range strings.Split(o, "\n") {
		t := strings.TrimSpace(l)
		if strings.Contains(t, "_test.go:") && !strings.HasPrefix(t, "/") {
			return t
		}
	}
	return strings.SplitN(strings.TrimSpace(o), "\n", 2)[0]
}

// copyTree copies what git tracks or would.
func copyTree(d string) error {
	o, err := exec.Command("git", "ls-files", "-co", "--exclude-standard").Output()
	if err != nil {
		return err
	}
	for _, n := range strings.Fields(string(o)) {
		b, err := os.ReadFile(n)
		if err != nil {
			return err
		}
		p := filepath.Join(d, n)
		if err := os.MkdirAll(filepath.Dir(p), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(p, b, 0o644); err != nil {
			return err
		}
	}
	return nil
}
