// Mutate is a mutation test. For each mutant of mutants.ini it disables one
// mechanism in a copy of the source tree and runs the tests that must then fail. It
// lists the mutants that no test detected and exits with status 1 if there are any.
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

// mutantsFile is the list of mutants, from the root of the source tree.
const mutantsFile = "faults/mutants.ini"

// mutant is a change of the source code that disables one mechanism: in file, `from`
// is replaced by `to`. The tests of pkg that match the pattern run must then fail.
// promise is the guarantee that the mechanism provides.
type mutant struct {
	name, promise, file, from, to, pkg, run string
}

func main() {
	b, err := os.ReadFile(mutantsFile)
	if err != nil {
		exit(err)
	}
	var l []mutant
	f := inifile.Parse(mutantsFile, string(b))
	f.Each([]string{"mutant"}, func(s *inifile.Section) {
		l = append(l, mutant{s.Name, s.Required("promise"), s.Required("file"), s.Required("from"), s.Required("to"), s.Required("package"), s.Required("run")})
	})
	if e := f.Errors(); len(e) > 0 {
		exit(e[0])
	}
	undetected := 0
	for _, m := range l {
		if len(os.Args) > 1 && !strings.Contains(m.name, os.Args[1]) {
			continue
		}
		result, err := m.test()
		if err != nil {
			result = "NOT TRIED: " + err.Error()
			undetected++
		}
		if result == "" {
			undetected++
			result = "NOT NOTICED"
		}
		fmt.Printf("%-34s %-26s %s\n", m.name, m.promise, result)
	}
	fmt.Printf("mutants: %d not noticed\n", undetected)
	if undetected > 0 {
		os.Exit(1)
	}
}

// exit prints the error and exits with status 2.
func exit(err error) {
	fmt.Fprintln(os.Stderr, "mutate:", err)
	os.Exit(2)
}

// test applies the mutant to a copy of the source tree and runs its tests. It
// returns the first failure message, or "" if all tests passed.
func (m mutant) test() (string, error) {
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
		return "", errors.Newf("%q occurs %d times in %s, want once", m.from, bytes.Count(b, []byte(m.from)), m.file)
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
		return "", errors.Newf("source tree with the mutant does not build: %s", o)
	}
	return failureLine(string(o)), nil
}

// failureLine returns the first line of the test output that gives the reason of a
// failure, or the first line if there is none.
func failureLine(o string) string {
	for _, l := range strings.Split(o, "\n") {
		t := strings.TrimSpace(l)
		if strings.Contains(t, "_test.go:") && !strings.HasPrefix(t, "/") {
			return t
		}
	}
	return strings.SplitN(strings.TrimSpace(o), "\n", 2)[0]
}

// copyTree copies the files that git tracks and the untracked files that it does not
// ignore into directory d.
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
