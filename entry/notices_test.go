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

	"fieldvale/admission"
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
	// talkersServe is how long after its word a leaving talker may get requests, as the last resort.
	drainServeTime = time.Second
	drainTime      = 2 * drainServeTime
)

// talkers are replicas that say in their answers, as drawn, that they leave or want rest, and
// check that what they get was sent in spite of neither.
type noticingReplicas struct {
	t             *rapid.T
	now           time.Time
	tracker       *notice.Tracker
	replicas      []pool.Replica
	drainingSince map[string]time.Time
	backoffUntil  map[string]time.Time
	// sent are the replicas that the request under way was sent to.
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

// isResting reports whether the replica wants no request now, isGone whether it must get none any more.
func (w *noticingReplicas) isBackingOff(id string) bool { return w.now.Before(w.backoffUntil[id]) }
func (w *noticingReplicas) isGone(id string) bool {
	at, ok := w.drainingSince[id]
	return ok && !w.now.Before(at.Add(drainServeTime))
}

func (w *noticingReplicas) isAvailable(id string) bool {
	_, leaves := w.drainingSince[id]
	return !leaves && !w.isBackingOff(id)
}

// got checks that the replica may be sent to.
func (w *noticingReplicas) checkSent(id string) {
	if w.isBackingOff(id) {
		w.t.Errorf("%s got a request %s before the end of its rest", id, w.backoffUntil[id].Sub(w.now))
	}
	if w.isGone(id) {
		w.t.Errorf("%s got a request %s after its word that it leaves", id, w.now.Sub(w.drainingSince[id]))
	}
	w.sent = append(w.sent, id)
}

// says has the replica say what was drawn, in an answer to a request sent then, and reports whether it
// turns the request away.
func (w *noticingReplicas) answerWithNotice(id string, sentAt time.Time) (refused bool) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(w.t, "took")) * time.Millisecond)
	n := notice.Notice{Replica: id, Service: "s", SentAt: sentAt, ReceivedAt: w.now}
	switch rapid.IntRange(0, 9).Draw(w.t, "word") {
	case 0:
		n.Draining = true
	case 1, 2:
		n.Refused = true
		n.BackoffUntil = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "rest")) * time.Millisecond)
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

// others have a word come between the choice of a replica and the send.
func (w *noticingReplicas) maybeNotice() {
	if rapid.IntRange(0, 3).Draw(w.t, "meanwhile") == 0 {
		w.answerWithNotice(w.replicas[rapid.IntRange(0, len(w.replicas)-1).Draw(w.t, "who")].ID, w.now)
	}
}

// Choose implements Placer, the other methods as well.
func (w *noticingReplicas) Choose(_ context.Context, _ string, a placement.Request) (placement.Choice, placement.Ticket, bool) {
	i := rapid.IntRange(-1, len(a.Replicas)-1).Draw(w.t, "placed")
	w.maybeNotice()
	return placement.Choice{Index: max(0, i)}, placement.Ticket{}, i >= 0
}
func (w *noticingReplicas) Read(placement.Ticket)                  {}
func (w *noticingReplicas) Lost(placement.Ticket, placement.Fault) {}

// scarce is a quota that bounds every other replica and has a word come while it is asked.
type drawnQuota struct {
	noQuota
	w *noticingReplicas
}

func (s drawnQuota) IsQuiet() bool { return false }
func (s drawnQuota) Bound(id string, _ float64, _ bool) quota.Bound {
	return quota.Bound{IsLimited: id[1]%2 == 0, PerSecond: 1}
}
func (s drawnQuota) Take(_ context.Context, a quota.PermitRequest) quota.PermitResult {
	s.w.maybeNotice()
	return quota.PermitResult{Index: rapid.IntRange(-1, len(a.Candidates)-1).Draw(s.w.t, "right")}
}

// trials is a quarantine that sends some contents on trial and has a word come while it is asked.
type drawnQuarantine struct{ w *noticingReplicas }

func (s drawnQuarantine) IsQuiet() bool { return false }
func (s drawnQuarantine) Ask(context.Context, quarantine.Fingerprint) quarantine.Verdict {
	s.w.maybeNotice()
	return quarantine.Verdict{Decision: rapid.SampledFrom([]quarantine.Decision{quarantine.Allow, quarantine.AllowTrial}).Draw(s.w.t, "trial")}
}
func (s drawnQuarantine) Tell(quarantine.Fingerprint, quarantine.AttemptResult) {}

// router returns a router before the talkers, with what else decides drawn.
func (w *noticingReplicas) router() (*Router, *CurrentView) {
	v := NewCurrentView()
	rel := map[string]rollout.Release{}
	if rapid.Bool().Draw(w.t, "release") {
		rel["s"] = rollout.NewRelease("s", "v1", 1, time.Minute).WithNextPhase().WithNextPhase()
	}
	v.Put(NewView(nil, w.replicas, nil, nil).WithRoutes(route.New(1, nil, nil, nil, route.Limits{}), rel))
	p := Ports{View: v, Clock: w.clock, Rand: rand.NewPCG(1, 1), Upstream: w, Retries: admission.Repeats{Burst: 1000}, AcceptConfidence: 60, Notices: w.tracker}
	if rapid.Bool().Draw(w.t, "placer") {
		p.Placer = w
	}
	if rapid.Bool().Draw(w.t, "quota") {
		p.Quota = drawnQuota{w: w}
	}
	if rapid.Bool().Draw(w.t, "quarantine") {
		p.Quarantine = drawnQuarantine{w}
	}
	return NewRouter(p), v
}

func (w *noticingReplicas) request(i int) *OpaqueRequest {
	r := &route.Route{Split: []route.Part{{Service: "s"}}, Target: time.Second, MaxAttempts: rapid.IntRange(1, 4).Draw(w.t, "attempts")}
	r.Kind = rapid.SampledFrom([]route.Kind{route.Once, route.Repeatable, route.Stream}).Draw(w.t, "kind")
	r.Resumable = rapid.Bool().Draw(w.t, "resumable")
	q := &OpaqueRequest{ID: fmt.Sprint(i), Table: route.New(1, nil, nil, nil, route.Limits{}), Route: r, Header: http.Header{}, ArrivedAt: w.now, Deadline: w.now.Add(time.Hour), TimeoutAt: w.now.Add(time.Hour)}
	switch rapid.IntRange(0, 2).Draw(w.t, "prompt") {
	case 0:
		q.Prompt = prompt.Prompt{Model: "m", In: 40, MaxOut: 10, Parts: []prompt.Part{{ID: "1", Tokens: 40}}}
	case 1:
		r.Models = []string{"small", "middle", "large"}
		q.Prompt = prompt.Prompt{Model: prompt.AnyModel, In: 40, MaxOut: 10, Parts: []prompt.Part{{ID: "1", Tokens: 40}}}
	}
	if rapid.Bool().Draw(w.t, "session") {
		q.Session = "session"
	}
	return q
}

// checkRefusal checks that a request for which no replica was left had none, and when its client is to
// come back.
func (w *noticingReplicas) checkRefusal(f *Failure) {
	var ends []time.Time
	for _, r := range w.replicas {
		if w.isAvailable(r.ID) {
			return
		}
		if _, leaves := w.drainingSince[r.ID]; !leaves {
			ends = append(ends, w.backoffUntil[r.ID])
		}
	}
	if f.Outcome == outcome.NotRun && len(ends) > 0 {
		first := slices.MinFunc(ends, time.Time.Compare)
		if f.RetryAt.After(first.Add(backoffSpread)) {
			w.t.Errorf("refused until %s after the first replica has rested", f.RetryAt.Sub(first))
		}
	}
}

// Every road by which an opaque request reaches a replica: first tries, repeats, larger models, resumed
// streams, sessions, with and without a keeper's choice, a place at a bounded replica, a trial, a release.
func TestNoRoadLeadsToReplicasThatLeaveOrRest(t *testing.T) {
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

// The roads of the product's own interfaces: calls, and chats, whose choice is the same for whole answers and streams.
func TestOwnInterfacesKeepOffReplicasThatLeaveOrRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]pool.Kind{pool.Service, pool.Engine}).Draw(t, "of")
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

// sure answers well, and counts.
type reliableUpstream struct{ got map[string]int }

func (u reliableUpstream) Send(ctx context.Context, r *pool.Replica, _ Dispatch) (Reply, error) {
	u.got[r.ID]++
	return &replyFake{ctx: ctx, p: scriptedReply{status: http.StatusOK, events: []string{"body"}}}, nil
}

// What callers get when replicas say that they leave or rest, one after another until none is left.
func TestCallersWhileReplicasLeaveAndRest(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time { return now }
	b := notice.NewTracker(clock, drainTime, func(string, ...any) {})
	u := reliableUpstream{map[string]int{}}
	v := NewCurrentView()
	v.Put(NewView(nil, []pool.Replica{{ID: "a", Kind: pool.Service, Service: "s"}, {ID: "b", Kind: pool.Service, Service: "s"}, {ID: "c", Kind: pool.Service, Service: "s"}}, nil, nil))
	r := NewRouter(Ports{View: v, Clock: clock, Rand: rand.NewPCG(1, 1), Upstream: u, Retries: admission.Repeats{Burst: 9}, Notices: b})
	send := func() (string, *Failure) {
		q := &OpaqueRequest{ID: "q", Table: route.New(1, nil, nil, nil, route.Limits{}), Route: &route.Route{Split: []route.Part{{Service: "s"}}, MaxAttempts: 1}, ArrivedAt: now, Deadline: now.Add(time.Hour), TimeoutAt: now.Add(time.Hour)}
		f, err := r.Forward(t.Context(), q, &clientSink{})
		var x *Failure
		errors.As(err, &x)
		return f.Replica, x
	}
	want := func(step, replicas string) {
		t.Helper()
		for range 20 {
			if g, f := send(); f != nil || !strings.Contains(replicas, g) {
				t.Fatalf("%s: at %q, %v, want one of %s", step, g, f, replicas)
			}
		}
	}
	leave := func(id string) { b.Observe(notice.Notice{Replica: id, Draining: true, SentAt: now, ReceivedAt: now}) }
	want("at first", "abc")
	leave("a")
	want("a leaves", "bc")
	leave("b")
	want("a, b leave", "c")
	b.Observe(notice.Notice{Replica: "c", BackoffUntil: now.Add(3 * time.Second), Refused: true, SentAt: now, ReceivedAt: now})
	want("c rests, the others still serve", "ab")
	now = now.Add(drainServeTime)
	if g, f := send(); f == nil || f.Outcome != outcome.NotRun || f.RetryAt.Before(now.Add(2*time.Second)) || f.RetryAt.After(now.Add(2*time.Second+backoffSpread)) {
		t.Fatalf("none left: at %q, %+v", g, f)
	}
	now = now.Add(2 * time.Second)
	if g, f := send(); f != nil || g != "c" {
		t.Fatalf("c has rested: at %q, %+v", g, f)
	}
	if g, f := send(); f == nil || f.RetryAt.Sub(now) > backoffSpread {
		t.Fatalf("while c is tried: at %q, %+v", g, f)
	}
	b.Observe(notice.Notice{Replica: "c", SentAt: now, ReceivedAt: now})
	want("c has answered", "c")
}

// needsRest turns all away and asks for the rest that is drawn for each.
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

// A caller whom some replicas have turned away comes back soon where another one is fit, and when the first
// has rested where none is.
func TestCallerIsNotSentAwayForTheRestOfOneReplica(t *testing.T) {
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
		r := NewRouter(Ports{View: v, Clock: clock, Rand: rand.NewPCG(1, 1), Upstream: u, Retries: admission.Repeats{Burst: 9}, FleetSize: func() int { return 1 }, Notices: u.tracker})
		q := &OpaqueRequest{ID: "q", Table: route.New(1, nil, nil, nil, route.Limits{}), Route: &route.Route{Split: []route.Part{{Service: "s"}}, MaxAttempts: 3}, ArrivedAt: now, Deadline: now.Add(time.Hour), TimeoutAt: now.Add(time.Hour)}
		_, err := r.Forward(t.Context(), q, &clientSink{})
		var f *Failure
		if !errors.As(err, &f) || f.Outcome != outcome.NotRun || f.RetryAt.Sub(now) < c.min || f.RetryAt.Sub(now) > c.max {
			t.Errorf("%d replicas: %s, come back in %s, want %s to %s", c.replicas, f.Outcome, f.RetryAt.Sub(now), c.min, c.max)
		}
	}
}
