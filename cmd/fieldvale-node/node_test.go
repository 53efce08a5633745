package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"fieldvale/platform/sitetest"
)

func TestNodePassesRequestsOnUnchanged(t *testing.T) {
	s := newSite(t)
	a := s.replica("a", "v1")
	s.start()
	r := s.send("POST", "/once/x%20y?q=1&r", "body", key, sitetest.HeaderTenant+": forged", sitetest.HeaderKvHold+": 7", sitetest.HeaderExpectReplica+": other", sitetest.HeaderPin+": 5", sitetest.HeaderKvFrom+": 1.2.3.4:5/6", "X-Other: kept")
	if r.status != 200 || r.body != "ok" || r.header.Get(sitetest.HeaderReplicaStamp) != "a" {
		t.Fatalf("%+v", r)
	}
	l := a.Requests()
	if len(l) != 1 || l[0].Method != "POST" || l[0].Target != "/once/x%20y?q=1&r" || l[0].Body != "body" {
		t.Fatalf("the replica saw %+v", l)
	}
	h := l[0].Header
	for k, want := range map[string]string{
		sitetest.HeaderAPIKey: "", sitetest.HeaderTenant: "acme", sitetest.HeaderKvHold: "", sitetest.HeaderPin: "", sitetest.HeaderKvFrom: "",
		sitetest.HeaderExpectReplica: "a", "X-Other": "kept",
	} {
		if g := h.Get(k); g != want {
			t.Errorf("%s: %q, want %q", k, g, want)
		}
	}
}

func TestNodeRefuses(t *testing.T) {
	s := newSite(t)
	a := s.replica("a", "v1")
	s.start()
	for _, c := range []struct {
		name, path, body string
		head             []string
		want             int
	}{
		{"no route", "/none/", "", []string{key}, 404},
		{"no key", "/once/", "", nil, 401},
		{"an unknown key", "/once/", "", []string{sitetest.HeaderAPIKey + ": no"}, 401},
		{"no id", "/once/", "", []string{key, sitetest.HeaderRequestID + ": "}, 400},
		{"a bad deadline", "/once/", "", []string{key, sitetest.HeaderDeadline + ": soon"}, 400},
		{"a long body", "/once/", strings.Repeat("x", 3000), []string{key}, 413},
		{"a public route without a key", "/open/", "", nil, 200},
	} {
		if r := s.send("POST", c.path, c.body, c.head...); r.status != c.want {
			t.Errorf("%s: %d %q, want %d", c.name, r.status, r.body, c.want)
		}
	}
	if n := len(a.Requests()); n != 1 {
		t.Errorf("%d requests reached the replica, want 1", n)
	}
}

// A second answer on a connection, late or not, is no other request's.
func TestNodeKeepsAnswersApart(t *testing.T) {
	s := newSite(t)
	a := s.replica("a", "v1")
	s.start()
	a.Lock()
	n := 0
	a.Handler = func(c net.Conn, q sitetest.Request) {
		n++
		a.RespondOK(fmt.Sprint("answer ", n))(c, q)
		if n == 1 {
			a.RespondOK("too many")(c, q)
		}
	}
	a.Unlock()
	for i := range 5 {
		if r := s.send("GET", "/again/", "", key); r.status != 200 || r.body != fmt.Sprint("answer ", i+1) {
			t.Errorf("request %d got %d %q", i+1, r.status, r.body)
		}
	}
}

func TestNodeOnRefusalsAndBrokenAnswers(t *testing.T) {
	for _, c := range []struct {
		name, path string
		answer     func(*sitetest.Replica) func(net.Conn, sitetest.Request)
		want       int
		sends      int
	}{
		{"refused once, goes elsewhere", "/once/", func(r *sitetest.Replica) func(net.Conn, sitetest.Request) { return r.Refuse("503 Service Unavailable") }, 200, 2},
		{"reset after a request that may not be repeated", "/once/", func(*sitetest.Replica) func(net.Conn, sitetest.Request) {
			return func(c net.Conn, _ sitetest.Request) { _ = c.Close() }
		}, 502, 1},
		{"reset after one that may", "/again/", func(*sitetest.Replica) func(net.Conn, sitetest.Request) {
			return func(c net.Conn, _ sitetest.Request) { _ = c.Close() }
		}, 200, 2},
		{"an answer that is cut", "/again/", func(r *sitetest.Replica) func(net.Conn, sitetest.Request) {
			return func(c net.Conn, q sitetest.Request) {
				_, _ = io.WriteString(c, r.ResponseHead(q, "200 OK", "Content-Length: 100")+"half")
				_ = c.Close()
			}
		}, 200, 2},
		{"bytes that are no answer", "/again/", func(*sitetest.Replica) func(net.Conn, sitetest.Request) {
			return func(c net.Conn, _ sitetest.Request) { _, _ = io.WriteString(c, "nonsense\r\n\r\n") }
		}, 200, 2},
		{"a success without a stamp", "/again/", func(*sitetest.Replica) func(net.Conn, sitetest.Request) {
			return func(c net.Conn, _ sitetest.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t)
			a, b := s.replica("a", "v1"), s.replica("b", "v1")
			s.start()
			var mu sync.Mutex
			first := true
			for _, r := range []*sitetest.Replica{a, b} {
				bad, good := c.answer(r), r.RespondOK("ok")
				r.Lock()
				r.Handler = func(x net.Conn, q sitetest.Request) {
					mu.Lock()
					f := first
					first = false
					mu.Unlock()
					if f {
						bad(x, q)
						return
					}
					good(x, q)
				}
				r.Unlock()
			}
			r := s.send("POST", c.path, "x", key)
			if n := len(a.Requests()) + len(b.Requests()); r.status != c.want || n != c.sends {
				t.Errorf("%d after %d sends, want %d after %d", r.status, n, c.want, c.sends)
			}
		})
	}
}

func TestNodeResumesStreams(t *testing.T) {
	s := newSite(t)
	a, b := s.replica("a", "v1"), s.replica("b", "v1")
	s.start()
	for _, r := range []*sitetest.Replica{a, b} {
		r.Lock()
		r.Handler = func(c net.Conn, q sitetest.Request) {
			if q.Header.Get("Last-Event-Id") == "2" {
				r.Stream(0, false, 3, 4)(c, q)
				return
			}
			r.Stream(0, true, 1, 2)(c, q)
		}
		r.Unlock()
	}
	r := s.send("POST", "/stream/", "x", key)
	want := ""
	for i := 1; i <= 4; i++ {
		want += fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
	}
	if r.status != 200 || r.body != want || r.err != nil {
		t.Errorf("%d %q %v, want %q", r.status, r.body, r.err, want)
	}
}

// A client that leaves ends its run.
func TestNodeCancelsForClientsThatLeave(t *testing.T) {
	s := newSite(t)
	a := s.replica("a", "v1")
	s.start()
	ended := make(chan struct{})
	a.Lock()
	a.Handler = func(c net.Conn, _ sitetest.Request) {
		_, _ = bufio.NewReader(c).ReadByte()
		close(ended)
	}
	a.Unlock()
	c, err := net.Dial("tcp", s.node.s.Listen)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET /again/ HTTP/1.1\r\nHost: h.example\r\n"+key+"\r\n"+sitetest.HeaderRequestID+": leaves\r\n"+sitetest.HeaderDeadline+": 60000\r\n\r\n")
	s.eventually("the replica has the request", func() bool { return len(a.Requests()) == 1 })
	_ = c.Close()
	select {
	case <-ended:
	case <-time.After(patience):
		t.Error("the replica still works for a client that left")
	}
	s.eventually("the log says why", func() bool { return strings.Contains(s.logs.String(), `stopped="the client left"`) })
}

func TestNodeStopsInOrder(t *testing.T) {
	s := newSite(t)
	a := s.replica("a", "v1")
	s.start()
	a.Lock()
	events, whole := a.Stream(300*time.Millisecond, false, 1, 2, 3, 4), a.RespondOK("ok")
	a.Handler = func(c net.Conn, q sitetest.Request) {
		if strings.HasPrefix(q.Target, "/stream/") {
			events(c, q)
			return
		}
		whole(c, q)
	}
	a.Unlock()
	got := make(chan reply, 1)
	go func() { got <- s.send("POST", "/stream/", "x", key) }()
	s.eventually("the stream runs", func() bool { return len(a.Requests()) == 1 })
	s.stop()
	s.eventually("it is not ready", func() bool { return s.readiness() != 200 })
	if r := s.send("GET", "/open/", ""); r.status != 200 || !r.closes {
		t.Errorf("a request while it stops: %d, closes %t", r.status, r.closes)
	}
	if r := <-got; r.err != nil || strings.Count(r.body, "event") != 4 {
		t.Errorf("the stream that ran: %q, %v", r.body, r.err)
	}
	if err := <-s.done; err != nil {
		t.Errorf("stopped with %v", err)
	}
}
