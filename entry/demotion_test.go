package entry

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/outcome"
	"fieldvale/placement"
	"fieldvale/pool"
	"fieldvale/prompt"
	"fieldvale/rollout"
	"fieldvale/route"
	"fieldvale/timing"
)

// choicePlacer chooses the first candidate, always with the same estimates.
type choicePlacer struct {
	busyPlacer
	c placement.Choice
}

func (p choicePlacer) Choose(context.Context, string, placement.Request) (placement.Choice, placement.Ticket, bool) {
	return p.c, placement.Ticket{}, true
}

// prioritisedSends records the priorities of attempts, and fails or answers them by the script.
type prioritisedSends struct {
	forwardScript
	priorities []int
}

func (s *prioritisedSends) Send(ctx context.Context, r *pool.Replica, d Dispatch) (Reply, error) {
	s.priorities = append(s.priorities, d.Priority)
	return s.forwardScript.Send(ctx, r, d)
}

// forwardDemoted forwards a request with a deadline of 5 s, whose customer's standing is that of c.
func forwardDemoted(t *testing.T, c placement.Choice, replies ...scriptedReply) (*prioritisedSends, *ForwardResult, error) {
	s := &prioritisedSends{forwardScript: forwardScript{t: t, replies: replies}}
	v := NewCurrentView()
	var l []pool.Replica
	for _, id := range []string{"r0", "r1", "r2"} {
		l = append(l, pool.Replica{ID: id, Kind: pool.Service, Service: "s", Slots: 4})
	}
	v.Put(NewView(nil, l, nil, nil).WithRoutes(route.New(1, nil, nil, nil, route.Limits{}), map[string]rollout.Release{}))
	r := NewRouter(Ports{View: v, Clock: time.Now, Rand: rand.NewPCG(1, 1), Upstream: s, Retries: retryBurst(9), FleetSize: func() int { return 1 }, AcceptConfidence: 60, Placer: choicePlacer{c: c}, CompletionPause: time.Second})
	x := &route.Route{Kind: route.Stream, Split: []route.WeightedService{{Service: "s"}}, MaxAttempts: 3, Target: 2 * time.Second, PauseTarget: 2 * time.Second, Priority: 4, Models: []string{"a", "b"}}
	q := &OpaqueRequest{ID: "q", Table: v.Get().Table, Route: x, Customer: route.Customer{Name: "hot"}, Prompt: prompt.Prompt{Model: prompt.AnyModel, InputTokens: 100}, ArrivedAt: time.Now(), Deadline: time.Now().Add(5 * time.Second), TimeoutAt: time.Now().Add(5 * time.Second)}
	f, err := r.Forward(t.Context(), q, &clientSink{})
	return s, f, err
}

// doubtful is an answer that a larger model would replace.
var doubtful = scriptedReply{status: 200, confidence: "10", events: []string{"e"}}

// Guards against requests over their customer's share that delay others by their priority or by
// a larger model, and against effects on customers within their shares.
func TestDemotedRequestIsServedAfterOthers(t *testing.T) {
	c := placement.Choice{WaitMs: 100, PrefillMs: 50, FinishMs: 400}
	s, f, err := forwardDemoted(t, c, doubtful, scriptedReply{status: 200, confidence: "90", events: []string{"e"}})
	if err != nil || len(s.priorities) != 2 || s.priorities[0] != 4 || f.Share != nil {
		t.Errorf("within its share: got %v, priorities %v and decision %+v, want an escalation with priority 4", err, s.priorities, f.Share)
	}
	c.Demoted, c.ShareUsed, c.ShareFair = true, 0.5, 0.1
	s, f, err = forwardDemoted(t, c, doubtful)
	if err != nil || len(s.priorities) != 1 || s.priorities[0] != 5 || f.Escalation != keptOverShare || f.Share.Outcome != ShareNotEscalated {
		t.Errorf("over its share: got %v, priorities %v and %q, want one attempt with priority 5", err, s.priorities, f.Escalation)
	}
}

// Guards against demoted requests that run in vain, against refusals of customers within their
// shares for the same estimate, and against refusals after the request may have run.
func TestDemotedRequestIsRefusedIfLate(t *testing.T) {
	c := placement.Choice{WaitMs: 1000, PrefillMs: 50, FinishMs: 8000}
	if _, _, err := forwardDemoted(t, c, scriptedReply{status: 200, confidence: "90"}); err != nil {
		t.Errorf("within its share: got %v, want an answer", err)
	}
	c.Demoted = true
	s, f, err := forwardDemoted(t, c)
	var failure *Failure
	if !errors.As(err, &failure) || failure.Outcome != outcome.NotRun || failure.Code != Refused || len(s.priorities) != 0 || f.Share.Outcome != ShareRefused {
		t.Fatalf("over its share: got %v after %d attempts, want a refusal before the first", err, len(s.priorities))
	}
	// The answer is expected 3 s after the deadline; the jitter is half of that.
	if d := f.Share.RetryIn; d < 2900*time.Millisecond || d > 4600*time.Millisecond {
		t.Errorf("got a retry after %s, want 3 to 4.5 s", d)
	}
	r := &forwarding{q: f.Request, result: &ForwardResult{Sends: 1}}
	if r.refusesOverShare(&assignment{share: shareStatus{over: true, finish: time.Hour}}) {
		t.Error("a request that was sent before is refused")
	}
}

// Guards against estimates that become too short as attempts begun shortly before their deadline are
// ended by it: such an attempt shows that the answer takes at least as long, and not that it takes less.
func TestEndByDeadlineDoesNotShortenEstimate(t *testing.T) {
	now := time.Now()
	r := &Router{clock: func() time.Time { return now }, finishDelays: timing.NewFirstEventDelays()}
	a := &attempt{w: &forwarding{r: r, q: &OpaqueRequest{Deadline: now, TimeoutAt: now}}, assignment: &assignment{byCompletion: true, finishMs: 4000}, slotTimeKey: "k"}
	for _, c := range []struct {
		took   time.Duration
		longer bool
	}{{time.Second, false}, {8 * time.Second, true}} {
		before := r.finishDelays.Expect("k", 4000)
		a.sentAt = now.Add(-c.took)
		a.recordFinish()
		if d := r.finishDelays.Expect("k", 4000); d < before || (d > before) != c.longer {
			t.Errorf("ended after %s: got an estimate of %s after %s, want longer: %t", c.took, d, before, c.longer)
		}
	}
}
