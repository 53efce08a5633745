package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/answerbuffer"
	"fieldvale/outcome"
	"fieldvale/placement"
	"fieldvale/pool"
	"fieldvale/prompt"
	"fieldvale/quarantine"
	"fieldvale/rollout"
	"fieldvale/route"
)

// completionPause is the pause from which the tests' routes are placed by completion.
const completionPause = 2 * time.Second

// neverStops is the stopAfter of a run that sends all events.
const neverStops = 1 << 30

// fakeRun is one run of a stream at a fake replica.
type fakeRun struct {
	// first is the time to the first event, interval that to each further event and to the end.
	first, interval time.Duration
	// stopAfter is the id of the last event of the run, if it is not complete. The run is then
	// silent for the pause, or for ever if that is 0; broken ends it instead.
	stopAfter int
	pause     time.Duration
	broken    bool
	// reset has the connection reset by the time that a silent run is cancelled.
	reset bool
	// buffered is the number of events, or ends, that arrive while a silent run is being cancelled.
	buffered int
	// refused has the replica answer that the request did not run, or with the status if that is
	// set.
	refused bool
	status  int
	// refusedLate has the refusal arrive by the time that the silent run is cancelled.
	refusedLate bool
}

func complete(interval time.Duration) fakeRun {
	return fakeRun{first: interval, interval: interval, stopAfter: neverStops}
}

func silentAfter(event int) fakeRun {
	return fakeRun{first: 50 * time.Millisecond, interval: 50 * time.Millisecond, stopAfter: event}
}

// streamScenario is a stream, its runs at successive replicas, and the state of the fleet.
type streamScenario struct {
	runs []fakeRun
	// events is the number of events of the answer, expected the client's estimate of it.
	events, expected int
	maxAttempts      int
	budget           float64
	timeLeft         time.Duration
	pauseTarget      time.Duration
	// finish is the time to the complete answer that the placer expects of any other replica.
	finish time.Duration
	// ownerLostAfter is the number of choices after which the placer doesn't answer; 0 for never.
	ownerLostAfter int
	// models are the route's models; each but the last doubts its answer.
	models []string
	// withoutIDs has events without ids, onTrial the content suspected.
	withoutIDs, onTrial bool
	// heldFrom is the number of events after which the content is held back for crashing replicas;
	// 0 for never.
	heldFrom int
	// onChoose is called with the number of each choice of the placer, onSend before each attempt.
	onChoose, onSend func(n int, leave context.CancelFunc)
	// onCancel is called when a run is cancelled, onClose when it is closed.
	onCancel, onClose func(leave context.CancelFunc)
	// onEvent is called with the number of each event that is written to the client.
	onEvent func(n int, leave context.CancelFunc)
	// onReady is called with the router before the request is forwarded.
	onReady func(*Router)
	// buffers has the answer go through a buffer, from which the client takes one event after
	// each of the times, in turn. Without, there is no buffer.
	buffers    *answerbuffer.Budget
	writeTimes []time.Duration
	// leaveAfter is when the client leaves; 0 for never.
	leaveAfter time.Duration
	// clock may be nil.
	clock Clock
}

func newScenario(runs ...fakeRun) streamScenario {
	return streamScenario{
		runs: runs, events: 20, expected: 20, maxAttempts: 4, budget: 9, timeLeft: 20 * time.Second,
		pauseTarget: completionPause, finish: 3 * time.Second,
	}
}

// streamFleet fakes the upstream, the placer, the quarantine and the client of one request.
type streamFleet struct {
	streamScenario
	leave   context.CancelFunc
	faults  []string
	sends   []string
	open    int
	chosen  int
	settled int
	got     []string
	heads   int
	// bodies is the number of error responses that the client got.
	bodies int
	failed []FailedAttempt
	moved  []StreamMove
	router *Router
	// crashes is the number of crashes that were reported to the quarantine.
	crashes int
}

func (f *streamFleet) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

func (f *streamFleet) Choose(_ context.Context, _ string, r placement.Request) (placement.Choice, placement.Ticket, bool) {
	if f.ownerLostAfter > 0 && f.chosen >= f.ownerLostAfter {
		return placement.Choice{}, placement.Ticket{}, false
	}
	f.chosen++
	if f.onChoose != nil {
		f.onChoose(f.chosen, f.leave)
	}
	c := placement.Choice{WaitMs: 1, PrefillMs: 100}
	if r.ByCompletion {
		c.FinishMs = float64(f.finish.Milliseconds())
	}
	return c, placement.Ticket{}, true
}

func (f *streamFleet) ReportPrefilled(placement.Ticket)                {}
func (f *streamFleet) ReportEnded(placement.Ticket)                    { f.settled++ }
func (f *streamFleet) ReportAborted(placement.Ticket, placement.Fault) { f.settled++ }

func (f *streamFleet) isHeld() bool  { return f.heldFrom > 0 && len(f.got) >= f.heldFrom }
func (f *streamFleet) IsEmpty() bool { return !f.onTrial && !f.isHeld() }
func (f *streamFleet) CheckRequest(context.Context, quarantine.Subjects) quarantine.Verdict {
	if f.isHeld() {
		return quarantine.Verdict{Decision: quarantine.Held}
	}
	return quarantine.Verdict{Decision: quarantine.AllowTrial}
}
func (f *streamFleet) ReportRequest(_ quarantine.Subjects, a quarantine.RequestResult) {
	if a.Outcome == quarantine.ReplicaCrashed {
		f.crashes++
	}
}

func (f *streamFleet) CancelTrials([]quarantine.Fingerprint)                   {}
func (f *streamFleet) AddSurvival([]quarantine.Part, []quarantine.Fingerprint) {}

// HasCrashed implements Prober: a replica that resets a connection is down.
func (f *streamFleet) HasCrashed(context.Context, *pool.Replica) bool { return true }

// Send implements Upstream.
func (f *streamFleet) Send(ctx context.Context, r *pool.Replica, d Dispatch) (Reply, error) {
	if f.open > 0 {
		f.fault("attempt %d began before the previous run was closed", len(f.sends)+1)
	}
	f.sends = append(f.sends, r.ID)
	if f.onSend != nil {
		f.onSend(len(f.sends), f.leave)
	}
	if err := ctx.Err(); err != nil {
		return nil, outcome.New(outcome.NotRun, "dial", r.ID, err)
	}
	n := len(f.sends)
	if n > len(f.runs) {
		f.fault("attempt %d is not in the scenario", n)
		return nil, outcome.New(outcome.NotRun, "refused", r.ID, errors.New("no run left")).WithStatus(503)
	}
	x := f.runs[n-1]
	if x.refusedLate {
		<-ctx.Done()
	}
	if x.refused || x.refusedLate {
		return nil, outcome.New(outcome.NotRun, "refused", r.ID, errors.New("full")).WithStatus(503)
	}
	after, _ := strconv.Atoi(d.LastEventID)
	f.open++
	return &runFake{f: f, ctx: ctx, run: x, model: d.Model, last: after}, nil
}

// runFake is the reply of one run.
type runFake struct {
	f     *streamFleet
	ctx   context.Context
	run   fakeRun
	model string
	last  int
	sent  bool
	// paused is set once the pause of the run is over.
	paused bool
}

func (r *runFake) Head() Head {
	if r.run.status != 0 {
		return Head{Status: r.run.status, Header: http.Header{}}
	}
	return Head{Status: http.StatusOK, Header: http.Header{}}
}
func (r *runFake) Confidence() (float64, bool) {
	m := r.f.models
	if len(m) == 0 {
		return 0, false
	}
	if r.model == m[len(m)-1] {
		return 100, true
	}
	return 10, true
}
func (r *runFake) Body() ([]byte, error) { return nil, r.ctx.Err() }
func (r *runFake) Close() {
	r.f.open--
	if r.f.onClose != nil {
		r.f.onClose(r.f.leave)
	}
}

// partOfEvent is what has arrived of an event when its connection is closed.
var partOfEvent = Event{Data: []byte("part")}

func (r *runFake) Next() (Event, error) {
	wait := r.run.interval
	if !r.sent {
		wait = r.run.first
	}
	if r.last >= r.run.stopAfter && !r.paused {
		if r.run.broken {
			return partOfEvent, io.ErrUnexpectedEOF
		}
		wait = r.run.pause
		if wait == 0 {
			wait = time.Hour
		}
		r.paused = true
	}
	select {
	case <-r.ctx.Done():
		if r.f.onCancel != nil {
			r.f.onCancel(r.f.leave)
		}
		if r.run.reset {
			return partOfEvent, syscall.ECONNRESET
		}
		if r.run.buffered == 0 {
			return partOfEvent, context.Cause(r.ctx)
		}
		r.run.buffered--
	case <-time.After(wait):
	}
	if r.last >= r.f.events {
		return Event{}, io.EOF
	}
	r.last++
	r.sent = true
	e := Event{ID: strconv.Itoa(r.last), Data: []byte(strconv.Itoa(r.last))}
	if r.f.withoutIDs {
		e.ID = ""
	}
	return e, nil
}

// Head implements ForwardSink.
func (f *streamFleet) Head(Head) error { f.heads++; return nil }

// Event implements ForwardSink.
func (f *streamFleet) Event(b []byte) error {
	f.got = append(f.got, string(b))
	if f.onEvent != nil {
		f.onEvent(len(f.got), f.leave)
	}
	return nil
}

// Body implements ForwardSink.
func (f *streamFleet) Body([]byte) error { f.bodies++; return nil }

// bufferedClient is the client of a streamFleet with a buffer. A write that is interrupted is lost.
type bufferedClient struct {
	*streamFleet
	client      context.Context
	interrupted chan struct{}
}

func (c *bufferedClient) Interrupt() { close(c.interrupted) }

func (c *bufferedClient) Event(b []byte) error {
	if c.client.Err() != nil {
		c.fault("an event is written after the client left")
	}
	select {
	case <-time.After(c.writeTimes[len(c.got)%len(c.writeTimes)]):
		return c.streamFleet.Event(b)
	case <-c.interrupted:
		return os.ErrDeadlineExceeded
	}
}

// run forwards the request in a bubble of fake time and checks what holds for every stream.
func (s streamScenario) run(t *testing.T) (f *streamFleet, x *ForwardResult, err error) {
	f = &streamFleet{streamScenario: s}
	synctest.Test(t, func(t *testing.T) {
		v := NewCurrentView()
		var l []pool.Replica
		for i := range 8 {
			l = append(l, pool.Replica{ID: fmt.Sprint("r", i), Kind: pool.Service, Service: "s", Slots: 4})
		}
		v.Put(NewView(nil, l, nil, nil).WithRoutes(route.New(1, nil, nil, nil, route.Limits{}), map[string]rollout.Release{}))
		clock := time.Now
		if s.clock != nil {
			clock = s.clock
		}
		r := NewRouter(Ports{
			View: v, Clock: clock, Rand: rand.NewPCG(1, 1), Upstream: f, Retries: retryBurst(s.budget), Placer: f, AnswerBuffers: s.buffers, Quarantine: f, Prober: f,
			FleetSize: func() int { return 1 }, CompletionPause: completionPause, AcceptConfidence: 60,
			Hooks: &Hooks{
				AttemptFailed: func(a FailedAttempt) { f.failed = append(f.failed, a) },
				StreamMoved:   func(m StreamMove) { f.moved = append(f.moved, m) },
			},
		})
		f.router = r
		if s.onReady != nil {
			s.onReady(r)
		}
		now := clock()
		q := &OpaqueRequest{
			ID: "q", Table: v.Get().Table, Prompt: prompt.Prompt{Model: "m", InputTokens: 100, EstimatedOutputTokens: s.expected},
			Route:     &route.Route{Name: "r", Kind: route.Stream, Resumable: true, Target: 2 * time.Second, PauseTarget: s.pauseTarget, MaxAttempts: s.maxAttempts, Split: []route.WeightedService{{Service: "s"}}},
			ArrivedAt: now, Deadline: now.Add(s.timeLeft), TimeoutAt: now.Add(s.timeLeft),
		}
		if len(s.models) > 0 {
			q.Route.Models, q.Prompt.Model = s.models, prompt.AnyModel
		}
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		f.leave = leave
		if s.leaveAfter > 0 {
			defer time.AfterFunc(s.leaveAfter, leave).Stop()
		}
		var out ForwardSink = f
		if s.buffers != nil {
			out = &bufferedClient{f, ctx, make(chan struct{})}
		}
		start := time.Now()
		x, err = r.Forward(ctx, q, out)
		if s.leaveAfter > 0 && time.Since(start) > s.leaveAfter+500*time.Millisecond {
			f.fault("the request ended %s after the client had left", time.Since(start)-s.leaveAfter)
		}
		if s.buffers != nil && s.buffers.Held() != 0 {
			f.fault("%d bytes are still held", s.buffers.Held())
		}
		if n := r.InFlight(); len(n) > 0 {
			f.fault("requests are still counted at %v", n)
		}
	})
	f.checkInvariants(x, err)
	return f, x, err
}

func (f *streamFleet) checkInvariants(x *ForwardResult, err error) {
	for i, e := range f.got {
		if e != strconv.Itoa(i+1) {
			f.fault("the client got events %v", f.got)
			break
		}
	}
	if err == nil && f.bodies == 0 && len(f.got) != f.events {
		f.fault("a complete answer has %d events, want %d", len(f.got), f.events)
	}
	if f.heads > 1 || f.open != 0 || f.chosen != f.settled && f.pauseTarget >= completionPause {
		f.fault("%d heads, %d runs open, %d replicas chosen and %d released", f.heads, f.open, f.chosen, f.settled)
	}
	if x.Runs > f.maxAttempts || !slices.Equal(x.Moves, f.moved) {
		f.fault("%d runs, moves %v, reported %v", x.Runs, x.Moves, f.moved)
	}
}

// moves formats the reasons of the moves.
func moves(x *ForwardResult) string {
	var l []string
	for _, m := range x.Moves {
		l = append(l, m.Reason.String())
	}
	return strings.Join(l, ",")
}
