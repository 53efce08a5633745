package placement_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"fieldvale/peer"
	"fieldvale/placement"
)

// Guards against datagrams of an instance that is out of order: their numbers must not remain in
// the sums for a replica, where infinity would exclude it for good, and must not keep the owner
// from answering others.
func TestImplausibleNumbersAreNotCounted(t *testing.T) {
	for _, c := range []struct{ name, datagram string }{
		{"prefill", `{"q":1,"a":{"Replicas":["r"],"Read":1e308}}`},
		{"negative prefill", `{"q":1,"a":{"Replicas":["r"],"Read":-1e6}}`},
		{"prefix", `{"q":1,"a":{"Replicas":["r"],"Read":1,"Parts":[{"Key":"k","Read":1e308}]}}`},
		{"pace", `{"q":1,"a":{"Replicas":["r"],"Read":1,"Whole":true,"Pace":1e308,"Tokens":10}}`},
		{"negative pace", `{"q":1,"a":{"Replicas":["r"],"Read":1,"Whole":true,"Pace":-9,"Tokens":10}}`},
		{"tokens", `{"q":1,"a":{"Replicas":["r"],"Read":1,"Whole":true,"Pace":0.1,"Tokens":1e308}}`},
		{"memory", `{"q":1,"a":{"Replicas":["r"],"Read":1,"Whole":true,"Pace":0.1,"Tokens":10,"Memory":1e308}}`},
		{"run's pace", `{"g":"chat/0","w":[{"Ticket":%d,"Replica":"r","Pace":1e308,"Left":1000}]}`},
		{"run's memory", `{"g":"chat/0","w":[{"Ticket":%d,"Replica":"r","Memory":1e308,"Left":1000}]}`},
		{"run's prefill", `{"g":"chat/0","w":[{"Ticket":%d,"Replica":"r","Read":1e308,"Left":1000}]}`},
	} {
		now := noon
		n := placement.NewNode("a", 0, discard{}, func() time.Time { return now }, func(string, ...any) {})
		for i := range 3 {
			d := c.datagram
			if d[2] == 'g' {
				d = fmt.Sprintf(d, 1000+i)
			}
			n.Receive("b", []byte(d))
		}
		if w := n.WorkAt(replica); w != (placement.Work{}) {
			t.Errorf("%s: got %+v, want no work", c.name, w)
		}
		r := placement.Request{Replicas: []string{replica}, UnsharedMs: 100, ByCompletion: true, Pace: pace, OutputTokens: 100}
		if x, _, ok := n.Choose(context.Background(), group, r); !ok || math.Abs(x.PrefillMs-100) > 1e-9 || x.FinishMs > 10_000 {
			t.Errorf("%s: next request got %+v, want an idle replica", c.name, x)
		}
	}
}

// Guards against runs that are dropped at once, as the time to a far deadline overflows a duration.
func TestFarDeadlineDoesNotOverflow(t *testing.T) {
	l := placement.NewLoadTracker(0)
	r := stream("a")
	r.DeadlineMs = 1e15
	l.Choose(r, noon)
	l.Choose(stream("b"), noon.Add(time.Second))
	if w := l.WorkAt("a", noon.Add(time.Second)); w.Runs != 1 {
		t.Errorf("got %d runs, want 1", w.Runs)
	}
}

// Guards against an owner's answer whose numbers can't be counted as pending work of a replica.
func TestImplausibleChoiceIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, members := newFleet(t, "i1")
		n := f.nodes["i1"]
		n.SetMembers(append(members[:0:0], members[0]))
		for _, answer := range []string{`{"Index":0,"Cost":1e308,"Ticket":5}`, `{"Index":0,"Wait":-1e9,"Ticket":5}`, `{"Index":0,"Finish":1e300,"Ticket":5}`} {
			var a *placement.Node
			a = placement.NewNode("x", 0, answering{&a, answer}, time.Now, func(string, ...any) {})
			a.SetMembers(members)
			if c, _, ok := a.Choose(context.Background(), group, placement.Request{Replicas: []string{replica}, UnsharedMs: 1}); ok {
				t.Errorf("answer %s: got %+v, want none", answer, c)
			}
		}
	})
}

// Guards against an instance that keeps no open runs any more, because answers with the same ticket
// were counted each time.
func TestRepeatedTicketIsOneOpenRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n *placement.Node
		n = placement.NewNode("x", 0, answering{&n, `{"Index":0,"Ticket":5}`}, time.Now, func(string, ...any) {})
		n.SetMembers([]peer.Member{{ID: "a", Addr: "a"}})
		var k placement.Ticket
		for range 3 {
			_, k, _ = n.Choose(context.Background(), group, placement.Request{Replicas: []string{replica}, UnsharedMs: 1, ByCompletion: true})
		}
		n.ReportEnded(k)
		if o := n.OpenRuns(); o != 0 {
			t.Errorf("after the end: got %d open runs, want 0", o)
		}
	})
}

// discard loses all datagrams.
type discard struct{}

func (discard) Send(string, []byte) error { return nil }

// answering answers each request with the given choice.
type answering struct {
	n      **placement.Node
	choice string
}

func (a answering) Send(to string, b []byte) error {
	var m struct {
		Request uint64 `json:"q"`
	}
	if err := json.Unmarshal(b, &m); err != nil || m.Request == 0 {
		return err
	}
	(*a.n).Receive(to, fmt.Appendf(nil, `{"q":%d,"c":%s}`, m.Request, a.choice))
	return nil
}
