package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/answerbuffer"
	"fieldvale/route"
)

func TestStreamsAreMoved(t *testing.T) {
	const ms = time.Millisecond
	second := complete(50 * ms)
	slow := complete(500 * ms)
	with := func(s streamScenario, f func(*streamScenario)) streamScenario { f(&s); return s }
	slowStream := func(runs ...fakeRun) streamScenario {
		return with(newScenario(runs...), func(s *streamScenario) { s.events, s.expected, s.timeLeft = 60, 60, 15*time.Second })
	}
	pausing := fakeRun{first: 50 * ms, interval: 50 * ms, stopAfter: 5, pause: 5 * time.Second}
	for _, c := range []struct {
		name string
		// guards names the failure that the case guards against.
		guards   string
		scenario streamScenario
		moves    string
		sends    int
		faults   int
		declined string
		ok       bool
	}{
		{"silent midway", "a request that waits for a dead replica until its deadline", newScenario(silentAfter(5), second), "silent", 2, 1, "", true},
		{"silent before its first event", "the wait for the first event of the first run no longer bounded by the hang timeout", newScenario(silentAfter(0), second), "", 2, 1, "", true},
		{"silent after its last event", "an answer that is complete but for its end, and is lost or sent twice", newScenario(silentAfter(20), second), "silent", 2, 1, "", true},
		{"second replica silent before its first event", "a resumed stream without a bound on its first event", newScenario(silentAfter(5), silentAfter(5), second), "silent", 3, 2, "", true},
		{"second replica silent with little time left", "a resumed stream that waits for its first event until no other replica can complete it", with(newScenario(silentAfter(5), silentAfter(5), second), func(s *streamScenario) { s.timeLeft, s.finish = 5*time.Second, time.Second }), "silent,slow", 3, 1, "", true},
		{"slow after an error response", "a slow replica counted as faulty for the error of another one", slowStream(silentAfter(5), fakeRun{status: 500}, complete(300*ms), second), "silent,slow", 4, 2, "", true},
		{"second replica silent later", "a monitor that works for one run only", newScenario(silentAfter(5), silentAfter(9), second), "silent,silent", 3, 2, "", true},
		{"second replica refuses", "a refusal that ends the stream", newScenario(silentAfter(5), fakeRun{refused: true}, second), "silent", 3, 2, "", true},
		{"second replica answers with an error", "an error response written into the stream", newScenario(silentAfter(5), fakeRun{status: 500}, second), "silent", 3, 2, "", true},
		{"second replica fails", "a broken connection that ends a moved stream", newScenario(silentAfter(5), fakeRun{first: 50 * ms, interval: 50 * ms, stopAfter: 9, broken: true}, second), "silent", 3, 2, "", true},
		{"events arrive while it is being moved", "events lost or sent twice", newScenario(fakeRun{first: 50 * ms, interval: 50 * ms, stopAfter: 5, buffered: 2}, second), "silent", 2, 1, "", true},
		{"ends while it is being moved", "a complete answer that is resumed, and a replica that stays reserved", newScenario(fakeRun{first: 50 * ms, interval: 50 * ms, stopAfter: 19, buffered: 2}), "", 1, 0, "", true},
		{"slow with a better replica", "a stream that sends events until its deadline and is not complete, and a slow replica counted as faulty", slowStream(slow, second), "slow", 2, 0, "", true},
		{"slow and longer than estimated", "a stream that counts as almost complete because its estimate is used up", with(slowStream(complete(300*ms), second), func(s *streamScenario) { s.expected, s.finish = 5, time.Second }), "slow", 2, 0, "", true},
		{"slow without a better replica", "a stream moved to a replica that is no faster", with(slowStream(slow), func(s *streamScenario) { s.finish, s.events = 14*time.Second, 25 }), "", 1, 0, keptNoneInTime, true},
		{"slow at two replicas", "a stream that is read again at one replica after the other", with(slowStream(complete(250*ms), complete(250*ms)), func(s *streamScenario) { s.events, s.expected, s.timeLeft = 70, 120, 20*time.Second }), "slow", 2, 0, keptAtSlowReplica, true},
		{"slow and the second silent", "a move for slowness that forbids one for silence", slowStream(slow, silentAfter(30), second), "slow,silent", 3, 1, "", true},
		{"budget used up", "a stream cut off that can't be continued", with(newScenario(pausing), func(s *streamScenario) { s.budget = 0 }), "", 1, 0, keptWithoutBudget, true},
		{"attempts used up", "a stream cut off that may not run again", with(newScenario(pausing), func(s *streamScenario) { s.maxAttempts = 1 }), "", 1, 0, "", true},
		{"events without ids", "events sent twice because the replica does not know where to resume", with(newScenario(pausing), func(s *streamScenario) { s.withoutIDs = true }), "", 1, 0, keptUnresumable, true},
		{"on trial", "a trial that is cut off and shows nothing about the content", with(newScenario(pausing), func(s *streamScenario) { s.onTrial = true }), "", 1, 0, "", true},
		{"resumed without an estimate", "healthy replicas found silent one after the other while they read the prompt, as no owner estimates the time for that", with(newScenario(silentAfter(5), fakeRun{first: 3500 * ms, interval: 50 * ms, stopAfter: neverStops}), func(s *streamScenario) { s.ownerLostAfter = 1 }), "silent", 2, 1, "", true},
		{"held content", "a stream cut off that the quarantine does not let run again", with(newScenario(pausing), func(s *streamScenario) { s.heldFrom = 3 }), "", 1, 0, keptQuarantined, true},
		{"not placed by completion", "other routes served differently", with(newScenario(pausing), func(s *streamScenario) { s.pauseTarget = time.Second }), "", 1, 0, "", true},
		{"slow and short of time", "a healthy stream that is cut off by a small silence shortly before its deadline", with(newScenario(complete(400*ms)), func(s *streamScenario) { s.events, s.expected, s.timeLeft = 3, 3, 1700*ms }), "", 1, 0, keptNoneInTime, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, x, err := c.scenario.run(t)
			if len(f.faults) > 0 {
				t.Errorf("%v", f.faults)
			}
			if moves(x) != c.moves || len(f.sends) != c.sends || len(f.failed) != c.faults || x.MoveDeclined != c.declined || (err == nil) != c.ok {
				t.Errorf("moves %q, %d sends, faults %v, declined %q, %v (guards against %s)", moves(x), len(f.sends), f.failed, x.MoveDeclined, err, c.guards)
			}
		})
	}
}

// Guards against a request that goes on for a client that left while its stream was being moved.
func TestClientLeavesDuringTheMove(t *testing.T) {
	leaveAt := func(n int) func(int, context.CancelFunc) {
		return func(i int, leave context.CancelFunc) {
			if i == n {
				leave()
			}
		}
	}
	for _, c := range []struct {
		name  string
		set   func(*streamScenario)
		sends int
		moves int
	}{
		{"while another replica is chosen", func(s *streamScenario) { s.onChoose = leaveAt(2) }, 1, 0},
		{"while the first run is being cancelled", func(s *streamScenario) { s.onCancel = func(leave context.CancelFunc) { leave() } }, 1, 0},
		{"while the first run is being closed", func(s *streamScenario) { s.onClose = func(leave context.CancelFunc) { leave() } }, 1, 1},
		{"while the request is sent again", func(s *streamScenario) { s.onSend = leaveAt(2) }, 2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScenario(silentAfter(5), complete(50*time.Millisecond))
			c.set(&s)
			f, x, err := s.run(t)
			if len(f.faults) > 0 || err == nil || x.StopReason != "the client left" || len(f.sends) != c.sends || len(x.Moves) != c.moves {
				t.Errorf("%v, %v, stopped %q after %d sends and moves %v, want %d and %d", f.faults, err, x.StopReason, len(f.sends), x.Moves, c.sends, c.moves)
			}
		})
	}
}

// Guards against a stream that is moved because its client took the time that was left. The replica sends at an even pace and
// would complete the answer in time.
func TestSlowClientDoesNotMoveStream(t *testing.T) {
	for _, c := range []struct {
		name string
		run  fakeRun
	}{
		{"mean interval", complete(200 * time.Millisecond)},
		{"short silence", fakeRun{first: 50 * time.Millisecond, interval: 50 * time.Millisecond, stopAfter: 20, pause: 1900 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScenario(c.run, complete(50*time.Millisecond))
			s.events, s.expected, s.finish = 30, 60, time.Second
			s.onEvent = func(n int, _ context.CancelFunc) {
				if n == 18 {
					time.Sleep(13 * time.Second)
				}
			}
			if c.run.stopAfter != neverStops {
				s.timeLeft = 16500 * time.Millisecond
			}
			f, x, err := s.run(t)
			if len(f.faults) > 0 || err != nil || len(x.Moves) > 0 || x.MoveDeclined != "" {
				t.Errorf("%v, %v, moves %v, declined %q, want no decision", f.faults, err, x.Moves, x.MoveDeclined)
			}
		})
	}
}

// Guards against a crash that is not counted because the stream was being moved when the connection was reset.
func TestCrashDuringMoveIsCounted(t *testing.T) {
	slow := complete(500 * time.Millisecond)
	slow.stopAfter = 10
	for _, c := range []struct {
		moves string
		run   fakeRun
	}{{"silent", silentAfter(5)}, {"slow", slow}} {
		c.run.reset = true
		s := newScenario(c.run, complete(10*time.Millisecond))
		if c.moves == "slow" {
			// The silence that ends the run is short for a fault, and too long for the time left.
			s.timeLeft, s.finish = 6*time.Second, 300*time.Millisecond
		}
		f, x, err := s.run(t)
		if len(f.faults) > 0 || err != nil || moves(x) != c.moves || f.crashes != 1 || len(f.failed) != 1 {
			t.Errorf("%s: %v, %v, moves %q, %d crashes, failed attempts %v, want one", c.moves, f.faults, err, moves(x), f.crashes, f.failed)
		}
	}
}

// Guards against a refusal that counts as a run and as a fault because the stream was being moved on when it arrived.
func TestRefusalDuringMoveIsNoRun(t *testing.T) {
	s := newScenario(silentAfter(5), fakeRun{refusedLate: true}, complete(50*time.Millisecond))
	s.timeLeft, s.finish = 5*time.Second, time.Second
	f, x, err := s.run(t)
	if len(f.faults) > 0 || err != nil || x.Runs != 2 || moves(x) != "silent" || len(f.sends) != 3 {
		t.Errorf("%v, %v, %d runs, moves %q, %d sends, want 2 runs, one move and 3 sends", f.faults, err, x.Runs, moves(x), len(f.sends))
	}
	if b := f.router.backends.state[f.sends[1]]; b.breaker.FailureRate() > 0 {
		t.Errorf("the refusal counts as a failure of %s", f.sends[1])
	}
}

// Guards against a replica that stays excluded by its breaker because the request that may probe it is taken up by decisions
// that leave the stream where it is.
func TestDeclinedMoveUsesUpNoProbe(t *testing.T) {
	s := newScenario(complete(500 * time.Millisecond))
	s.events, s.expected, s.timeLeft, s.finish = 25, 60, 15*time.Second, 14*time.Second
	var r *Router
	var running string
	forEach := func(f func(id string, x *backend)) {
		r.backends.mu.Lock()
		defer r.backends.mu.Unlock()
		for i := range 8 {
			if id := fmt.Sprint("r", i); id != running {
				f(id, r.backends.stateOf(id))
			}
		}
	}
	s.onReady = func(x *Router) { r = x }
	s.onSend = func(int, context.CancelFunc) {
		for id := range r.InFlight() {
			running = id
		}
		forEach(func(_ string, x *backend) { x.breaker.Open(time.Now().Add(-time.Second)) })
	}
	s.onEvent = func(n int, _ context.CancelFunc) {
		if n != 24 {
			return
		}
		forEach(func(id string, x *backend) {
			if !x.breaker.Allows(time.Now()) {
				t.Errorf("%s may not be probed, though no request was sent there", id)
			}
		})
	}
	if f, x, err := s.run(t); len(f.faults) > 0 || err != nil || x.MoveDeclined != keptNoneInTime {
		t.Errorf("%v, %v, declined %q, want a stream that stays", f.faults, err, x.MoveDeclined)
	}
}

// Guards against requests that are refused as late because a slow client was taken for slow replicas.
func TestSlowClientDoesNotRaiseExpectedTime(t *testing.T) {
	// An answer that is cut off sooner than it was expected to end changes nothing.
	for left, most := range map[time.Duration]time.Duration{20 * time.Second: 2999 * time.Millisecond, 8 * time.Second: 3 * time.Second} {
		s := newScenario(complete(100 * time.Millisecond))
		s.timeLeft = left
		s.onEvent = func(n int, _ context.CancelFunc) {
			if n == 5 {
				time.Sleep(10 * time.Second)
			}
		}
		f, x, _ := s.run(t)
		w := &forwarding{q: x.Request, result: x, modelIndex: -1}
		if d := f.router.finishDelays.Expect(w.slotTimeKey(), float64(s.finish.Milliseconds())); len(f.faults) > 0 || d > most {
			t.Errorf("%s left: %v, a complete answer is expected after %s, want %s at most", left, f.faults, d, most)
		}
	}
}

// Guards against a healthy replica that counts as faulty, and a wrong status, if another one answered with an error instead of
// resuming the stream and the client then left.
func TestErrorOfResumedRunIsNotThatOfTheNext(t *testing.T) {
	s := newScenario(silentAfter(5), fakeRun{status: http.StatusInternalServerError}, complete(50*time.Millisecond))
	s.onEvent = func(n int, leave context.CancelFunc) {
		if n == 8 {
			leave()
		}
	}
	f, x, err := s.run(t)
	if len(f.faults) > 0 || err == nil || len(f.failed) != 2 || x.Status != http.StatusOK {
		t.Errorf("%v, %v, failed attempts %v, status %d, want the first two and the status that the client got", f.faults, err, f.failed, x.Status)
	}
}

// Guards against a healthy replica that is found silent because this process was suspended: the
// event that ends the silence has arrived but was not read yet.
func TestSuspensionIsNoSilence(t *testing.T) {
	s := newScenario(fakeRun{first: 50 * time.Millisecond, interval: 50 * time.Millisecond, stopAfter: 5, pause: 2050 * time.Millisecond})
	var start time.Time
	s.clock = func() time.Time {
		now := time.Now()
		if start.IsZero() {
			start = now
		}
		if now.Sub(start) > 300*time.Millisecond {
			now = now.Add(3 * time.Second)
		}
		return now
	}
	f, x, err := s.run(t)
	if len(f.faults) > 0 || err != nil || len(x.Moves) > 0 {
		t.Errorf("%v, moves %v, %v, want none", f.faults, x.Moves, err)
	}
}

// Guards against a replica that is found slow because this process was suspended between two events.
func TestSuspensionIsNoSlowness(t *testing.T) {
	for _, c := range []struct {
		name string
		// wait is the time to the event that ends the suspension: it arrives before or after the timer.
		wait time.Duration
	}{{"event read first", 50 * time.Millisecond}, {"timer first", 2050 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			s := newScenario(fakeRun{first: 50 * time.Millisecond, interval: 50 * time.Millisecond, stopAfter: 6, pause: c.wait}, complete(20*time.Millisecond))
			s.events, s.expected, s.finish = 40, 60, time.Second
			var start time.Time
			s.clock = func() time.Time {
				now := time.Now()
				if start.IsZero() {
					start = now
				}
				if now.Sub(start) > 320*time.Millisecond {
					now = now.Add(8 * time.Second)
				}
				return now
			}
			f, x, err := s.run(t)
			if len(f.faults) > 0 || err != nil || len(x.Moves) > 0 {
				t.Errorf("%v, moves %v, %v, want none", f.faults, x.Moves, err)
			}
		})
	}
}

// Guards against events that are lost, sent twice or out of order, runs that overlap, and replicas
// that stay reserved, whatever the replicas do and however slowly the client reads.
func TestMovedStreamsAreComplete(t *testing.T) {
	millis := func(low, high int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(low, high), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	}
	run := rapid.Custom(func(t *rapid.T) fakeRun {
		return fakeRun{
			first: millis(1, 4000).Draw(t, "first"), interval: millis(1, 700).Draw(t, "interval"),
			stopAfter: rapid.OneOf(rapid.IntRange(0, 40), rapid.Just(neverStops)).Draw(t, "stop"), pause: millis(0, 6000).Draw(t, "pause"),
			buffered: rapid.IntRange(0, 3).Draw(t, "buffered"),
			broken:   rapid.IntRange(0, 4).Draw(t, "broken") == 0, refused: rapid.IntRange(0, 5).Draw(t, "refused") == 0,
			status: rapid.SampledFrom([]int{0, 0, 0, 0, 500}).Draw(t, "status"),
		}
	})
	rapid.Check(t, func(u *rapid.T) {
		s := newScenario(append(rapid.SliceOfN(run, 1, 5).Draw(u, "runs"), complete(20*time.Millisecond), complete(20*time.Millisecond), complete(20*time.Millisecond))...)
		s.events, s.expected = rapid.IntRange(1, 40).Draw(u, "events"), rapid.IntRange(1, 60).Draw(u, "expected")
		s.maxAttempts, s.budget = rapid.IntRange(1, 6).Draw(u, "attempts"), float64(rapid.IntRange(0, 6).Draw(u, "budget"))
		s.timeLeft, s.finish = millis(500, 20000).Draw(u, "left"), millis(10, 20000).Draw(u, "finish")
		if n := rapid.IntRange(0, 4).Draw(u, "leaves"); n > 0 {
			s.onChoose = func(i int, leave context.CancelFunc) {
				if i == n+1 {
					leave()
				}
			}
		}
		if n := rapid.SampledFrom([]int64{0, 100, 1000, 1 << 16}).Draw(u, "buffer"); n > 0 {
			s.buffers = answerbuffer.NewBudget(n, n)
			s.writeTimes = rapid.SliceOfN(millis(0, 1500), 1, 5).Draw(u, "writes")
			s.leaveAfter = rapid.OneOf(rapid.Just(time.Duration(0)), millis(1, 20000)).Draw(u, "leave")
		}
		f, x, _ := s.run(t)
		slowMoves := strings.Count(moves(x), "slow")
		if len(f.faults) > 0 || slowMoves > 1 {
			u.Fatalf("%v, moves %v", f.faults, x.Moves)
		}
	})
}

// Guards against an estimate that leaves out that a resumed stream's events have to be read again.
func TestSentEventsAreReadAgain(t *testing.T) {
	v := NewCurrentView()
	v.Put(NewView(nil, nil, nil, nil).WithRoutes(route.New(1, nil, nil, nil, route.Limits{}), nil))
	r := NewRouter(Ports{View: v, Clock: time.Now, Rand: rand.NewPCG(1, 1)})
	end := time.Now().Add(10 * time.Second)
	w := &forwarding{r: r, modelIndex: -1, result: &ForwardResult{Service: "s"}, q: &OpaqueRequest{Table: v.Get().Table, Deadline: end, TimeoutAt: end}}
	p := &assignment{byCompletion: true, finishMs: 7000}
	for events, want := range map[int]bool{0: true, 1_000_000: false} {
		w.result.Events = events
		if inTime, known := w.completesInTime(p); inTime != want || !known {
			t.Errorf("%d events sent: in time %t (known %t), want %t", events, inTime, known, want)
		}
	}
}
