package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"fieldvale/config"
	"fieldvale/notice"
	"fieldvale/outcome"
	"fieldvale/placement"
	"fieldvale/pool"
	"fieldvale/prompt"
	"fieldvale/quarantine"
	"fieldvale/quota"
	"fieldvale/rollout"
	"fieldvale/route"
	"fieldvale/version"
)

const (
	// drainServeTime is how long after its notice a draining replica may still get requests, as a
	// last resort.
	drainServeTime = time.Second
	drainTime      = 2 * drainServeTime
)

// noticingReplicas are replicas whose answers announce draining or backoff at random. They check
// that they get no request in spite of it.
type noticingReplicas struct {
	t             *rapid.T
	now           time.Time
	tracker       *notice.Tracker
	replicas      []pool.Replica
	drainingSince map[string]time.Time
	backoffUntil  map[string]time.Time
	// sent are the replicas that the current request was sent to.
	sent []string
}

func newNoticingReplicas(t *rapid.T, kind pool.Kind) *noticingReplicas {
	w := &noticingReplicas{t: t, now: time.Unix(1_700_000_000, 0), drainingSince: map[string]time.Time{}, backoffUntil: map[string]time.Time{}}
	w.tracker = notice.NewTracker(w.clock, drainTime, func(string, ...any) {})
	for i := range rapid.IntRange(1, 6).Draw(t, "replicas") {
		w.replicas = append(w.replicas, pool.Replica{ID: fmt.Sprint("r", i), Kind: kind, Service: "s", Release: fmt.Sprint("v", i%2), Slots: 4, Versions: []version.ID{version.New("m", "1")}})
	}
	return w
}

func (w *noticingReplicas) clock() time.Time { return w.now }

// isBackingOff reports whether the replica accepts no request now, isGone whether it accepts none
// any more.
func (w *noticingReplicas) isBackingOff(id string) bool { return w.now.Before(w.backoffUntil[id]) }
func (w *noticingReplicas) isGone(id string) bool {
	at, ok := w.drainingSince[id]
	return ok && !w.now.Before(at.Add(drainServeTime))
}

func (w *noticingReplicas) isAvailable(id string) bool {
	_, draining := w.drainingSince[id]
	return !draining && !w.isBackingOff(id)
}

// checkSent checks that the replica may be sent to.
func (w *noticingReplicas) checkSent(id string) {
	if w.isBackingOff(id) {
		w.t.Errorf("%s got a request %s before the end of its backoff", id, w.backoffUntil[id].Sub(w.now))
	}
	if w.isGone(id) {
		w.t.Errorf("%s got a request %s after its drain notice", id, w.now.Sub(w.drainingSince[id]))
	}
	w.sent = append(w.sent, id)
}

// answerWithNotice answers a request sent at sentAt with a random notice, and reports whether the
// replica refused the request.
func (w *noticingReplicas) answerWithNotice(id string, sentAt time.Time) (refused bool) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(w.t, "took")) * time.Millisecond)
	n := notice.Notice{Replica: id, Service: "s", SentAt: sentAt, ReceivedAt: w.now}
	switch rapid.IntRange(0, 9).Draw(w.t, "notice") {
	case 0:
		n.Draining = true
	case 1, 2:
		n.Refused = true
		n.BackoffUntil = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "backoff")) * time.Millisecond)
	case 3:
		n.Refused = true
	}
	w.tracker.Observe(n)
	if _, known := w.drainingSince[id]; n.Draining && !known {
		w.drainingSince[id] = w.now
	}
	if n.BackoffUntil.After(w.backoffUntil[id]) {
		w.backoffUntil[id] = n.BackoffUntil
	}
	return n.Refused
}

// Send implements Upstream.
func (w *noticingReplicas) Send(ctx context.Context, r *pool.Replica, d Dispatch) (Reply, error) {
	w.checkSent(r.ID)
	if w.answerWithNotice(r.ID, w.now) {
		return nil, outcome.New(outcome.NotRun, "refused", r.ID, errors.New("status 503")).WithStatus(http.StatusServiceUnavailable).WithRetryAt(w.backoffUntil[r.ID])
	}
	p := scriptedReply{status: http.StatusOK, events: []string{"1", "2"}}
	switch rapid.IntRange(0, 5).Draw(w.t, "answer") {
	case 0:
		return nil, outcome.New(outcome.Unknown, "read", r.ID, errors.New("reset"))
	case 1:
		p.status = http.StatusInternalServerError
	case 2:
		p.end = "cut"
	case 3:
		p.confidence = "5"
	}
	return &replyFake{ctx: ctx, p: p}, nil
}

// maybeNotice lets a notice arrive between the choice of a replica and the dispatch.
func (w *noticingReplicas) maybeNotice() {
	if rapid.IntRange(0, 3).Draw(w.t, "meanwhile") == 0 {
		w.answerWithNotice(w.replicas[rapid.IntRange(0, len(w.replicas)-1).Draw(w.t, "replica")].ID, w.now)
	}
}

// Choose implements Placer, together with the methods below.
func (w *noticingReplicas) Choose(_ context.Context, _ string, a placement.Request) (placement.Choice, placement.Ticket, bool) {
	i := rapid.IntRange(-1, len(a.Replicas)-1).Draw(w.t, "placed")
	w.maybeNotice()
	return placement.Choice{Index: max(0, i)}, placement.Ticket{}, i >= 0
}
func (w *noticingReplicas) ReportPrefilled(placement.Ticket)                {}
func (w *noticingReplicas) ReportEnded(placement.Ticket)                    {}
func (w *noticingReplicas) ReportAborted(placement.Ticket, placement.Fault) {}

// drawnQuota bounds every other replica and lets a notice arrive during a permit request.
type drawnQuota struct {
	noQuota
	w *noticingReplicas
}

func (s drawnQuota) IsUnrestricted() bool { return false }
func (s drawnQuota) Bound(id string, _ float64, _ bool) quota.Bound {
	return quota.Bound{IsLimited: id[1]%2 == 0, PerSecond: 1}
}
func (s drawnQuota) AcquirePermit(_ context.Context, a quota.PermitRequest) quota.PermitResult {
	s.w.maybeNotice()
	return quota.PermitResult{Index: rapid.IntRange(-1, len(a.Candidates)-1).Draw(s.w.t, "permit")}
}

// drawnQuarantine allows some contents only on trial and lets a notice arrive during the check.
type drawnQuarantine struct {
	ignoredResults
	w *noticingReplicas
}

// ignoredResults implements the methods of quarantine.Checker that receive results.
type ignoredResults struct{}

func (ignoredResults) CancelTrials([]quarantine.Fingerprint)                       {}
func (ignoredResults) ReportRequest(quarantine.Subjects, quarantine.RequestResult) {}
func (ignoredResults) AddSurvival([]quarantine.Part, []quarantine.Fingerprint)     {}

func (s drawnQuarantine) IsEmpty() bool { return false }
func (s drawnQuarantine) CheckRequest(context.Context, quarantine.Subjects) quarantine.Verdict {
	s.w.maybeNotice()
	return quarantine.Verdict{Decision: rapid.SampledFrom([]quarantine.Decision{quarantine.Allow, quarantine.AllowTrial}).Draw(s.w.t, "trial")}
}

// router returns a router for the replicas, with random other dependencies.
func (w *noticingReplicas) router() (*Router, *CurrentView) {
	v := NewCurrentView()
	rel := map[string]rollout.Release{}
	if rapid.Bool().Draw(w.t, "release") {
		rel["s"] = rollout.NewRelease("s", "v1", 1, time.Minute).WithNextPhase().WithNextPhase()
	}
	v.Put(NewView(nil, w.replicas, nil, nil).WithRoutes(route.New(1, nil, nil, nil, route.Limits{}), rel))
	p := Ports{View: v, Clock: w.clock, Rand: rand.NewPCG(1, 1), Upstream: w, Retries: retryBurst(1000), AcceptConfidence: 60, Notices: w.tracker}
	if rapid.Bool().Draw(w.t, "placer") {
		p.Placer = w
	}
	if rapid.Bool().Draw(w.t, "quota") {
		p.Quota = drawnQuota{w: w}
	}
	if rapid.Bool().Draw(w.t, "quarantine") {
		p.Quarantine = drawnQuarantine{w: w}
	}
	return NewRouter(p), v
}

func (w *noticingReplicas) request(i int) *OpaqueRequest {
	r := &route.Route{Split: []route.WeightedService{{Service: "s"}}, Target: time.Second, MaxAttempts: rapid.IntRange(1, 4).Draw(w.t, "attempts")}
	r.Kind = rapid.SampledFrom([]route.Kind{route.Once, route.Repeatable, route.Stream}).Draw(w.t, "kind")
	r.Resumable = rapid.Bool().Draw(w.t, "resumable")
	q := &OpaqueRequest{ID: fmt.Sprint(i), Table: route.New(1, nil, nil, nil, route.Limits{}), Route: r, Header: http.Header{}, ArrivedAt: w.now, Deadline: w.now.Add(time.Hour), TimeoutAt: w.now.Add(time.Hour)}
	switch rapid.IntRange(0, 2).Draw(w.t, "prompt") {
	case 0:
		q.Prompt = prompt.Prompt{Model: "m", InputTokens: 40, MaxOutputTokens: 10, Parts: []prompt.Part{{ID: "1", Tokens: 40}}}
	case 1:
		r.Models = []string{"small", "middle", "large"}
		q.Prompt = prompt.Prompt{Model: prompt.AnyModel, InputTokens: 40, MaxOutputTokens: 10, Parts: []prompt.Part{{ID: "1", Tokens: 40}}}
	}
	if rapid.Bool().Draw(w.t, "session") {
		q.Session = "session"
	}
	return q
}

// checkRefusal checks that a request refused for lack of replicas had none, and its retry time.
func (w *noticingReplicas) checkRefusal(f *Failure) {
	var ends []time.Time
	for _, r := range w.replicas {
		if w.isAvailable(r.ID) {
			return
		}
		if _, draining := w.drainingSince[r.ID]; !draining {
			ends = append(ends, w.backoffUntil[r.ID])
		}
	}
	if f.Outcome == outcome.NotRun && len(ends) > 0 {
		first := slices.MinFunc(ends, time.Time.Compare)
		if f.RetryAt.After(first.Add(backoffSpread)) {
			w.t.Errorf("retry time is %s after the end of the first backoff, want at most %s", f.RetryAt.Sub(first), backoffSpread)
		}
	}
}

// Covers every path of an opaque request to a replica: first attempts, retries, larger models,
// resumed streams, sessions, with and without the placer's choice, with a permit for a bounded
// replica, on trial, and during a roll-out.
func TestNoRequestReachesDrainingOrBackedOffReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNoticingReplicas(t, pool.Service)
		r, _ := w.router()
		for i := range 60 {
			w.sent = nil
			q := w.request(i)
			_, err := r.Forward(context.Background(), q, &clientSink{})
			var f *Failure
			if errors.As(err, &f) {
				w.checkRefusal(f)
			}
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		}
	})
}

// Call implements Services.
func (w *noticingReplicas) Call(_ context.Context, r *pool.Replica, _ ServiceCall) (ServiceAnswer, error) {
	w.checkSent(r.ID)
	if w.answerWithNotice(r.ID, w.now) {
		return ServiceAnswer{}, outcome.New(outcome.NotRun, "refusal", r.ID, errors.New("status 503")).WithStatus(http.StatusServiceUnavailable)
	}
	return ServiceAnswer{Status: http.StatusOK}, nil
}

// Covers the product's own interfaces: plain calls, and chats, whose choice of a replica is the
// same for complete answers and streams.
func TestOwnInterfacesAvoidDrainingOrBackedOffReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]pool.Kind{pool.Service, pool.Engine}).Draw(t, "interface")
		w := newNoticingReplicas(t, kind)
		r, v := w.router()
		r.services = w
		for i := range 60 {
			w.sent = nil
			if kind == pool.Service {
				_, err := r.tryServiceReplicas(context.Background(), ServiceRequest{ID: fmt.Sprint(i), Service: "s", Caller: config.Caller{Team: "t"}, Deadline: w.now.Add(time.Second)})
				if err != nil && len(w.sent) == 0 {
					w.checkRefusal(failed(err))
				}
			} else if b, _ := r.takeReplica(context.Background(), "m@1", v.Get().byVersion[version.New("m", "1")], pool.Request{}, nil, 1); b != nil {
				w.checkSent(b.ID)
				w.answerWithNotice(b.ID, w.now)
				r.backends.done(b.ID, nil, w.now)
			}
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		}
	})
}

// reliableUpstream answers every request with success and counts them.
type reliableUpstream struct{ got map[string]int }

func (u reliableUpstream) Send(ctx context.Context, r *pool.Replica, _ Dispatch) (Reply, error) {
	u.got[r.ID]++
	return &replyFake{ctx: ctx, p: scriptedReply{status: http.StatusOK, events: []string{"body"}}}, nil
}

// What callers get while replicas announce draining or backoff, one after another until none is
// left.
func TestRefusalsWhileReplicasDrainAndBackOff(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time { return now }
	b := notice.NewTracker(clock, drainTime, func(string, ...any) {})
	u := reliableUpstream{map[string]int{}}
	v := NewCurrentView()
	v.Put(NewView(nil, []pool.Replica{{ID: "a", Kind: pool.Service, Service: "s"}, {ID: "b", Kind: pool.Service, Service: "s"}, {ID: "c", Kind: pool.Service, Service: "s"}}, nil, nil))
	r := NewRouter(Ports{View: v, Clock: clock, Rand: rand.NewPCG(1, 1), Upstream: u, Retries: retryBurst(9), Notices: b})
	send := func() (string, *Failure) {
		q := &OpaqueRequest{ID: "q", Table: route.New(1, nil, nil, nil, route.Limits{}), Route: &route.Route{Split: []route.WeightedService{{Service: "s"}}, MaxAttempts: 1}, ArrivedAt: now, Deadline: now.Add(time.Hour), TimeoutAt: now.Add(time.Hour)}
		f, err := r.Forward(t.Context(), q, &clientSink{})
		var x *Failure
		errors.As(err, &x)
		return f.Replica, x
	}
	want := func(step, replicas string) {
		t.Helper()
		for range 20 {
			if g, f := send(); f != nil || !strings.Contains(replicas, g) {
				t.Fatalf("%s: sent to %q, error %v, want one of %s", step, g, f, replicas)
			}
		}
	}
	drain := func(id string) { b.Observe(notice.Notice{Replica: id, Draining: true, SentAt: now, ReceivedAt: now}) }
	want("at first", "abc")
	drain("a")
	want("a drains", "bc")
	drain("b")
	want("a and b drain", "c")
	b.Observe(notice.Notice{Replica: "c", BackoffUntil: now.Add(3 * time.Second), Refused: true, SentAt: now, ReceivedAt: now})
	want("c backs off, the others still serve", "ab")
	now = now.Add(drainServeTime)
	if g, f := send(); f == nil || f.Outcome != outcome.NotRun || f.RetryAt.Before(now.Add(2*time.Second)) || f.RetryAt.After(now.Add(2*time.Second+backoffSpread)) {
		t.Fatalf("no replica left: sent to %q, failure %+v, want a refusal until the backoff of c ends", g, f)
	}
	now = now.Add(2 * time.Second)
	if g, f := send(); f != nil || g != "c" {
		t.Fatalf("after the backoff of c: sent to %q, failure %+v, want c", g, f)
	}
	if g, f := send(); f == nil || f.RetryAt.Sub(now) > backoffSpread {
		t.Fatalf("while c is on trial: sent to %q, failure %+v, want a refusal for at most the spread", g, f)
	}
	b.Observe(notice.Notice{Replica: "c", SentAt: now, ReceivedAt: now})
	want("c answered", "c")
}

// backoffUpstream refuses every request and asks for the given backoff of each replica.
type backoffUpstream struct {
	tracker *notice.Tracker
	now     time.Time
	backoff map[string]time.Duration
}

func (u backoffUpstream) Send(_ context.Context, r *pool.Replica, _ Dispatch) (Reply, error) {
	until := u.now.Add(u.backoff[r.ID])
	u.tracker.Observe(notice.Notice{Replica: r.ID, Refused: true, BackoffUntil: until, SentAt: u.now, ReceivedAt: u.now})
	return nil, outcome.New(outcome.NotRun, "refused", r.ID, errors.New("status 503")).WithStatus(http.StatusServiceUnavailable).WithRetryAt(until)
}

// A caller refused by some replicas is asked to retry soon if another one is available, and
// otherwise when the first backoff ends. Using the backoff of the refusing replica would keep the
// caller away for too long.
func TestRetryTimeWithSomeReplicasBackingOff(t *testing.T) {
	for _, c := range []struct {
		replicas int
		min, max time.Duration
	}{
		{5, refusalRetryDelay, refusalRetryDelay},
		{3, time.Second, time.Second + backoffSpread},
	} {
		now := time.Unix(1_700_000_000, 0)
		clock := func() time.Time { return now }
		u := backoffUpstream{tracker: notice.NewTracker(clock, drainTime, func(string, ...any) {}), now: now, backoff: map[string]time.Duration{}}
		var l []pool.Replica
		for i := range c.replicas {
			id := fmt.Sprint("r", i)
			u.backoff[id] = time.Duration(1+i) * time.Second
			l = append(l, pool.Replica{ID: id, Kind: pool.Service, Service: "s"})
		}
		v := NewCurrentView()
		v.Put(NewView(nil, l, nil, nil))
		r := NewRouter(Ports{View: v, Clock: clock, Rand: rand.NewPCG(1, 1), Upstream: u, Retries: retryBurst(9), FleetSize: func() int { return 1 }, Notices: u.tracker})
		q := &OpaqueRequest{ID: "q", Table: route.New(1, nil, nil, nil, route.Limits{}), Route: &route.Route{Split: []route.WeightedService{{Service: "s"}}, MaxAttempts: 3}, ArrivedAt: now, Deadline: now.Add(time.Hour), TimeoutAt: now.Add(time.Hour)}
		_, err := r.Forward(t.Context(), q, &clientSink{})
		var f *Failure
		if !errors.As(err, &f) || f.Outcome != outcome.NotRun || f.RetryAt.Sub(now) < c.min || f.RetryAt.Sub(now) > c.max {
			t.Errorf("%d replicas: %s, retry in %s, want %s to %s", c.replicas, f.Outcome, f.RetryAt.Sub(now), c.min, c.max)
		}
	}
}
