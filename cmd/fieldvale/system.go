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
the version in use, once, and their callers are told. Engines are ordered to
unload it, so that an instance which is cut off is refused by them.`

func systemCommands() []command {
	return []command{
		{"status", "show instances, backend servers and alarms", "", &status{}},
		{"withdraw", "take a version out of use at once", withdrawLong, &withdraw{}},
		{"reinstate", "let a withdrawn version be used again", "", &reinstate{}},
		{"audit", "show the trail of changes", "", &auditTrail{}},
		{"bills", "show what customers owe", "", &bills{}},
		{"rotate-keys", "sign session tokens with a new key", "Tokens signed with the two keys before it stay good.", &rotateKeys{}},
		{"hash-key", "print the key_sha256 of a key", "The key is read from the argument; only the sum belongs into a file.", &hashKey{}},
	}
}

// versionChange is a command that changes the standing of one version.
type versionChange struct {
	Why  string `long:"why" required:"true" description:"reason, for the audit trail"`
	ID   string `long:"id" description:"id of the change, to repeat it safely"`
	Args struct {
		Version string `positional-arg-name:"MODEL@VERSION" required:"true"`
	} `positional-args:"true"`
}

func (c versionChange) change(a audit.Action) error {
	if err := needTeam(); err != nil {
		return err
	}
	_, err := change(&fieldvalev1.ChangeRequest{Id: idOr(c.ID), Team: global.Team, Why: c.Why, Action: string(a), Version: c.Args.Version})
	return err
}

type withdraw struct{ versionChange }

// Execute implements flags.Commander.
func (c *withdraw) Execute([]string) error { return c.change(audit.Withdraw) }

type reinstate struct{ versionChange }

// Execute implements flags.Commander.
func (c *reinstate) Execute([]string) error { return c.change(audit.Reinstate) }

type rotateKeys struct {
	Why string `long:"why" required:"true" description:"reason, for the audit trail"`
	ID  string `long:"id" description:"id of the change, to repeat it safely"`
}

// Execute implements flags.Commander.
func (c *rotateKeys) Execute([]string) error {
	_, err := change(&fieldvalev1.ChangeRequest{Id: idOr(c.ID), Why: c.Why, Action: string(audit.RotateKeys)})
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

// table prints rows in columns.
func table(rows [][]string) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

type status struct{}

// Execute implements flags.Commander.
func (c *status) Execute([]string) error {
	a, x, cancel, err := admin()
	if err != nil {
		return err
	}
	defer cancel()
	s, err := a.Status(x, &fieldvalev1.StatusRequest{})
	if err != nil {
		return err
	}
	return show(s, func() { printStatus(s) })
}

func printStatus(s *fieldvalev1.StatusResponse) {
	fmt.Printf("configuration revision %d\n\n", s.Revision)
	r := [][]string{{"INSTANCE", "DATA CENTRE", "REVISION", "IN FORCE", "STORE", "ENTRY", "HEARD"}}
	for _, i := range s.Instances {
		r = append(r, []string{
			i.Id, i.DataCentre, fmt.Sprint(i.Revision), fmt.Sprint(i.EntryRevision),
			word(i.StoreOk, "reached", "cut off"), word(i.EntryOk, "up", "down"), fmt.Sprintf("%.1fs ago", float64(i.HeardMillisAgo)/1000),
		})
	}
	table(r)
	fmt.Println()
	r = [][]string{{"BACKEND SERVER", "DATA CENTRE", "KIND", "STATE", "RUNNING", "WAITING", "SERVES"}}
	for _, b := range s.Replicas {
		v := strings.Join(b.Versions, " ")
		if b.Service != "" {
			v = b.Service
		}
		r = append(r, []string{b.Id, b.DataCentre, b.Kind, word(b.Leaving, "leaving", "live"), fmt.Sprint(b.Running), fmt.Sprint(b.Waiting), v})
	}
	table(r)
	fmt.Println()
	for _, l := range s.Alarms {
		fmt.Println("ALARM", l)
	}
	if len(s.Alarms) == 0 {
		fmt.Println("no alarms")
	}
}

func word(b bool, yes, no string) string {
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

func printAudit(limit int32, keep func(*fieldvalev1.AuditEntry) bool) error {
	a, x, cancel, err := admin()
	if err != nil {
		return err
	}
	defer cancel()
	w, err := a.Audit(x, &fieldvalev1.AuditRequest{Team: global.Team, Limit: limit})
	if err != nil {
		return err
	}
	var l []*fieldvalev1.AuditEntry
	for _, e := range w.Entries {
		if keep(e) {
			l = append(l, e)
		}
	}
	return show(l, func() {
		r := [][]string{{"REVISION", "AT", "WHO", "TEAM", "ACTION", "FROM", "TO", "WHY"}}
		for _, e := range l {
			r = append(r, []string{fmt.Sprint(e.Revision), e.At, e.Who, e.Team, e.Action, e.From, e.To, e.Why})
		}
		table(r)
	})
}

type bills struct{}

// Execute implements flags.Commander.
func (c *bills) Execute([]string) error {
	a, x, cancel, err := admin()
	if err != nil {
		return err
	}
	defer cancel()
	w, err := a.Bills(x, &fieldvalev1.BillsRequest{Team: global.Team})
	if err != nil {
		return err
	}
	return show(w.Lines, func() {
		r := [][]string{{"TEAM", "CUSTOMER", "VERSION", "REQUESTS", "TOKENS IN", "TOKENS OUT", "COST"}}
		for _, l := range w.Lines {
			r = append(r, []string{l.Team, l.Customer, l.Version, fmt.Sprint(l.Requests), fmt.Sprint(l.TokensIn), fmt.Sprint(l.TokensOut), fmt.Sprintf("%.6f", float64(l.Cost)/1e6)})
		}
		table(r)
	})
}
