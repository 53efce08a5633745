package config

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/audit"
	"fieldvale/catalog"
	"fieldvale/policy"
	"fieldvale/rollout"
	"fieldvale/session"
	"fieldvale/standin/seed"
	"fieldvale/version"
)

var _ = seed.Fix()

const program = `
def allow(customer, model, version):
    return version != "9"
def route(customer, task, size):
    return [step("m")]
`

// source returns a policy that declares versions 1, 2, 3 and 9 of the model and
// forbids version 9.
func source(team, model string) policy.Source {
	c := catalog.Catalog{Team: team, Customers: []catalog.Customer{{Name: "c", Share: 1, KeyHashes: []string{catalog.HashKey(team)}}}}
	for _, v := range []string{"1", "2", "3", "9"} {
		c.Versions = append(c.Versions, catalog.Version{ID: version.New(model, v), Default: v == "1"})
	}
	return policy.Source{Program: program, Catalog: c}
}

// drawChange draws a change of any action, with an id that may be in use already
// and a base that may be outdated.
func drawChange(t *rapid.T, d Document, now time.Time) Change {
	v := version.New("m", rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "version"))
	c := Change{
		ID: fmt.Sprint("id", rapid.IntRange(0, 40).Draw(t, "id")), Team: "t", Who: "op", At: now, Version: v,
		Action:       rapid.SampledFrom([]audit.Action{audit.Accept, audit.Withdraw, audit.Reinstate, audit.StartRollout, audit.StepRollout, audit.TripRollout, audit.HaltRollout, audit.RotateKeys}).Draw(t, "action"),
		BaseRevision: rapid.SampledFrom([]uint64{AnyBase, d.Part("t").Revision, 0, 1}).Draw(t, "base"),
		Source:       source("t", "m"), Key: session.NewKey(),
	}
	c.Rollout, _ = rollout.New(version.New("m", "1"), v, []int{100, rollout.FullShare}, now, time.Second)
	if o, ok := d.Part("t").Rollout("m"); ok && rapid.Bool().Draw(t, "current") {
		c.Rollout = o
	}
	return c
}

// Guards against changes that skip or reuse a revision, take effect twice when
// retried, or make an older document replace a newer one. It applies random
// changes, applies each a second time, and checks revisions and picked versions.
func TestRandomChangesKeepTheDocumentValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		d := Document{}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			now = now.Add(time.Second)
			c := drawChange(t, d, now)
			n, e, err := d.Apply(c)
			switch {
			case err != nil && n.Revision != d.Revision:
				t.Fatalf("refused change: got revision %d, want %d", n.Revision, d.Revision)
			case err == nil && e != nil && n.Revision != d.Revision+1:
				t.Fatalf("applied change: got revision %d, want %d", n.Revision, d.Revision+1)
			case err == nil && e == nil && n.Revision != d.Revision:
				t.Fatalf("change applied before: got revision %d, want %d", n.Revision, d.Revision)
			}
			if err == nil {
				if again, e, err := n.Apply(c); err != nil || e != nil || again.Revision != n.Revision {
					t.Fatalf("%s applied again: got revision %d, entry %v, error %v; want revision %d and nothing else", c.Action, again.Revision, e, err, n.Revision)
				}
			}
			if n.IsOlderThan(d) || !d.IsOlderThan(n) && n.Revision != d.Revision {
				t.Fatalf("revisions %d and %d: got the lower one reported as newer, want the higher one", d.Revision, n.Revision)
			}
			d = n
			checkPick(t, d)
		}
	})
}

// checkPick checks that each picked version is one that the caller may use, and
// that a pinned session keeps its version.
func checkPick(t *rapid.T, d Document) {
	a, e := Compile(d)
	if len(e) > 0 {
		t.Fatal(e)
	}
	c, ok := a.Caller("t")
	if !ok {
		return
	}
	for n := range 20 {
		s := session.New(fmt.Sprint(n), "c", time.Time{})
		v, ok := a.PickVersion(c, "m", s, func(version.ID) bool { return false })
		if ok && !a.IsAllowed(c, v) {
			t.Fatalf("got version %s, want one that the caller may use", v)
		}
		if !ok {
			continue
		}
		p, _ := a.PickVersion(c, "m", s.WithPin(v), func(version.ID) bool { return false })
		if p != v {
			t.Fatalf("session pinned to %s: got version %s, want the pinned one", v, p)
		}
	}
}

// Guards against invalid changes that alter the document instead of returning an
// error.
func TestApplyRefusesInvalidChanges(t *testing.T) {
	d, _, err := Document{}.Apply(Change{ID: "1", Team: "t", Action: audit.Accept, BaseRevision: AnyBase, Source: source("t", "m")})
	if err != nil {
		t.Fatal(err)
	}
	other := source("u", "n")
	other.Catalog.Customers[0].KeyHashes = []string{catalog.HashKey("t")}
	for _, c := range []struct {
		name   string
		change Change
	}{
		{"a base other than the revision in force", Change{ID: "2", Team: "t", Action: audit.Accept, BaseRevision: 7, Source: source("t", "m")}},
		{"another team's policy", Change{ID: "2", Team: "u", Action: audit.Accept, BaseRevision: AnyBase, Source: source("t", "m")}},
		{"another team's model", Change{ID: "2", Team: "u", Action: audit.Accept, BaseRevision: AnyBase, Source: source("u", "m")}},
		{"another team's caller key", Change{ID: "2", Team: "u", Action: audit.Accept, BaseRevision: AnyBase, Source: other}},
		{"withdrawing an undeclared version", Change{ID: "2", Team: "t", Action: audit.Withdraw, Version: version.New("m", "7")}},
		{"reinstating a version that is not withdrawn", Change{ID: "2", Team: "t", Action: audit.Reinstate, Version: version.New("m", "1")}},
		{"a step without a roll-out", Change{ID: "2", Team: "t", Action: audit.StepRollout}},
		{"an unknown action", Change{ID: "2", Team: "t", Action: "paint"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, _, err := d.Apply(c.change)
			if err == nil || n.Revision != d.Revision {
				t.Errorf("got revision %d, error %v; want revision %d and an error", n.Revision, err, d.Revision)
			}
		})
	}
}

// Guards against a new revision and audit entry when an operator submits the
// policy that is in force, which would distribute an unchanged document to all
// instances.
func TestAcceptingThePolicyInForceChangesNothing(t *testing.T) {
	s := source("t", "m")
	s.Files = map[string]string{"policy.star": program}
	d, _, err := Document{}.Apply(Change{ID: "1", Team: "t", Action: audit.Accept, BaseRevision: AnyBase, Source: s})
	if err != nil {
		t.Fatal(err)
	}
	n, e, err := d.Apply(Change{ID: "2", Team: "t", Action: audit.Accept, BaseRevision: 1, Source: s})
	if err != nil || e != nil || n.Revision != d.Revision {
		t.Errorf("got revision %d, entry %v, error %v; want revision %d, no entry and no error", n.Revision, e, err, d.Revision)
	}
}
