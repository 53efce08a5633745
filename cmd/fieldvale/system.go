package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"fieldvale/audit"
	"fieldvale/catalog"
	fieldvalev1 "fieldvale/gen/fieldvale/v1"
)

const withdrawLong = `A withdrawn version gets no new work on any instance within seconds: no first
try, no retry, no second step of a cascade. Sessions that had it are moved to
the version in use, once, and their callers are notified. Engines are ordered to
unload it, so that an instance which is cut off is refused by them.`

// systemCommands returns the commands at the top level.
func systemCommands() []command {
	return []command{
		{"status", "show instances, backend servers and alarms", "", &status{}},
		{"withdraw", "take a version out of use at once", withdrawLong, &withdraw{}},
		{"reinstate", "let a withdrawn version be used again", "", &reinstate{}},
		{"audit", "show the trail of changes", "", &auditTrail{}},
		{"bills", "show what customers owe", "", &bills{}},
		{"rotate-keys", "sign session tokens with a new key", "Tokens signed with the two keys before it stay good.", &rotateKeys{}},
		{"hash-key", "print the key_sha256 of a key", "The key is read from the argument; only its hash belongs in a file.", &hashKey{}},
	}
}

// versionChange holds the options and the argument of the commands that change
// the state of one version.
type versionChange struct {
	Why  string `long:"why" required:"true" description:"reason, for the audit trail"`
	ID   string `long:"id" description:"id of the change, to repeat it safely"`
	Args struct {
		Version string `positional-arg-name:"MODEL@VERSION" required:"true"`
	} `positional-args:"true"`
}

// submit sends the change to the administration API.
func (c versionChange) submit(action audit.Action) error {
	if err := requireTeam(); err != nil {
		return err
	}
	_, err := submitChange(&fieldvalev1.ChangeRequest{Id: idOrRandom(c.ID), Team: globalOptions.Team, Why: c.Why, Action: string(action), Version: c.Args.Version})
	return err
}

type withdraw struct{ versionChange }

// Execute implements flags.Commander.
func (c *withdraw) Execute([]string) error { return c.submit(audit.Withdraw) }

type reinstate struct{ versionChange }

// Execute implements flags.Commander.
func (c *reinstate) Execute([]string) error { return c.submit(audit.Reinstate) }

type rotateKeys struct {
	Why string `long:"why" required:"true" description:"reason, for the audit trail"`
	ID  string `long:"id" description:"id of the change, to repeat it safely"`
}

// Execute implements flags.Commander.
func (c *rotateKeys) Execute([]string) error {
	_, err := submitChange(&fieldvalev1.ChangeRequest{Id: idOrRandom(c.ID), Why: c.Why, Action: string(audit.RotateKeys)})
	return err
}

type hashKey struct {
	Args struct {
		Key string `positional-arg-name:"KEY" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *hashKey) Execute([]string) error {
	fmt.Println(catalog.HashKey(c.Args.Key))
	return nil
}

// printTable prints rows with their cells aligned in columns.
func printTable(rows [][]string) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

type status struct{}

// Execute implements flags.Commander.
func (c *status) Execute([]string) error {
	a, ctx, cancel, err := newAdminClient()
	if err != nil {
		return err
	}
	defer cancel()
	s, err := a.Status(ctx, &fieldvalev1.StatusRequest{})
	if err != nil {
		return err
	}
	return printResult(s, func() { printStatus(s) })
}

// printStatus prints the instances, the backend servers and the alarms.
func printStatus(s *fieldvalev1.StatusResponse) {
	fmt.Printf("configuration revision %d\n\n", s.Revision)
	rows := [][]string{{"INSTANCE", "DATA CENTRE", "REVISION", "IN FORCE", "STORE", "ENTRY", "HEARD"}}
	for _, i := range s.Instances {
		rows = append(rows, []string{
			i.Id, i.DataCentre, fmt.Sprint(i.Revision), fmt.Sprint(i.EntryRevision),
			either(i.StoreOk, "reached", "cut off"), either(i.EntryOk, "up", "down"), fmt.Sprintf("%.1fs ago", float64(i.HeardMillisAgo)/1000),
		})
	}
	printTable(rows)
	fmt.Println()
	rows = [][]string{{"BACKEND SERVER", "DATA CENTRE", "KIND", "STATE", "RUNNING", "WAITING", "SERVES"}}
	for _, b := range s.Replicas {
		serves := strings.Join(b.Versions, " ")
		if b.Service != "" {
			serves = b.Service
		}
		rows = append(rows, []string{b.Id, b.DataCentre, b.Kind, either(b.Leaving, "leaving", "live"), fmt.Sprint(b.Running), fmt.Sprint(b.Waiting), serves})
	}
	printTable(rows)
	fmt.Println()
	for _, alarm := range s.Alarms {
		fmt.Println("ALARM", alarm)
	}
	if len(s.Alarms) == 0 {
		fmt.Println("no alarms")
	}
}

// either returns yes if b is true, else no.
func either(b bool, yes, no string) string {
	if b {
		return yes
	}
	return no
}

type auditTrail struct {
	Limit int32 `long:"limit" default:"50" description:"how many changes to show"`
}

// Execute implements flags.Commander.
func (c *auditTrail) Execute([]string) error {
	return printAudit(c.Limit, func(*fieldvalev1.AuditEntry) bool { return true })
}

// printAudit prints those of the team's last changes, up to limit, that keep
// selects.
func printAudit(limit int32, keep func(*fieldvalev1.AuditEntry) bool) error {
	a, ctx, cancel, err := newAdminClient()
	if err != nil {
		return err
	}
	defer cancel()
	response, err := a.Audit(ctx, &fieldvalev1.AuditRequest{Team: globalOptions.Team, Limit: limit})
	if err != nil {
		return err
	}
	var entries []*fieldvalev1.AuditEntry
	for _, e := range response.Entries {
		if keep(e) {
			entries = append(entries, e)
		}
	}
	return printResult(entries, func() {
		rows := [][]string{{"REVISION", "AT", "WHO", "TEAM", "ACTION", "FROM", "TO", "WHY"}}
		for _, e := range entries {
			rows = append(rows, []string{fmt.Sprint(e.Revision), e.At, e.Who, e.Team, e.Action, e.From, e.To, e.Why})
		}
		printTable(rows)
	})
}

type bills struct{}

// Execute implements flags.Commander.
func (c *bills) Execute([]string) error {
	a, ctx, cancel, err := newAdminClient()
	if err != nil {
		return err
	}
	defer cancel()
	response, err := a.Bills(ctx, &fieldvalev1.BillsRequest{Team: globalOptions.Team})
	if err != nil {
		return err
	}
	return printResult(response.Lines, func() {
		rows := [][]string{{"TEAM", "CUSTOMER", "VERSION", "REQUESTS", "TOKENS IN", "TOKENS OUT", "COST"}}
		for _, l := range response.Lines {
			rows = append(rows, []string{l.Team, l.Customer, l.Version, fmt.Sprint(l.Requests), fmt.Sprint(l.TokensIn), fmt.Sprint(l.TokensOut), fmt.Sprintf("%.6f", float64(l.Cost)/1e6)})
		}
		printTable(rows)
	})
}
