package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/policyfile"
	"fieldvale/audit"
	fieldvalev1 "fieldvale/gen/fieldvale/v1"
	"fieldvale/policy"
)

const policyLong = `A policy is a directory with three files:

    policy.star   the program: allow(customer, model, version) and
                  route(customer, task, size), in Starlark
    catalog.ini   the team's customers, versions with costs, tasks, services
    cases.ini     test cases that must hold before the policy is accepted`

func policyCommands() []command {
	return []command{
		{"check", "compile a policy and report every fault", policyLong, &policyCheck{}},
		{"test", "run a policy's test cases", policyLong, &policyTest{}},
		{"diff", "show the decisions that a policy would change", policyLong, &policyDiff{}},
		{"accept", "test a policy and put it in force", acceptLong, &policyAccept{}},
		{"show", "print or save the policy in force or an older one", "", &policyShow{}},
		{"history", "list the policies that were accepted", "", &policyHistory{}},
	}
}

type policyDir struct {
	Args struct {
		Dir string `positional-arg-name:"DIR" description:"policy directory" required:"true"`
	} `positional-args:"true"`
}

// compile reads and compiles the directory and prints every fault.
func (d policyDir) compile() (policy.Source, *policy.Table, error) {
	f, err := policyfile.ReadDir(d.Args.Dir)
	if err != nil {
		return policy.Source{}, nil, err
	}
	s, e := policyfile.Parse(f)
	if len(e) > 0 {
		return s, nil, report(e)
	}
	t, e := policy.Compile(s)
	return s, t, report(e)
}

func report(e []error) error {
	if len(e) == 0 {
		return nil
	}
	for _, err := range e {
		fmt.Fprintln(os.Stderr, err)
	}
	return errors.Wrapf(errRefused, "faults: %d", len(e))
}

type policyCheck struct{ policyDir }

// Execute implements flags.Commander.
func (c *policyCheck) Execute([]string) error {
	s, _, err := c.compile()
	if err != nil {
		return err
	}
	g := s.Catalog
	fmt.Printf("team %s: %d customers, %d versions, %d tasks, %d services: sound\n", g.Team, len(g.Customers), len(g.Versions), len(g.Tasks), len(g.Services))
	return nil
}

type policyTest struct{ policyDir }

// Execute implements flags.Commander.
func (c *policyTest) Execute([]string) error {
	s, t, err := c.compile()
	if err != nil {
		return err
	}
	if err := report(t.Check(s.Cases)); err != nil {
		return err
	}
	fmt.Printf("%d cases passed\n", len(s.Cases))
	return nil
}

type policyDiff struct{ policyDir }

// Execute implements flags.Commander.
func (c *policyDiff) Execute([]string) error {
	s, t, err := c.compile()
	if err != nil {
		return err
	}
	w, err := getPolicy(s.Catalog.Team, 0)
	if err != nil {
		return err
	}
	var o *policy.Table
	if len(w.Files) > 0 {
		p, e := policyfile.Parse(w.Files)
		if len(e) > 0 {
			return e[0]
		}
		if o, e = policy.Compile(p); len(e) > 0 {
			return e[0]
		}
	}
	l := t.Diff(o)
	return show(l, func() {
		for _, d := range l {
			fmt.Printf("%s: %q -> %q\n", d.What, d.From, d.To)
		}
		fmt.Printf("%d decisions differ from revision %d\n", len(l), w.Revision)
	})
}

func getPolicy(team string, revision uint64) (*fieldvalev1.GetPolicyResponse, error) {
	a, x, cancel, err := admin()
	if err != nil {
		return nil, err
	}
	defer cancel()
	return a.GetPolicy(x, &fieldvalev1.GetPolicyRequest{Team: team, Revision: revision})
}

const acceptLong = `Accept runs the policy's test cases, refuses it if one fails, and puts it in
force. It starts from the revision that "policy show --out" saved or that the
last accept from this directory made; if another operator's change came
between, it is refused with exit code 3 and nothing is changed. It may be
repeated: a policy that is in force is not accepted again.`

// baseFile holds the revision that a directory started from.
const baseFile = ".base"

type policyAccept struct {
	policyDir
	Why  string `long:"why" required:"true" description:"reason, for the audit trail"`
	Base string `long:"base" value-name:"REVISION" description:"revision that the policy started from"`
}

// Execute implements flags.Commander.
func (c *policyAccept) Execute([]string) error {
	s, t, err := c.compile()
	if err != nil {
		return err
	}
	if err := report(t.Check(s.Cases)); err != nil {
		return err
	}
	b, err := c.base(s.Catalog.Team)
	if err != nil {
		return err
	}
	q := &fieldvalev1.ChangeRequest{
		Id: changeID(s.Catalog.Team, b, s.Files), Team: s.Catalog.Team, Why: c.Why,
		Action: string(audit.Accept), Base: b, Files: s.Files,
	}
	r, err := change(q)
	if err != nil {
		return err
	}
	return saveBase(c.Args.Dir, r.Revision)
}

// changeID is the same for the same policy from the same base, so that
// repeating the command repeats no change.
func changeID(team string, base uint64, files map[string]string) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%d\x00", team, base)
	for _, n := range slices.Sorted(maps.Keys(files)) {
		fmt.Fprintf(h, "%s\x00%s\x00", n, files[n])
	}
	return "accept/" + hex.EncodeToString(h.Sum(nil))[:24]
}

func (c *policyAccept) base(team string) (uint64, error) {
	if c.Base != "" {
		n, err := strconv.ParseUint(c.Base, 10, 64)
		return n, errors.Wrap(err, "--base")
	}
	b, err := os.ReadFile(filepath.Join(c.Args.Dir, baseFile))
	if err == nil {
		n, err := strconv.ParseUint(strings.TrimSpace(string(b)), 10, 64)
		return n, errors.Wrap(err, baseFile)
	}
	w, err := getPolicy(team, 0)
	if err != nil {
		return 0, err
	}
	return w.Revision, nil
}

func saveBase(dir string, revision uint64) error {
	return os.WriteFile(filepath.Join(dir, baseFile), []byte(strconv.FormatUint(revision, 10)+"\n"), 0o644)
}

// change makes a change and tells where it is in force.
func change(q *fieldvalev1.ChangeRequest) (*fieldvalev1.ChangeResponse, error) {
	a, x, cancel, err := admin()
	if err != nil {
		return nil, err
	}
	defer cancel()
	r, err := a.Change(x, q)
	if err != nil {
		return nil, err
	}
	return r, show(r, func() {
		if r.RepeatedChange {
			fmt.Println("nothing to change: it is made already")
		}
		fmt.Printf("revision %d in force on %d of %d instances\n", r.Revision, len(r.InForce), len(r.InForce)+len(r.NotInForce))
		for _, i := range r.NotInForce {
			fmt.Printf("not in force yet on %s\n", i)
		}
	})
}

type policyShow struct {
	Revision uint64 `long:"revision" description:"an older revision; 0 is the one in force"`
	Out      string `long:"out" value-name:"DIR" description:"save the files and their revision, to start a change from"`
}

// Execute implements flags.Commander.
func (c *policyShow) Execute([]string) error {
	if err := needTeam(); err != nil {
		return err
	}
	w, err := getPolicy(global.Team, c.Revision)
	if err != nil {
		return err
	}
	if c.Out != "" {
		return save(c.Out, w)
	}
	return show(w, func() {
		fmt.Printf("team %s revision %d\n", w.Team, w.Revision)
		for _, n := range slices.Sorted(maps.Keys(w.Files)) {
			fmt.Printf("--- %s\n%s", n, w.Files[n])
		}
		fmt.Printf("--- withdrawn: %s\n", strings.Join(w.Withdrawn, " "))
	})
}

func save(dir string, w *fieldvalev1.GetPolicyResponse) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for n, t := range w.Files {
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(n)), []byte(t), 0o644); err != nil {
			return err
		}
	}
	return saveBase(dir, w.Revision)
}

type policyHistory struct {
	Limit int32 `long:"limit" default:"200" description:"how many changes to look back"`
}

// Execute implements flags.Commander.
func (c *policyHistory) Execute([]string) error {
	if err := needTeam(); err != nil {
		return err
	}
	return printAudit(c.Limit, func(e *fieldvalev1.AuditEntry) bool { return e.Action == string(audit.Accept) })
}
