package entry

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/outcome"
	"fieldvale/pool"
	"fieldvale/prompt"
	"fieldvale/quarantine"
	"fieldvale/quota"
	"fieldvale/rollout"
	"fieldvale/route"
)

// quotaFake grants a number of permits for bounded replicas, each to the candidate with the last
// id.
type quotaFake struct {
	grants   int
	limited  map[string]bool
	resting  map[string]bool
	suspect  map[string]bool
	asked    []quota.PermitRequest
	returned []quota.Ticket
	retryAt  time.Time
}

func (g *quotaFake) IsUnrestricted() bool { return len(g.limited)+len(g.suspect) == 0 }
func (g *quotaFake) Bound(r string, coldPerSecond float64, isCold bool) quota.Bound {
	b := quota.Bound{IsLimited: g.limited[r], PerSecond: 1}
	if isCold || g.suspect[r] {
		b.ColdPerSecond = coldPerSecond
	}
	return b
}
func (g *quotaFake) IsExhausted(r string) bool { return g.resting[r] }
func (g *quotaFake) AcquirePermit(_ context.Context, a quota.PermitRequest) quota.PermitResult {
	g.asked = append(g.asked, a)
	if g.grants == 0 {
		reason := quota.ReasonLimited
		if a.Candidates[0].ReportsCold {
			reason = quota.ReasonCold
		}
		return quota.PermitResult{Index: -1, Reason: reason, RetryAt: g.retryAt}
	}
	g.grants--
	last := 0
	for i, c := range a.Candidates {
		if c.Replica > a.Candidates[last].Replica {
			last = i
		}
	}
	return quota.PermitResult{Index: last}
}
func (g *quotaFake) ReleasePermit(t quota.Ticket)        { g.returned = append(g.returned, t) }
func (g *quotaFake) ReportEnd(quota.Ticket, bool)        {}
func (g *quotaFake) ReportUnreachable(_, replica string) { g.suspect[replica] = true }

// firstPlacer chooses the first candidate.
type firstPlacer struct{ busyPlacer }

// newBoundedRouter returns a router and the replicas of a service that bear ten requests a second
// while cold: a warm and a cold one, one that could not be connected to, and one that reset a
// connection.
func newBoundedRouter(g *quotaFake, p Placer) (*Router, *route.Table, []*pool.Replica, *time.Time) {
	now := time.Unix(1_700_000_000, 0)
	g.suspect = map[string]bool{}
	r := NewRouter(Ports{View: NewCurrentView(), Clock: func() time.Time { return now }, Rand: rand.NewPCG(1, 1), Quota: g, Placer: p, ColdBound: quota.ColdBound{Overage: 2}})
	t := route.New(1, nil, map[string]route.Service{"s": {ColdPeriod: 3 * time.Second, ColdPerSecond: 10}}, nil, route.Limits{})
	l := []*pool.Replica{{ID: "warm"}, {ID: "cold", ColdUntil: now.Add(2 * time.Second)}, {ID: "lost"}, {ID: "cut"}}
	for _, x := range l {
		w := &forwarding{r: r, q: &OpaqueRequest{Table: t, Route: &route.Route{}}, result: &ForwardResult{Service: "s"}}
		r.backends.assign(x, 1, now)
		a := &attempt{w: w, assignment: &assignment{replica: x}, replica: x, mayHaveRun: x.ID == "cut"}
		var err error
		switch x.ID {
		case "lost":
			err = outcome.New(outcome.NotRun, "dial", x.ID, errors.New("connection refused"))
		case "cut":
			err = outcome.New(outcome.Unknown, "read", x.ID, errors.New("reset"))
		}
		a.done(err)
	}
	return r, t, l, &now
}

func (w *forwarding) splitNames(l []*pool.Replica) string {
	free, bounded := w.splitByBound(l)
	return idsOf(free) + "; " + idsOf(bounded)
}

func idsOf(l []*pool.Replica) string {
	var n []string
	for _, r := range l {
		n = append(n, r.ID)
	}
	return strings.Join(n, " ")
}

// Replicas that are cold, could not be connected to a moment ago, or advertise a limit are
// bounded. One that broke off an answer is not. A service without a cold rate has no cold
// replicas.
func TestSplitByBound(t *testing.T) {
	for _, c := range []struct {
		name, service string
		limited       string
		after         time.Duration
		want          string
	}{
		{"one cold, one unreachable", "s", "", 0, "warm cut; cold lost"},
		{"once the cold one is warm", "s", "", 2500 * time.Millisecond, "warm cold cut; lost"},
		{"service without a cold rate", "other", "", 0, "warm cold lost cut; "},
		{"one advertises a limit", "other", "cut", 0, "warm cold lost; cut"},
		{"both", "s", "cut", 0, "warm; cold lost cut"},
	} {
		g := &quotaFake{limited: map[string]bool{}}
		r, table, l, now := newBoundedRouter(g, nil)
		*now = now.Add(c.after)
		if c.limited != "" {
			g.limited[c.limited] = true
		}
		w := &forwarding{r: r, q: &OpaqueRequest{Table: table}, result: &ForwardResult{Service: c.service}}
		if x := w.splitNames(l); x != c.want {
			t.Errorf("%s: %q, want %q", c.name, x, c.want)
		}
	}
}

// A request without a prompt goes to a warm replica while there is one, then to a cold one with a
// permit, and is otherwise refused at once until the first one is warm.
func TestRequestWithoutAPromptAtColdReplicas(t *testing.T) {
	g := &quotaFake{grants: 1}
	r, table, l, now := newBoundedRouter(g, nil)
	for _, c := range []struct {
		tried, want string
		asked       int
		retry       time.Duration
	}{
		{"", "warm", 0, 0},
		{"warm", "cold", 1, 0},
		{"warm", "", 2, 2 * time.Second},
	} {
		w := &forwarding{r: r, modelIndex: -1, escalatedFrom: -1, q: &OpaqueRequest{ID: "q", Table: table, Route: &route.Route{}}, result: &ForwardResult{Service: "s"}, tried: strings.Fields(c.tried)}
		x := w.assignAmong(t.Context(), l[:2])
		got := ""
		if x != nil {
			got = x.replica.ID
		}
		if got != c.want || len(g.asked) != c.asked {
			t.Errorf("after %q: %q with %d permit requests, want %q with %d", c.tried, got, len(g.asked), c.want, c.asked)
		}
		if c.retry > 0 && w.retryAt.Sub(*now) != c.retry {
			t.Errorf("retry in %s, want %s", w.retryAt.Sub(*now), c.retry)
		}
	}
	if a := g.asked[0]; a.Candidates[0].Bound.ColdPerSecond != 10 || !a.Candidates[0].ReportsCold || !a.OnlyBounded {
		t.Errorf("first permit request %+v, want a cold rate of 10, a replica that reports cold, and only bounded replicas", a)
	}
}

// A limited replica is used with a permit, otherwise another one is. If all are limited, any of
// them with a free permit will do, and without any the request is refused with the retry time.
// This holds for requests with and without a prompt.
func TestRequestAtLimitedReplicas(t *testing.T) {
	for _, c := range []struct {
		name               string
		limited, exhausted string
		grants             int
		want, skipped      string
	}{
		{"it has a permit left", "a", "", 1, "a", ""},
		{"it has none left", "a", "", 0, "b", "a"},
		{"it recently had none left", "a", "a", 1, "b", ""},
		{"all limited, another has one", "a b c", "a b c", 1, "c", ""},
		{"all limited, none has one", "a b c", "", 0, "", "a"},
	} {
		for _, q := range []prompt.Prompt{{}, {Model: "m", InputTokens: 10}} {
			g := &quotaFake{grants: c.grants, limited: map[string]bool{}, resting: map[string]bool{}}
			r, table, _, now := newBoundedRouter(g, firstPlacer{})
			for _, x := range strings.Fields(c.limited) {
				g.limited[x] = true
			}
			for _, x := range strings.Fields(c.exhausted) {
				g.resting[x] = true
			}
			g.retryAt = now.Add(700 * time.Millisecond)
			l := []*pool.Replica{{ID: "a"}, {ID: "b"}, {ID: "c"}}
			// The others have more pending work.
			r.backends.assign(l[1], 500, *now)
			r.backends.assign(l[2], 900, *now)
			w := &forwarding{r: r, modelIndex: -1, escalatedFrom: -1, q: &OpaqueRequest{ID: "q", Table: table, Route: &route.Route{}, Prompt: q}, result: &ForwardResult{Service: "other"}}
			got, skipped := "", ""
			if p := w.assignAmong(t.Context(), l); p != nil {
				got = p.replica.ID
			}
			for _, x := range w.result.Skipped {
				skipped += x.Replica
			}
			if q.IsZero() && (got != c.want || skipped != c.skipped) {
				t.Errorf("%s: sent to %q, skipped %q, want %q and %q", c.name, got, skipped, c.want, c.skipped)
			}
			if (got == "") != (c.want == "") {
				t.Errorf("%s, with a prompt: sent to %q, want %q", c.name, got, c.want)
			}
			if got == "" && !w.retryAt.Equal(g.retryAt) {
				t.Errorf("%s: retry in %s, want 700ms", c.name, w.retryAt.Sub(*now))
			}
		}
	}
}

// An unused permit is returned if the replica could not be connected to, or if the request is
// assigned elsewhere before it is sent.
func TestUnusedPermitsAreReturned(t *testing.T) {
	g := &quotaFake{grants: 2, limited: map[string]bool{"a": true}}
	r, table, _, _ := newBoundedRouter(g, nil)
	g.returned = nil
	w := &forwarding{r: r, modelIndex: -1, escalatedFrom: -1, q: &OpaqueRequest{ID: "q", Table: table, Route: &route.Route{}}, result: &ForwardResult{Service: "s"}}
	p := w.assignAmong(t.Context(), []*pool.Replica{{ID: "a"}})
	w.releaseAssignment(p)
	p = w.assignAmong(t.Context(), []*pool.Replica{{ID: "a"}})
	a := &attempt{w: w, assignment: p, replica: p.replica}
	a.done(outcome.New(outcome.NotRun, "dial", "a", errors.New("connection refused")))
	if len(g.returned) != 2 {
		t.Errorf("%d permits were returned, want 2", len(g.returned))
	}
}

// All replicas of a new release are limited and have no permit left: a request meant for it goes
// to the old release, unless its session must not change. A request meant for the old release
// never goes to the new one for that reason.
func TestRequestsUseOldReleaseWhileNewIsLimited(t *testing.T) {
	rel := rollout.Release{Service: "s", Target: "v2", Order: 1, Length: time.Minute, State: rollout.Running, Phase: 1, TrialShare: 5000}
	for _, c := range []struct {
		limited, session string
		wants            map[string]bool
	}{
		{"new", "", map[string]bool{"old": true}},
		{"new", "x", map[string]bool{"old": true, "": true}},
		{"old", "", map[string]bool{"new": true, "": true}},
		{"", "", map[string]bool{"new": true, "old": true}},
	} {
		g := &quotaFake{limited: map[string]bool{c.limited: true}, suspect: map[string]bool{}}
		v := NewCurrentView()
		l := []pool.Replica{{ID: "old", Kind: pool.Service, Service: "s", Release: "v1"}, {ID: "new", Kind: pool.Service, Service: "s", Release: "v2"}}
		table := route.New(1, nil, nil, nil, route.Limits{})
		v.Put(NewView(nil, l, nil, nil).WithRoutes(table, map[string]rollout.Release{"s": rel}))
		r := NewRouter(Ports{View: v, Clock: time.Now, Rand: rand.NewPCG(1, 1), Quota: g})
		got := map[string]bool{}
		for i := range 60 {
			q := &OpaqueRequest{ID: fmt.Sprint(i), Table: table, Route: &route.Route{}}
			if c.session != "" {
				q.Session = fmt.Sprint(c.session, i)
			}
			w := &forwarding{r: r, modelIndex: -1, escalatedFrom: -1, q: q, result: &ForwardResult{Service: "s"}}
			id := ""
			if p := w.assignReplica(t.Context()); p != nil {
				id = p.replica.ID
			}
			got[id] = true
		}
		if !maps.Equal(got, c.wants) {
			t.Errorf("limited %q, session %q: sent to %v, want %v", c.limited, c.session, got, c.wants)
		}
	}
}

// Each attempt has a permit of its own, whatever path it takes: first attempts, retries after a
// refusal, a reset or a failure, larger models, and resumed streams. The forward scripts are run
// with all replicas limited, and unused permits are returned.
func TestEachAttemptHasAPermit(t *testing.T) {
	l, err := filepath.Glob("testdata/forward/*.txt")
	if err != nil || len(l) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, p := range l {
		name := strings.TrimSuffix(filepath.Base(p), ".txt")
		g := &quotaFake{grants: 100, limited: map[string]bool{}, suspect: map[string]bool{}}
		for i := range 8 {
			g.limited[fmt.Sprint("r", i)] = true
		}
		sends := 0
		t.Run(name, func(t *testing.T) { sends = runForwardScriptWith(t, p, g, nil) })
		if taken := 100 - g.grants; taken < sends || taken > sends+len(g.returned) {
			t.Errorf("%s: %d permits for %d attempts and %d returned permits, want one for each attempt", name, taken, sends, len(g.returned))
		}
	}
}

// alwaysTrial allows every attempt as a trial.
type alwaysTrial struct{ ignoredResults }

func (alwaysTrial) IsEmpty() bool { return false }
func (alwaysTrial) CheckRequest(context.Context, quarantine.Subjects) quarantine.Verdict {
	return quarantine.Verdict{Decision: quarantine.AllowTrial}
}

// A suspected request sent on trial has a permit for each attempt.
func TestTrialsHaveAPermit(t *testing.T) {
	for _, name := range []string{"resumed", "repeatable_after_reset", "once_after_refusal"} {
		g := &quotaFake{grants: 100, limited: map[string]bool{}, suspect: map[string]bool{}}
		for i := range 8 {
			g.limited[fmt.Sprint("r", i)] = true
		}
		sends := runForwardScriptWith(t, "testdata/forward/"+name+".txt", g, alwaysTrial{})
		if taken := 100 - g.grants; taken != sends {
			t.Errorf("%s: %d permits for %d attempts on trial, want one for each", name, taken, sends)
		}
	}
}
