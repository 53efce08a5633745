package entry

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"fieldvale/placement"
	"fieldvale/pool"
	"fieldvale/prompt"
	"fieldvale/route"
)

// grantingPlacer stands for the group's keeper: it lets so many requests go to cold
// replicas.
type grantingPlacer struct {
	grants int
	asked  []placement.Ask
}

func (p *grantingPlacer) Choose(_ context.Context, _ string, a placement.Ask) (placement.Choice, placement.Ticket, bool) {
	p.asked = append(p.asked, a)
	for i := range a.Replicas {
		cold := a.Cold>>i&1 == 1
		if cold && p.grants == 0 {
			continue
		}
		if cold {
			p.grants--
		}
		return placement.Choice{Index: i}, placement.Ticket{}, true
	}
	return placement.Choice{Index: -1, Limited: len(a.Replicas)}, placement.Ticket{}, true
}
func (p *grantingPlacer) Read(placement.Ticket)                  {}
func (p *grantingPlacer) Lost(placement.Ticket, placement.Fault) {}

// warmthRouter has a service whose replicas bear ten requests a second while they are
// cold: warm ones, cold ones, and some that were not reached a moment ago.
func warmthRouter(p Placer) (*Router, *route.Table, []*pool.Replica, *time.Time) {
	now := time.Unix(1_700_000_000, 0)
	r := NewRouter(Ports{View: NewCurrent(), Clock: func() time.Time { return now }, Rand: rand.NewPCG(1, 1), Placer: p, ColdBound: placement.ColdBound{Overage: 2}})
	t := route.New(1, nil, map[string]route.Service{"s": {ColdFor: 3 * time.Second, ColdPerSecond: 10}}, nil, route.Limits{})
	l := []*pool.Replica{{ID: "warm"}, {ID: "cold", ColdUntil: now.Add(2 * time.Second)}, {ID: "lost"}, {ID: "cut"}}
	for _, x := range l {
		r.backends.put(x, 1, now)
		r.backends.doneOpaque(x.ID, x.ID == "cut", x.ID == "lost", now)
	}
	return r, t, l, &now
}

func (w *forwarding) warmth(l []*pool.Replica) string {
	warm, cold := w.byWarmth(l)
	return names(warm) + "; " + names(cold)
}

func names(l []*pool.Replica) string {
	var n []string
	for _, r := range l {
		n = append(n, r.ID)
	}
	return strings.Join(n, " ")
}

// Requests without a prompt count replicas that were not reached a moment ago as cold, those with
// one leave that to the keeper; a service that states no bound has no cold replicas.
func TestColdReplicasAreParted(t *testing.T) {
	for _, c := range []struct {
		name, service string
		prompt        prompt.Prompt
		after         time.Duration
		want          string
	}{
		{"no prompt", "s", prompt.Prompt{}, 0, "warm cut; cold lost"},
		{"a prompt", "s", prompt.Prompt{Model: "m"}, 0, "warm lost cut; cold"},
		{"when it is warm", "s", prompt.Prompt{}, 2500 * time.Millisecond, "warm cold cut; lost"},
		{"long after", "s", prompt.Prompt{}, time.Minute, "warm cold lost cut; "},
		{"no bound", "other", prompt.Prompt{}, 0, "warm cold lost cut; "},
	} {
		r, table, l, now := warmthRouter(nil)
		*now = now.Add(c.after)
		w := &forwarding{r: r, q: &Opaque{Table: table, Prompt: c.prompt}, f: &Forwarded{Service: c.service}}
		if g := w.warmth(l); g != c.want {
			t.Errorf("%s: %q, want %q", c.name, g, c.want)
		}
	}
}

// A request without a prompt goes to a warm replica while there is one, then to a cold
// one as the keeper allows, and else is refused at once with when the first one is warm.
func TestRequestWithoutAPromptAtColdReplicas(t *testing.T) {
	p := &grantingPlacer{grants: 1}
	r, table, l, now := warmthRouter(p)
	for _, c := range []struct {
		tried, want string
		asked       int
		retry       time.Duration
	}{
		{"", "warm", 0, 0},
		{"warm", "cold", 1, 0},
		{"warm", "", 2, 2 * time.Second},
	} {
		w := &forwarding{r: r, model: -1, askedBy: -1, q: &Opaque{ID: "q", Table: table, Route: &route.Route{}}, f: &Forwarded{Service: "s"}, tried: strings.Fields(c.tried)}
		x := w.place(t.Context(), l[:2])
		got := ""
		if x != nil {
			got = x.replica.ID
		}
		if got != c.want || len(p.asked) != c.asked {
			t.Errorf("after %q: %q with %d questions, want %q with %d", c.tried, got, len(p.asked), c.want, c.asked)
		}
		if c.retry > 0 && w.retryAt.Sub(*now) != c.retry {
			t.Errorf("come back in %s, want %s", w.retryAt.Sub(*now), c.retry)
		}
	}
	if a := p.asked[0]; a.ColdPerSecond != 10 || a.Cold != 1 {
		t.Errorf("asked for %+v", a)
	}
}
