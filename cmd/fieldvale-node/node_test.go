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

// Guards against requests that reach a replica altered, with the client's API key, or with
// headers of the platform that the client has forged.
func TestNodeForwardsRequests(t *testing.T) {
	s := newTestEnv(t)
	a := s.startReplica("a", "v1")
	s.start()
	r := s.send("POST", "/once/x%20y?q=1&r", "body", apiKeyHeader, sitetest.HeaderTenant+": forged", sitetest.HeaderKvHold+": 7", sitetest.HeaderExpectReplica+": other", sitetest.HeaderPin+": 5", sitetest.HeaderKvFrom+": 1.2.3.4:5/6", "X-Other: kept")
	if r.status != 200 || r.body != "ok" || r.header.Get(sitetest.HeaderReplicaStamp) != "a" {
		t.Fatalf("got %+v, want status 200, body ok and replica stamp a", r)
	}
	l := a.Requests()
	if len(l) != 1 || l[0].Method != "POST" || l[0].Target != "/once/x%20y?q=1&r" || l[0].Body != "body" {
		t.Fatalf("the replica received %+v, want one POST to /once/x%%20y?q=1&r with the body unchanged", l)
	}
	h := l[0].Header
	for k, want := range map[string]string{
		sitetest.HeaderAPIKey: "", sitetest.HeaderTenant: "acme", sitetest.HeaderKvHold: "", sitetest.HeaderPin: "", sitetest.HeaderKvFrom: "",
		sitetest.HeaderExpectReplica: "a", "X-Other": "kept",
	} {
		if g := h.Get(k); g != want {
			t.Errorf("header %s: got %q, want %q", k, g, want)
		}
	}
}

// Guards against invalid or unauthorized requests that reach a replica.
func TestNodeRejectsInvalidRequests(t *testing.T) {
	s := newTestEnv(t)
	s.store.PutConfigWithLimits(2, map[string]any{"max_body_bytes": 2000, "max_header_bytes": 16 << 10}, 10, "k1", "k2")
	a := s.startReplica("a", "v1")
	s.start()
	for _, c := range []struct {
		name, path, body string
		head             []string
		want             int
	}{
		{"no route", "/none/", "", []string{apiKeyHeader}, 404},
		{"no key", "/once/", "", nil, 401},
		{"an unknown key", "/once/", "", []string{sitetest.HeaderAPIKey + ": no"}, 401},
		{"no id", "/once/", "", []string{apiKeyHeader, sitetest.HeaderRequestID + ": "}, 400},
		{"an invalid deadline", "/once/", "", []string{apiKeyHeader, sitetest.HeaderDeadline + ": soon"}, 400},
		{"a body that is too large", "/once/", strings.Repeat("x", 3000), []string{apiKeyHeader}, 413},
		{"a header that is too large", "/once/", "", []string{apiKeyHeader, "X-Long: " + strings.Repeat("x", 17_000)}, 431},
		{"a header within the limit", "/open/", "", []string{"X-Long: " + strings.Repeat("x", 15_000)}, 200},
		{"a public route without a key", "/open/", "", nil, 200},
	} {
		if r := s.send("POST", c.path, c.body, c.head...); r.status != c.want {
			t.Errorf("%s: got status %d %q, want %d", c.name, r.status, r.body, c.want)
		}
	}
	if n := len(a.Requests()); n != 2 {
		t.Errorf("%d requests reached the replica, want 2", n)
	}
}

// Guards against answering a request with the response to another one: a faulty replica
// sends two responses to the first request on a connection, and the second of them must not
// be taken for the response to the next request.
func TestNodeDiscardsSurplusResponses(t *testing.T) {
	s := newTestEnv(t)
	a := s.startReplica("a", "v1")
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
		if r := s.send("GET", "/again/", "", apiKeyHeader); r.status != 200 || r.body != fmt.Sprint("answer ", i+1) {
			t.Errorf("request %d: got %d %q, want 200 and the answer of this number", i+1, r.status, r.body)
		}
	}
}

// Guards against running a request twice that must run at most once, and against failing a
// request that can be retried: the first attempt fails in different ways.
func TestNodeRetriesOnlySafeRequests(t *testing.T) {
	for _, c := range []struct {
		name, path string
		answer     func(*sitetest.Replica) func(net.Conn, sitetest.Request)
		want       int
		sends      int
	}{
		{"refused by one replica", "/once/", func(r *sitetest.Replica) func(net.Conn, sitetest.Request) { return r.Refuse("503 Service Unavailable") }, 200, 2},
		{"reset after a non-idempotent request", "/once/", func(*sitetest.Replica) func(net.Conn, sitetest.Request) {
			return func(c net.Conn, _ sitetest.Request) { _ = c.Close() }
		}, 502, 1},
		{"reset after an idempotent request", "/again/", func(*sitetest.Replica) func(net.Conn, sitetest.Request) {
			return func(c net.Conn, _ sitetest.Request) { _ = c.Close() }
		}, 200, 2},
		{"truncated response", "/again/", func(r *sitetest.Replica) func(net.Conn, sitetest.Request) {
			return func(c net.Conn, q sitetest.Request) {
				_, _ = io.WriteString(c, r.ResponseHead(q, "200 OK", "Content-Length: 100")+"half")
				_ = c.Close()
			}
		}, 200, 2},
		{"malformed response", "/again/", func(*sitetest.Replica) func(net.Conn, sitetest.Request) {
			return func(c net.Conn, _ sitetest.Request) { _, _ = io.WriteString(c, "nonsense\r\n\r\n") }
		}, 200, 2},
		{"success without a replica stamp", "/again/", func(*sitetest.Replica) func(net.Conn, sitetest.Request) {
			return func(c net.Conn, _ sitetest.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestEnv(t)
			a, b := s.startReplica("a", "v1"), s.startReplica("b", "v1")
			s.startWithRetries()
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
			r := s.send("POST", c.path, "x", apiKeyHeader)
			if n := len(a.Requests()) + len(b.Requests()); r.status != c.want || n != c.sends {
				t.Errorf("got status %d after %d attempts, want %d after %d", r.status, n, c.want, c.sends)
			}
		})
	}
}

// Guards against a stream that ends or repeats events when its replica disconnects: both
// replicas cut the stream after event 2, and the node must resume it after that event.
func TestNodeResumesStreams(t *testing.T) {
	s := newTestEnv(t)
	a, b := s.startReplica("a", "v1"), s.startReplica("b", "v1")
	s.startWithRetries()
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
	r := s.send("POST", "/stream/", "x", apiKeyHeader)
	want := ""
	for i := 1; i <= 4; i++ {
		want += fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
	}
	if r.status != 200 || r.body != want || r.err != nil {
		t.Errorf("got %d %q %v, want 200 %q without an error", r.status, r.body, r.err, want)
	}
}

// Guards against a replica that goes on with a request whose client has disconnected.
func TestNodeCancelsWhenClientDisconnects(t *testing.T) {
	s := newTestEnv(t)
	a := s.startReplica("a", "v1")
	s.start()
	ended := make(chan struct{})
	a.Lock()
	a.Handler = func(c net.Conn, _ sitetest.Request) {
		_, _ = bufio.NewReader(c).ReadByte()
		close(ended)
	}
	a.Unlock()
	c, err := net.Dial("tcp", s.node.settings.Listen)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET /again/ HTTP/1.1\r\nHost: h.example\r\n"+apiKeyHeader+"\r\n"+sitetest.HeaderRequestID+": leaves\r\n"+sitetest.HeaderDeadline+": 60000\r\n\r\n")
	s.eventually("the replica has received the request", func() bool { return len(a.Requests()) == 1 })
	_ = c.Close()
	select {
	case <-ended:
	case <-time.After(eventuallyTimeout):
		t.Error("the replica's connection is still open, want it closed after the client's disconnect")
	}
	s.eventually("the reason is logged", func() bool { return strings.Contains(s.logs.String(), `stopped="the client left"`) })
}

// Guards against requests that fail because an instance is stopped: until the platform has
// noticed that it is not ready, the node must serve new requests and ask their clients to
// reconnect, and a stream in progress must be completed.
func TestNodeShutsDownGracefully(t *testing.T) {
	s := newTestEnv(t)
	a := s.startReplica("a", "v1")
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
	got := make(chan response, 1)
	go func() { got <- s.send("POST", "/stream/", "x", apiKeyHeader) }()
	s.eventually("the stream is in progress", func() bool { return len(a.Requests()) == 1 })
	s.stop()
	s.eventually("the node is not ready", func() bool { return s.readiness() != 200 })
	if r := s.send("GET", "/open/", ""); r.status != 200 || !r.closesConnection {
		t.Errorf("a request during shutdown: got status %d, connection closed %t, want 200 and true", r.status, r.closesConnection)
	}
	if r := <-got; r.err != nil || strings.Count(r.body, "event") != 4 {
		t.Errorf("the stream in progress: got %q, %v, want 4 events without an error", r.body, r.err)
	}
	if err := <-s.done; err != nil {
		t.Errorf("node.run: got %v, want nil", err)
	}
}
