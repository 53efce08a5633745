package placement_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fieldvale/peer"
	"fieldvale/placement"
)

// Guards against memory for each instance that was ever lost.
func TestLostOwnersAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := placement.NewNode("x", 0, discard{}, time.Now, func(string, ...any) {})
		for i := range 20 {
			id := fmt.Sprint("lost", i)
			n.SetMembers([]peer.Member{{ID: id, Addr: id}})
			n.Choose(context.Background(), group, placement.Request{Replicas: []string{replica}, UnsharedMs: 1})
			time.Sleep(2 * time.Second)
		}
		n.SetMembers(nil)
		if a := n.AvoidedOwners(); a != 0 {
			t.Errorf("got %d owners that are kept as silent, want none", a)
		}
	})
}

// doublingLink delivers datagrams between the nodes at once, and again when they are replayed.
type doublingLink struct {
	nodes map[string]*placement.Node
	from  string
	// late has the second copies of the datagrams with a request or an answer.
	late *[]func()
	// isDoubled reports whether the datagram arrives twice.
	isDoubled func(b []byte) bool
}

func (l doublingLink) Send(to string, b []byte) error {
	if l.isDoubled(b) {
		*l.late = append(*l.late, func() { l.nodes[to].Receive(l.from, b) })
	}
	l.nodes[to].Receive(l.from, b)
	return nil
}

// Guards against a run that its owner no longer counts, because a second copy of the answer arrived
// after the first one was used, and against runs counted twice after a second copy of the request.
func TestDoubledDatagramsLeaveOneRun(t *testing.T) {
	for _, field := range []string{`"c":`, `"a":`} {
		synctest.Test(t, func(t *testing.T) {
			var late []func()
			l := doublingLink{nodes: map[string]*placement.Node{}, late: &late, isDoubled: func(b []byte) bool { return bytes.Contains(b, []byte(field)) }}
			for i, id := range []string{"owner", "x"} {
				l.from = id
				l.nodes[id] = placement.NewNode(id, uint64(i)<<32, l, time.Now, func(string, ...any) {})
				l.nodes[id].SetMembers([]peer.Member{{ID: "owner", Addr: "owner"}})
			}
			r := placement.Request{Replicas: []string{replica}, UnsharedMs: 100, ByCompletion: true, Pace: pace, OutputTokens: 1800}
			if _, _, ok := l.nodes["x"].Choose(context.Background(), group, r); !ok || len(late) != 1 {
				t.Fatalf("got choice %t and %d second copies, want one of each", ok, len(late))
			}
			late[0]()
			if w := l.nodes["owner"].WorkAt(replica); w.Runs != 1 {
				t.Errorf("after a second copy of the datagram with %s: got %d runs, want 1", field, w.Runs)
			}
		})
	}
}

// Guards against a run counted twice because the second copy of the request was answered before the
// first answer was read.
func TestSecondAnswerIsWithdrawn(t *testing.T) {
	n := (*placement.Node)(nil)
	sent := &abortedTickets{}
	n = placement.NewNode("x", 0, twice{&n, sent}, time.Now, func(string, ...any) {})
	n.SetMembers([]peer.Member{{ID: "owner", Addr: "owner"}})
	_, _, ok := n.Choose(context.Background(), group, placement.Request{Replicas: []string{replica}, UnsharedMs: 1, ByCompletion: true})
	if !ok || len(sent.tickets) != 1 || sent.tickets[0] != 6 {
		t.Errorf("got choice %t and withdrew tickets %v, want the choice and ticket 6", ok, sent.tickets)
	}
}

// abortedTickets are the tickets that were withdrawn.
type abortedTickets struct{ tickets []uint64 }

// twice answers each request with two tickets.
type twice struct {
	n    **placement.Node
	sent *abortedTickets
}

func (a twice) Send(to string, b []byte) error {
	var m struct {
		Request uint64 `json:"q"`
		Aborted uint64 `json:"l"`
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return err
	}
	if m.Aborted != 0 {
		a.sent.tickets = append(a.sent.tickets, m.Aborted)
		return nil
	}
	for _, k := range []uint64{5, 6} {
		(*a.n).Receive(to, fmt.Appendf(nil, `{"q":%d,"c":{"Index":0,"Ticket":%d}}`, m.Request, k))
	}
	return nil
}
