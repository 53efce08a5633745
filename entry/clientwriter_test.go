package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/answerbuffer"
	"fieldvale/pool"
	"fieldvale/rollout"
	"fieldvale/route"
)

// slowSink is a client that takes one write for each value on reads, and any number once reads is
// closed.
type slowSink struct {
	reads       chan struct{}
	interrupted chan struct{}

	mu    sync.Mutex
	heads int
	got   []string
}

func newSlowSink() *slowSink {
	return &slowSink{reads: make(chan struct{}), interrupted: make(chan struct{})}
}

func (s *slowSink) Head(Head) error { s.heads++; return nil }

func (s *slowSink) Event(b []byte) error {
	select {
	case <-s.reads:
	case <-s.interrupted:
		return os.ErrDeadlineExceeded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got = append(s.got, string(b))
	return nil
}

func (s *slowSink) Body(b []byte) error { return s.Event(b) }

func (s *slowSink) Interrupt() { close(s.interrupted) }

func (s *slowSink) received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.got)
}

// readEach reads n writes, one in each interval, unless it is interrupted.
func (s *slowSink) readEach(n int, interval time.Duration) {
	for range n {
		time.Sleep(interval)
		select {
		case s.reads <- struct{}{}:
		case <-s.interrupted:
			return
		}
	}
}

// bufferTest is a router with scripted replicas and a buffer.
type bufferTest struct {
	t       *testing.T
	script  *forwardScript
	router  *Router
	budget  *answerbuffer.Budget
	timeout time.Duration

	mu     sync.Mutex
	slow   []SlowClient
	failed []FailedAttempt
}

func (c *bufferTest) addSlow(s SlowClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow = append(c.slow, s)
}

func (c *bufferTest) addFailed(f FailedAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = append(c.failed, f)
}

// newBufferTest returns a router whose replicas give the replies. It must be called in a bubble of
// synctest.
func newBufferTest(t *testing.T, b *answerbuffer.Budget, r route.Route, replies ...scriptedReply) *bufferTest {
	r.Split = []route.WeightedService{{Service: "s"}}
	r.PauseTarget = completionPause
	c := &bufferTest{t: t, script: &forwardScript{t: t, route: r, replies: replies}, budget: b, timeout: 5 * time.Second}
	v := NewCurrentView()
	v.Put(NewView(nil, []pool.Replica{
		{ID: "r0", Kind: pool.Service, Service: "s", Slots: 99}, {ID: "r1", Kind: pool.Service, Service: "s", Slots: 99},
	}, nil, nil).WithRoutes(route.New(1, nil, nil, nil, route.Limits{}), map[string]rollout.Release{}))
	c.router = NewRouter(Ports{
		View: v, Clock: time.Now, Rand: rand.NewPCG(1, 1), Upstream: c.script, Retries: retryBurst(9), FleetSize: func() int { return 1 }, AnswerBuffers: b, CompletionPause: completionPause,
		Hooks: &Hooks{ClientSlow: c.addSlow, AttemptFailed: c.addFailed},
	})
	return c
}

type forwardOutcome struct {
	result *ForwardResult
	err    error
	took   time.Duration
}

// forward starts a request for the client.
func (c *bufferTest) forward(ctx context.Context, s ForwardSink) <-chan forwardOutcome {
	now := time.Now()
	q := &OpaqueRequest{ID: "q", Table: c.router.view.Get().Table, Route: &c.script.route, ArrivedAt: now, Deadline: now.Add(c.timeout), TimeoutAt: now.Add(c.timeout)}
	done := make(chan forwardOutcome, 1)
	go func() {
		f, err := c.router.Forward(ctx, q, s)
		done <- forwardOutcome{f, err, time.Since(now)}
	}()
	return done
}

func largeBudget() *answerbuffer.Budget { return answerbuffer.NewBudget(1<<20, 64<<10) }

// numbered returns n different events.
func numbered(n int) []string {
	var l []string
	for i := range n {
		l = append(l, fmt.Sprintf("e%02d", i))
	}
	return l
}

var streamRoute = route.Route{Kind: route.Stream, MaxAttempts: 1}

// A slow client must not hold the replica's slot: its answer is read at once, and written in order
// also after the deadline, as long as the client reads. Without a buffer the slot is held until
// the client has read, as before.
func TestSlowClientDoesNotHoldReplica(t *testing.T) {
	for _, x := range []struct {
		budget   *answerbuffer.Budget
		interval time.Duration
	}{{largeBudget(), 500 * time.Millisecond}, {nil, 100 * time.Millisecond}} {
		b := x.budget
		synctest.Test(t, func(t *testing.T) {
			c := newBufferTest(t, b, streamRoute, scriptedReply{status: 200, events: numbered(20)})
			s := newSlowSink()
			done := c.forward(t.Context(), s)
			synctest.Wait()
			if n := len(c.router.backends.running()); (n == 0) != (b != nil) {
				t.Errorf("buffer %t: got %d replicas with a request while the client has read nothing", b != nil, n)
			}
			s.readEach(20, x.interval)
			f := <-done
			if f.err != nil || s.heads != 1 || !slices.Equal(s.received(), numbered(20)) {
				t.Errorf("buffer %t: got error %v, %d heads, events %v, want none, 1 and all in order", b != nil, f.err, s.heads, s.received())
			}
			if len(c.slow) != 0 {
				t.Errorf("got slow clients %v, want none, as there was room", c.slow)
			}
		})
	}
}

// An event must reach a client that reads without waiting for later events or for a timer.
func TestEventIsWrittenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBufferTest(t, largeBudget(), streamRoute, scriptedReply{status: 200, events: []string{"a"}, end: "hang"})
		s := newSlowSink()
		close(s.reads)
		done := c.forward(t.Context(), s)
		synctest.Wait()
		if g := s.received(); !slices.Equal(g, []string{"a"}) {
			t.Errorf("got events %v before any time passed, want a", g)
		}
		<-done
	})
}

// A client that reads nothing until its deadline must be cut then, so that it does not hold memory
// for ever. The replica answered well, so that nothing may count as its failure.
func TestStalledClientIsCutAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBufferTest(t, largeBudget(), streamRoute, scriptedReply{status: 200, events: numbered(9)})
		s := newSlowSink()
		done := c.forward(t.Context(), s)
		s.readEach(2, 100*time.Millisecond)
		f := <-done
		var x *Failure
		if !errors.As(f.err, &x) || x.Code != DeadlineExceeded || f.took != c.timeout || f.result.StopReason != errClientStalled.Error() {
			t.Errorf("got error %v after %s, stopped for %q, want the deadline's at %s", f.err, f.took, f.result.StopReason, c.timeout)
		}
		if len(c.slow) != 1 || !c.slow[0].IsCut || c.slow[0].UnwrittenBytes != 7*3 {
			t.Errorf("got slow clients %+v, want one that was cut with 21 bytes unwritten", c.slow)
		}
		if len(c.failed) != 0 {
			t.Errorf("got failed attempts %v, want none", c.failed)
		}
		if c.budget.Held() != 0 {
			t.Errorf("got %d bytes held after the end, want 0", c.budget.Held())
		}
	})
}

// A client that leaves must end the run at the replica at once, also while the writer is blocked
// and while the replica's reader waits for room.
func TestClientLeaves(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget *answerbuffer.Budget
		reply  scriptedReply
	}{
		{"run in progress", largeBudget(), scriptedReply{status: 200, events: numbered(3), end: "hang"}},
		{"replica done", largeBudget(), scriptedReply{status: 200, events: numbered(3)}},
		{"no room", answerbuffer.NewBudget(100, 100), scriptedReply{status: 200, events: numbered(9), end: "hang"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBufferTest(t, c.budget, streamRoute, c.reply)
			ctx, cancel := context.WithCancel(t.Context())
			done := b.forward(ctx, newSlowSink())
			time.Sleep(time.Second)
			cancel()
			f := <-done
			if f.err == nil || f.took != time.Second || len(b.router.backends.running()) != 0 {
				t.Errorf("%s: got error %v after %s, want one after 1s", c.name, f.err, f.took)
			}
			if len(b.failed) != 0 || f.result.StopReason != "the client left" {
				t.Errorf("%s: got failed attempts %v, stopped for %q, want none, the client left", c.name, b.failed, f.result.StopReason)
			}
		})
	}
}

// A write that fails must end the run although the replica sends nothing that could be written.
func TestFailedWriteEndsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBufferTest(t, largeBudget(), streamRoute, scriptedReply{status: 200, events: numbered(1), end: "hang"})
		s := newSlowSink()
		done := c.forward(t.Context(), s)
		time.Sleep(time.Second)
		s.Interrupt()
		if f := <-done; f.err == nil || f.took != time.Second || len(c.failed) != 0 {
			t.Errorf("got error %v after %s and failed attempts %v, want one after 1s and none", f.err, f.took, c.failed)
		}
	})
}

// Many slow clients must not exceed the shared memory, and none may be cut for it: those without
// room are served as if there were no buffer.
func TestManySlowClientsShareMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const clients, events, total = 60, 40, 16 << 10
		b := answerbuffer.NewBudget(total, 2<<10)
		var replies []scriptedReply
		for range clients {
			replies = append(replies, scriptedReply{status: 200, events: numbered(events)})
		}
		c := newBufferTest(t, b, streamRoute, replies...)
		c.timeout = time.Minute
		var sinks []*slowSink
		var done []<-chan forwardOutcome
		for range clients {
			s := newSlowSink()
			sinks, done = append(sinks, s), append(done, c.forward(t.Context(), s))
			synctest.Wait()
			go s.readEach(events, 100*time.Millisecond)
		}
		most := int64(0)
		for range events {
			most = max(most, b.Held())
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
		}
		for i := range clients {
			if f := <-done[i]; f.err != nil || !slices.Equal(sinks[i].received(), numbered(events)) {
				t.Errorf("client %d: got error %v, events %v, want none and all", i, f.err, sinks[i].received())
			}
		}
		if most > total || most < total*3/4 {
			t.Errorf("got at most %d bytes held, want up to %d and most of it used", most, total)
		}
		if len(c.slow) == 0 || slices.ContainsFunc(c.slow, func(s SlowClient) bool { return s.IsCut }) {
			t.Errorf("got slow clients %v, want some and none cut", c.slow)
		}
	})
}

// A failure of the replica must reach the client only after what had arrived, and as an error, so
// that the answer does not look complete. A resumed stream goes on after the last event that was
// accepted for the client, although the client has not read it yet.
func TestReplicaFailsWhileClientIsSlow(t *testing.T) {
	for _, c := range []struct {
		name   string
		route  route.Route
		second scriptedReply
		after  string
		want   string
	}{
		{"broken off", streamRoute, scriptedReply{}, "", "e00 e01 e02"},
		{"resumed", route.Route{Kind: route.Stream, MaxAttempts: 2, Resumable: true}, scriptedReply{status: 200, events: []string{"x", "y"}}, ",e02", "e00 e01 e02 x y"},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBufferTest(t, largeBudget(), c.route, scriptedReply{status: 200, events: numbered(3), end: "cut"}, c.second)
			s := newSlowSink()
			done := b.forward(t.Context(), s)
			synctest.Wait()
			if n := len(b.router.backends.running()); n != 0 {
				t.Errorf("%s: got %d replicas with a request, want 0", c.name, n)
			}
			s.readEach(len(strings.Fields(c.want)), 200*time.Millisecond)
			f := <-done
			if (f.err != nil) != (c.after == "") {
				t.Errorf("%s: got error %v", c.name, f.err)
			}
			if g := strings.Join(s.received(), " "); g != c.want || strings.Join(b.script.after, ",") != c.after || s.heads != 1 {
				t.Errorf("%s: got events %q, resumed after %q, %d heads, want %q, %q, 1", c.name, g, b.script.after, s.heads, c.want, c.after)
			}
			if len(b.failed) != 1 {
				t.Errorf("%s: got failed attempts %v, want one", c.name, b.failed)
			}
		})
	}
}

// A plain answer must arrive unchanged although it is written in parts, and free its replica at
// once if it fits into the buffer. One that does not fit is written as without a buffer.
func TestSlowClientOfPlainAnswer(t *testing.T) {
	for _, c := range []struct {
		name    string
		bytes   int
		running int
	}{{"empty", 0, 0}, {"fits", 3*bodyPartBytes + 1, 0}, {"too large", 100 << 10, 1}} {
		synctest.Test(t, func(t *testing.T) {
			body := strings.Repeat("0123456789", c.bytes/10+1)[:c.bytes]
			b := newBufferTest(t, largeBudget(), route.Route{Kind: route.Repeatable, MaxAttempts: 1}, scriptedReply{status: 200, events: []string{body}})
			s := newSlowSink()
			done := b.forward(t.Context(), s)
			synctest.Wait()
			if n := len(b.router.backends.running()); n != c.running {
				t.Errorf("%s: got %d replicas with a request, want %d", c.name, n, c.running)
			}
			close(s.reads)
			if f := <-done; f.err != nil || strings.Join(s.received(), "") != body {
				t.Errorf("%s: got error %v and %d bytes, want none and the body", c.name, f.err, len(strings.Join(s.received(), "")))
			}
		})
	}
}

// Guards against a complete plain answer that is broken off because its client, which reads slowly, has not got all of it
// by the deadline. It is too large for the buffer, so that the request waits for the client.
func TestLargePlainAnswerIsDeliveredLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const parts = 13
		body := strings.Repeat("0123456789abcdef", parts*bodyPartBytes/16)
		c := newBufferTest(t, largeBudget(), route.Route{Kind: route.Repeatable, MaxAttempts: 1}, scriptedReply{status: 200, events: []string{body}})
		s := newSlowSink()
		done := c.forward(t.Context(), s)
		s.readEach(parts, time.Second)
		if f := <-done; f.err != nil || f.took <= c.timeout || f.result.StopReason != "" || strings.Join(s.received(), "") != body {
			t.Errorf("got error %v after %s, stopped for %q, %d bytes, want all %d after more than %s", f.err, f.took, f.result.StopReason, len(strings.Join(s.received(), "")), len(body), c.timeout)
		}
		if len(c.failed) != 0 || c.budget.Held() != 0 {
			t.Errorf("got failed attempts %v and %d bytes held, want none", c.failed, c.budget.Held())
		}
	})
}

// lateUpstream has the last event of each stream come after a wait.
type lateUpstream struct {
	*forwardScript
	wait time.Duration
}

func (u lateUpstream) Send(ctx context.Context, r *pool.Replica, d Dispatch) (Reply, error) {
	p, err := u.forwardScript.Send(ctx, r, d)
	if err != nil {
		return nil, err
	}
	return &lateReply{p.(*replyFake), u.wait}, nil
}

type lateReply struct {
	*replyFake
	wait time.Duration
}

func (r *lateReply) Next() (Event, error) {
	if r.n == len(r.p.events)-1 {
		time.Sleep(r.wait)
	}
	return r.replyFake.Next()
}

// Guards against a client that is cut at the deadline although it reads: the replica sent nothing for a while, and its last
// event came just before.
func TestClientWithoutEventsIsNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBufferTest(t, largeBudget(), streamRoute, scriptedReply{status: 200, events: numbered(2)})
		c.router.upstream = lateUpstream{c.script, c.timeout - time.Millisecond}
		s := newSlowSink()
		done := c.forward(t.Context(), s)
		s.readEach(1, 100*time.Millisecond)
		s.readEach(1, c.timeout)
		if f := <-done; f.err != nil || !slices.Equal(s.received(), numbered(2)) {
			t.Errorf("got error %v and events %v, want none and both", f.err, s.received())
		}
	})
}

// Guards against a client that is cut because this process was suspended and could not write.
func TestSuspensionDoesNotCutClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBufferTest(t, largeBudget(), streamRoute, scriptedReply{status: 200, events: numbered(9)})
		start := time.Now()
		c.router.clock = func() time.Time {
			if now := time.Now(); now.Sub(start) < time.Second {
				return now
			}
			return time.Now().Add(30 * time.Second)
		}
		s := newSlowSink()
		done := c.forward(t.Context(), s)
		s.readEach(2, 100*time.Millisecond)
		time.Sleep(c.timeout)
		s.readEach(7, 50*time.Millisecond)
		if f := <-done; f.err != nil || !slices.Equal(s.received(), numbered(9)) {
			t.Errorf("got error %v and events %v, want none and all", f.err, s.received())
		}
	})
}

// leavingSink is a client that leaves during its first write.
type leavingSink struct {
	leave  context.CancelFunc
	writes int
}

func (s *leavingSink) Head(Head) error     { return nil }
func (s *leavingSink) Event([]byte) error  { s.writes++; s.leave(); return nil }
func (s *leavingSink) Body(b []byte) error { return s.Event(b) }
func (s *leavingSink) Interrupt()          {}

// Guards against buffered events, or further parts of a body, that are written after the client left.
func TestNothingIsWrittenAfterClientLeft(t *testing.T) {
	for _, c := range []struct {
		name  string
		route route.Route
		reply scriptedReply
	}{
		{"stream", streamRoute, scriptedReply{status: 200, events: numbered(9)}},
		{"body", route.Route{Kind: route.Repeatable, MaxAttempts: 1}, scriptedReply{status: 200, events: []string{strings.Repeat("x", 3*bodyPartBytes)}}},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBufferTest(t, largeBudget(), c.route, c.reply)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			s := &leavingSink{leave: leave}
			if f := <-b.forward(ctx, s); f.err == nil || s.writes != 1 {
				t.Errorf("%s: got error %v after %d writes, want one after the first", c.name, f.err, s.writes)
			}
		})
	}
}

// A failure before the head must go the usual way, without an answer to the client.
func TestFailureBeforeHeadIsNotBuffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBufferTest(t, largeBudget(), streamRoute, scriptedReply{status: 200, end: "cut"})
		s := newSlowSink()
		if f := <-c.forward(t.Context(), s); f.err == nil || s.heads != 0 || f.took != 0 {
			t.Errorf("got error %v and %d heads after %s, want an error and none at once", f.err, s.heads, f.took)
		}
	})
}

// Guards against streams that are read ahead on routes whose callers want an even pace of events:
// the replica must wait for the client there, as without a buffer.
func TestStreamsWithShortPausesAreNotBuffered(t *testing.T) {
	r := streamRoute
	for _, c := range []struct {
		pause time.Duration
		want  bool
	}{{completionPause, true}, {completionPause - time.Millisecond, false}} {
		b := newBufferTest(t, largeBudget(), r)
		b.script.route.PauseTarget = c.pause
		w := &forwarding{r: b.router, q: &OpaqueRequest{Route: &b.script.route}, out: &slowSink{}}
		w.bufferAnswer(t.Context(), t.Context(), func() {})
		if got := w.clientWriter != nil; got != c.want {
			t.Errorf("allowed pause %v: buffered %t, want %t", c.pause, got, c.want)
		}
	}
}
