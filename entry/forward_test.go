package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"fieldvale/outcome"
	"fieldvale/placement"
	"fieldvale/pool"
	"fieldvale/prompt"
	"fieldvale/quarantine"
	"fieldvale/rollout"
	"fieldvale/route"
)

// TestForwardScripts runs testdata/forward/*.txt: the replies of the replicas in order, and what the
// client and the replicas must receive.
//
//	route KIND attempts=N [resumable] [models=a,b,c] [target=DURATION]
//	budget N                  size of the retry budget
//	reply STATUS [confidence=N] [e1 e2 ...] [cut|hang]    events that begin with a colon are comments
//	refuse                    the replica answers that the request did not run
//	unreached                 the replica can't be connected to
//	reset                     the connection is reset after the request was sent
//	busy MS                   work waiting at the replicas
//	want sends=M1,M2 after=... client=... run=... [dropped=MODEL:CONFIDENCE]...
func TestForwardScripts(t *testing.T) {
	l, err := filepath.Glob("testdata/forward/*.txt")
	if err != nil || len(l) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, p := range l {
		t.Run(strings.TrimSuffix(filepath.Base(p), ".txt"), func(t *testing.T) { runForwardScript(t, p) })
	}
}

type forwardScript struct {
	t       *testing.T
	route   route.Route
	budget  float64
	busy    float64
	replies []scriptedReply
	want    string
	// sends and after are the models and last event ids of the attempts.
	sends []string
	after []string
}

type scriptedReply struct {
	err        error
	status     int
	confidence string
	events     []string
	end        string
}

func runForwardScript(t *testing.T, path string) { runForwardScriptWith(t, path, nil, nil) }

// runForwardScriptWith runs a script with the given quota and quarantine, and returns the number
// of attempts.
func runForwardScriptWith(t *testing.T, path string, bounds Quota, contents quarantine.Checker) int {
	s := readForwardScript(t, path)
	s.route.Split = []route.WeightedService{{Service: "s"}}
	v := NewCurrentView()
	var l []pool.Replica
	for i := range 8 {
		l = append(l, pool.Replica{ID: fmt.Sprint("r", i), Kind: pool.Service, Service: "s", Slots: 4})
	}
	v.Put(NewView(nil, l, nil, nil).WithRoutes(route.New(1, nil, nil, nil, route.Limits{}), map[string]rollout.Release{}))
	r := NewRouter(Ports{View: v, Clock: time.Now, Rand: rand.NewPCG(1, 1), Upstream: s, Retries: retryBurst(s.budget), FleetSize: func() int { return 1 }, AcceptConfidence: 60, Placer: s.placer(), Quota: bounds, Quarantine: contents})
	q := &OpaqueRequest{ID: "q", Table: v.Get().Table, Route: &s.route, Prompt: prompt.Prompt{Model: prompt.AnyModel}, ArrivedAt: time.Now(), Deadline: time.Now().Add(5 * time.Second), TimeoutAt: time.Now().Add(5 * time.Second)}
	c := &clientSink{}
	fwd, err := r.Forward(t.Context(), q, c)
	run := "ok"
	var f *Failure
	if errors.As(err, &f) {
		run = f.Outcome.String()
	}
	got := fmt.Sprintf("sends=%s after=%s client=%s run=%s", strings.Join(s.sends, ","), strings.Join(s.after, ","), strings.Join(c.got, ","), run)
	for _, d := range fwd.Dropped {
		got += " dropped=" + d.String()
	}
	if d := cmp.Diff(s.want, got); d != "" {
		t.Error(d)
	}
	return len(s.sends)
}

// busyPlacer chooses the first candidate, with that many milliseconds of waiting work.
type busyPlacer float64

func (p busyPlacer) Choose(context.Context, string, placement.Request) (placement.Choice, placement.Ticket, bool) {
	return placement.Choice{WaitMs: float64(p)}, placement.Ticket{}, true
}

func (busyPlacer) ReportPrefilled(placement.Ticket)                {}
func (busyPlacer) ReportEnded(placement.Ticket)                    {}
func (busyPlacer) ReportAborted(placement.Ticket, placement.Fault) {}

// placer is nil where the script states no waiting work.
func (s *forwardScript) placer() Placer {
	if s.busy == 0 {
		return nil
	}
	return busyPlacer(s.busy)
}

func readForwardScript(t *testing.T, path string) *forwardScript {
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s := &forwardScript{t: t, budget: 9}
	for c := bufio.NewScanner(f); c.Scan(); {
		if w := strings.Fields(c.Text()); len(w) > 0 && w[0] != "#" {
			s.line(w[0], w[1:])
		}
	}
	return s
}

var scriptKinds = map[string]route.Kind{"once": route.Once, "repeatable": route.Repeatable, "stream": route.Stream}

func (s *forwardScript) line(verb string, args []string) {
	switch verb {
	case "route":
		s.readRoute(args)
	case "budget":
		s.budget, _ = strconv.ParseFloat(args[0], 64)
	case "refuse":
		s.replies = append(s.replies, scriptedReply{err: outcome.New(outcome.NotRun, "refused", "r", errors.New("full")).WithStatus(503)})
	case "unreached":
		s.replies = append(s.replies, scriptedReply{err: outcome.New(outcome.NotRun, "dial", "r", errors.New("connection refused"))})
	case "reset":
		s.replies = append(s.replies, scriptedReply{err: outcome.New(outcome.Unknown, "read", "r", io.ErrUnexpectedEOF)})
	case "busy":
		s.busy, _ = strconv.ParseFloat(args[0], 64)
	case "reply":
		s.replies = append(s.replies, readReply(args))
	case "want":
		s.want = strings.Join(args, " ")
	default:
		s.t.Fatalf("unknown line %q", verb)
	}
}

func (s *forwardScript) readRoute(args []string) {
	s.route = route.Route{Kind: scriptKinds[args[0]], Target: time.Second}
	for _, a := range args[1:] {
		k, v, _ := strings.Cut(a, "=")
		switch k {
		case "attempts":
			s.route.MaxAttempts, _ = strconv.Atoi(v)
		case "target":
			s.route.Target, _ = time.ParseDuration(v)
		case "resumable":
			s.route.Resumable = true
		case "models":
			s.route.Models = strings.Split(v, ",")
		}
	}
}

func readReply(args []string) scriptedReply {
	r := scriptedReply{}
	r.status, _ = strconv.Atoi(args[0])
	for _, a := range args[1:] {
		if c, ok := strings.CutPrefix(a, "confidence="); ok {
			r.confidence = c
			continue
		}
		if a == "cut" || a == "hang" {
			r.end = a
			continue
		}
		r.events = append(r.events, a)
	}
	return r
}

// Send implements Upstream.
func (s *forwardScript) Send(ctx context.Context, _ *pool.Replica, d Dispatch) (Reply, error) {
	s.sends = append(s.sends, "m"+d.Model)
	s.after = append(s.after, d.LastEventID)
	if len(s.sends) > len(s.replies) {
		s.t.Errorf("attempt %d is not in the script", len(s.sends))
		return nil, outcome.New(outcome.NotRun, "refused", "r", errors.New("no reply left in the script"))
	}
	p := s.replies[len(s.sends)-1]
	if p.err != nil {
		return nil, p.err
	}
	return &replyFake{ctx: ctx, p: p}, nil
}

type replyFake struct {
	ctx context.Context
	p   scriptedReply
	n   int
}

func (r *replyFake) Head() Head { return Head{Status: r.p.status, Header: http.Header{}} }

func (r *replyFake) Confidence() (float64, bool) {
	c, err := strconv.ParseFloat(r.p.confidence, 64)
	return c, err == nil
}

func (r *replyFake) Next() (Event, error) {
	if err := context.Cause(r.ctx); err != nil {
		return Event{}, err
	}
	if r.n < len(r.p.events) {
		r.n++
		e := r.p.events[r.n-1]
		if strings.HasPrefix(e, ":") {
			return Event{Data: []byte(e), IsComment: true}, nil
		}
		return Event{ID: e, Data: []byte(e)}, nil
	}
	switch r.p.end {
	case "cut":
		return Event{}, io.ErrUnexpectedEOF
	case "hang":
		<-r.ctx.Done()
		return Event{}, context.Cause(r.ctx)
	}
	return Event{}, io.EOF
}

func (r *replyFake) Body() ([]byte, error) {
	var b []byte
	for {
		e, err := r.Next()
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
		b = append(b, e.Data...)
	}
}

func (r *replyFake) Close() {}

type clientSink struct{ got []string }

func (c *clientSink) Head(h Head) error {
	c.got = append(c.got, strconv.Itoa(h.Status))
	return nil
}

func (c *clientSink) Event(b []byte) error {
	c.got = append(c.got, string(b))
	return nil
}

func (c *clientSink) Body(b []byte) error { return c.Event(b) }
