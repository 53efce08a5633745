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

// policyCommands returns the subcommands of "policy".
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

// policyDir is the argument of the commands that read a policy directory.
type policyDir struct {
	Args struct {
		Dir string `positional-arg-name:"DIR" description:"policy directory" required:"true"`
	} `positional-args:"true"`
}

// compile reads and compiles the policy in the directory. It prints every
// fault of the policy and returns an error if there is one.
func (d policyDir) compile() (policy.Source, *policy.Table, error) {
	files, err := policyfile.ReadDir(d.Args.Dir)
	if err != nil {
		return policy.Source{}, nil, err
	}
	source, faults := policyfile.Parse(files)
	if len(faults) > 0 {
		return source, nil, printFaults(faults)
	}
	table, faults := policy.Compile(source)
	return source, table, printFaults(faults)
}

// printFaults prints all faults to standard error and returns an error with
// their number, or nil if there are none.
func printFaults(faults []error) error {
	if len(faults) == 0 {
		return nil
	}
	for _, err := range faults {
		fmt.Fprintln(os.Stderr, err)
	}
	return errors.Wrapf(errRefused, "faults: %d", len(faults))
}

type policyCheck struct{ policyDir }

// Execute implements flags.Commander.
func (c *policyCheck) Execute([]string) error {
	source, _, err := c.compile()
	if err != nil {
		return err
	}
	catalog := source.Catalog
	fmt.Printf("team %s: %d customers, %d versions, %d tasks, %d services: sound\n", catalog.Team, len(catalog.Customers), len(catalog.Versions), len(catalog.Tasks), len(catalog.Services))
	return nil
}

type policyTest struct{ policyDir }

// Execute implements flags.Commander.
func (c *policyTest) Execute([]string) error {
	source, table, err := c.compile()
	if err != nil {
		return err
	}
	if err := printFaults(table.Check(source.Cases)); err != nil {
		return err
	}
	fmt.Printf("%d cases passed\n", len(source.Cases))
	return nil
}

type policyDiff struct{ policyDir }

// Execute implements flags.Commander.
func (c *policyDiff) Execute([]string) error {
	source, table, err := c.compile()
	if err != nil {
		return err
	}
	current, err := getPolicy(source.Catalog.Team, 0)
	if err != nil {
		return err
	}
	var currentTable *policy.Table
	if len(current.Files) > 0 {
		parsed, faults := policyfile.Parse(current.Files)
		if len(faults) > 0 {
			return faults[0]
		}
		if currentTable, faults = policy.Compile(parsed); len(faults) > 0 {
			return faults[0]
		}
	}
	differences := table.Diff(currentTable)
	return printResult(differences, func() {
		for _, d := range differences {
			fmt.Printf("%s: %q -> %q\n", d.What, d.From, d.To)
		}
		fmt.Printf("%d decisions differ from revision %d\n", len(differences), current.Revision)
	})
}

// getPolicy fetches a team's policy; revision 0 selects the one in force.
func getPolicy(team string, revision uint64) (*fieldvalev1.GetPolicyResponse, error) {
	a, ctx, cancel, err := newAdminClient()
	if err != nil {
		return nil, err
	}
	defer cancel()
	return a.GetPolicy(ctx, &fieldvalev1.GetPolicyRequest{Team: team, Revision: revision})
}

const acceptLong = `Accept runs the policy's test cases, refuses it if one fails, and puts it in
force. It starts from the revision that "policy show --out" saved or that the
last accept from this directory made; if another operator's change came
between, it is refused with exit code 3 and nothing is changed. It may be
repeated: a policy that is in force is not accepted again.`

// baseRevisionFile is the file in a policy directory that holds the revision
// on which the directory's policy is based.
const baseRevisionFile = ".base"

type policyAccept struct {
	policyDir
	Why  string `long:"why" required:"true" description:"reason, for the audit trail"`
	Base string `long:"base" value-name:"REVISION" description:"revision that the policy started from"`
}

// Execute implements flags.Commander.
func (c *policyAccept) Execute([]string) error {
	source, table, err := c.compile()
	if err != nil {
		return err
	}
	if err := printFaults(table.Check(source.Cases)); err != nil {
		return err
	}
	base, err := c.baseRevision(source.Catalog.Team)
	if err != nil {
		return err
	}
	request := &fieldvalev1.ChangeRequest{
		Id: changeID(source.Catalog.Team, base, source.Files), Team: source.Catalog.Team, Why: c.Why,
		Action: string(audit.Accept), Base: base, Files: source.Files,
	}
	response, err := submitChange(request)
	if err != nil {
		return err
	}
	return writeBaseRevision(c.Args.Dir, response.Revision)
}

// changeID derives the id of a change from the team, the base revision and the
// files. A repeated command thus sends the same id, and the system doesn't make
// the change twice.
func changeID(team string, base uint64, files map[string]string) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%d\x00", team, base)
	for _, n := range slices.Sorted(maps.Keys(files)) {
		fmt.Fprintf(h, "%s\x00%s\x00", n, files[n])
	}
	return "accept/" + hex.EncodeToString(h.Sum(nil))[:24]
}

// baseRevision returns the revision on which the policy is based: the option
// --base, else the content of baseRevisionFile, else the revision in force.
func (c *policyAccept) baseRevision(team string) (uint64, error) {
	if c.Base != "" {
		revision, err := strconv.ParseUint(c.Base, 10, 64)
		return revision, errors.Wrap(err, "--base is not a revision number")
	}
	text, err := os.ReadFile(filepath.Join(c.Args.Dir, baseRevisionFile))
	if err == nil {
		revision, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
		return revision, errors.Wrap(err, baseRevisionFile)
	}
	current, err := getPolicy(team, 0)
	if err != nil {
		return 0, err
	}
	return current.Revision, nil
}

// writeBaseRevision records in the policy directory on which revision its
// policy is based.
func writeBaseRevision(dir string, revision uint64) error {
	return os.WriteFile(filepath.Join(dir, baseRevisionFile), []byte(strconv.FormatUint(revision, 10)+"\n"), 0o644)
}

// submitChange sends a change to the administration API and prints on which
// instances it is in force.
func submitChange(request *fieldvalev1.ChangeRequest) (*fieldvalev1.ChangeResponse, error) {
	a, ctx, cancel, err := newAdminClient()
	if err != nil {
		return nil, err
	}
	defer cancel()
	response, err := a.Change(ctx, request)
	if err != nil {
		return nil, err
	}
	return response, printResult(response, func() {
		if response.RepeatedChange {
			fmt.Println("nothing to change: it is made already")
		}
		fmt.Printf("revision %d in force on %d of %d instances\n", response.Revision, len(response.InForce), len(response.InForce)+len(response.NotInForce))
		for _, instance := range response.NotInForce {
			fmt.Printf("not in force yet on %s\n", instance)
		}
	})
}

type policyShow struct {
	Revision uint64 `long:"revision" description:"an older revision; 0 is the one in force"`
	Out      string `long:"out" value-name:"DIR" description:"save the files and their revision, to start a change from"`
}

// Execute implements flags.Commander.
func (c *policyShow) Execute([]string) error {
	if err := requireTeam(); err != nil {
		return err
	}
	response, err := getPolicy(globalOptions.Team, c.Revision)
	if err != nil {
		return err
	}
	if c.Out != "" {
		return savePolicy(c.Out, response)
	}
	return printResult(response, func() {
		fmt.Printf("team %s revision %d\n", response.Team, response.Revision)
		for _, name := range slices.Sorted(maps.Keys(response.Files)) {
			fmt.Printf("--- %s\n%s", name, response.Files[name])
		}
		fmt.Printf("--- withdrawn: %s\n", strings.Join(response.Withdrawn, " "))
	})
}

// savePolicy writes a policy's files and its revision into the directory.
func savePolicy(dir string, response *fieldvalev1.GetPolicyResponse) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for name, text := range response.Files {
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(name)), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return writeBaseRevision(dir, response.Revision)
}

type policyHistory struct {
	Limit int32 `long:"limit" default:"200" description:"how many changes to look back"`
}

// Execute implements flags.Commander.
func (c *policyHistory) Execute([]string) error {
	if err := requireTeam(); err != nil {
		return err
	}
	return printAudit(c.Limit, func(e *fieldvalev1.AuditEntry) bool { return e.Action == string(audit.Accept) })
}
