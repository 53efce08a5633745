package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"

	"fieldvale/adapter/logging"
	"fieldvale/adapter/settings"
	"fieldvale/adapter/socket"
	"fieldvale/platform/sitetest"
)

// site is a node before stand-ins of the platform's store and replicas.
type site struct {
	t        *testing.T
	store    *sitetest.Store
	replicas map[string]*sitetest.Replica
	node     *node
	stop     context.CancelFunc
	done     chan error
	logs     *syncBuffer
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// freePort returns an address that is kept for the node.
func freePort(t *testing.T) string {
	a, err := socket.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Release(a) })
	return a
}

func newSite(t *testing.T) *site {
	s := &site{t: t, store: sitetest.NewStore(), replicas: map[string]*sitetest.Replica{}, logs: &syncBuffer{}, done: make(chan error, 1)}
	t.Cleanup(s.store.Close)
	s.config(1, "k1", "k2")
	return s
}

// config writes a configuration with a route of each kind.
func (s *site) config(version int, keys ...string) {
	route := func(name, kind, service string, more map[string]any) map[string]any {
		m := map[string]any{"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 3000,
			"target_latency_ms": 500, "service": service, "max_attempts": 2, "priority": 1}
		for k, v := range more {
			m[k] = v
		}
		return m
	}
	s.store.Put("op/config", map[string]any{
		"version": version,
		"routes": []any{
			route("once", "non_idempotent", "svc", map[string]any{"max_attempts": 1}),
			route("again", "idempotent", "svc", nil),
			route("stream", "streaming", "svc", map[string]any{"stream_resume": true, "max_attempts": 3}),
			route("open", "idempotent", "svc", map[string]any{"public": true}),
		},
		"services": []any{map[string]any{"name": "svc", "max_conns": 10}},
		"limits":   map[string]any{"max_body_bytes": 2000},
		"tenants":  []any{map[string]any{"name": "acme", "api_keys": keys}},
	})
}

func (s *site) replica(id, version string) *sitetest.Replica {
	r, err := sitetest.NewReplica(id)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(r.Close)
	s.replicas[id] = r
	s.store.Put("servers/"+id, r.Entry("svc", version, "ready"))
	return r
}

// start runs the node until it says that it is ready.
func (s *site) start() { s.startWith(func(*settings.Node) {}) }

// startWith starts the node with its settings changed.
func (s *site) startWith(change func(*settings.Node)) {
	l, err := logging.New(s.logs, "info", log.Fields{})
	if err != nil {
		s.t.Fatal(err)
	}
	n := settings.Node{ID: "n1", DataCentre: "z", Listen: freePort(s.t), Ready: freePort(s.t), Metrics: freePort(s.t), Peers: freePort(s.t),
		Store: s.store.Addr(), Level: "info", StopWithin: 4 * time.Second, ApplyWithin: 2 * time.Second, MemoryMB: 200, HonourFor: 5 * time.Second, RepeatPart: 0.9, RepeatBurst: 54, AcceptConfidence: 50}
	change(&n)
	s.node = newNode(n, "", l)
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	go func() { s.done <- s.node.run(ctx, nil) }()
	s.t.Cleanup(s.stop)
	s.eventually("the node is ready", func() bool { return s.readiness() == http.StatusOK })
}

func (s *site) readiness() int {
	r, err := http.Get("http://" + s.node.s.Ready + "/-/readiness")
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

// patience bounds what must happen at some time; generous, as it costs
// nothing when it happens at once.
const patience = 20 * time.Second

func (s *site) eventually(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("not within %s: %s\n%s", patience, what, s.logs)
}

type reply struct {
	status int
	header http.Header
	body   string
	// closes says that the answer asked for another connection.
	closes bool
	err    error
}

// send sends one request with the head's lines added.
func (s *site) send(method, path, body string, head ...string) reply {
	q, err := http.NewRequest(method, "http://"+s.node.s.Listen+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	q.Host = "h.example"
	q.Header.Set("X-Fieldvale-Request-Attempt-Id", fmt.Sprint("id", time.Now().UnixNano()))
	q.Header.Set("X-Fieldvale-Deadline-Ms", "5000")
	for _, h := range head {
		k, v, _ := strings.Cut(h, ": ")
		if v == "" {
			q.Header.Del(k)
			continue
		}
		q.Header.Set(k, v)
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r, err := c.Do(q)
	if err != nil {
		return reply{err: err}
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return reply{status: r.StatusCode, header: r.Header, body: string(b), closes: r.Close, err: err}
}

const key = "X-Api-Key: k1"

func TestNodePassesRequestsOnUnchanged(t *testing.T) {
	s := newSite(t)
	a := s.replica("a", "v1")
	s.start()
	r := s.send("POST", "/once/x%20y?q=1&r", "body", key, "X-Fieldvale-Tenant: forged", "X-Fieldvale-Kv-Hold: 7", "X-Fieldvale-Expect-Replica: other", "X-Fieldvale-Pin-Ms: 5", "Kv-From: 1.2.3.4:5/6", "X-Other: kept")
	if r.status != 200 || r.body != "ok" || r.header.Get("X-Fieldvale-Replica-Stamp") != "a" {
		t.Fatalf("%+v", r)
	}
	l := a.Seen()
	if len(l) != 1 || l[0].Method != "POST" || l[0].Target != "/once/x%20y?q=1&r" || l[0].Body != "body" {
		t.Fatalf("the replica saw %+v", l)
	}
	h := l[0].Header
	for k, want := range map[string]string{
		"X-Api-Key": "", "X-Fieldvale-Tenant": "acme", "X-Fieldvale-Kv-Hold": "", "X-Fieldvale-Pin-Ms": "", "Kv-From": "",
		"X-Fieldvale-Expect-Replica": "a", "X-Other": "kept",
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
		{"an unknown key", "/once/", "", []string{"X-Api-Key: no"}, 401},
		{"no id", "/once/", "", []string{key, "X-Fieldvale-Request-Attempt-Id: "}, 400},
		{"a bad deadline", "/once/", "", []string{key, "X-Fieldvale-Deadline-Ms: soon"}, 400},
		{"a long body", "/once/", strings.Repeat("x", 3000), []string{key}, 413},
		{"a public route without a key", "/open/", "", nil, 200},
	} {
		if r := s.send("POST", c.path, c.body, c.head...); r.status != c.want {
			t.Errorf("%s: %d %q, want %d", c.name, r.status, r.body, c.want)
		}
	}
	if n := len(a.Seen()); n != 1 {
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
	a.Answer = func(c net.Conn, q sitetest.Seen) {
		n++
		a.Whole(fmt.Sprint("answer ", n))(c, q)
		if n == 1 {
			a.Whole("too many")(c, q)
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
		answer     func(*sitetest.Replica) func(net.Conn, sitetest.Seen)
		want       int
		sends      int
	}{
		{"refused once, goes elsewhere", "/once/", func(r *sitetest.Replica) func(net.Conn, sitetest.Seen) { return r.Refuse("503 Service Unavailable") }, 200, 2},
		{"reset after a request that may not be repeated", "/once/", func(*sitetest.Replica) func(net.Conn, sitetest.Seen) {
			return func(c net.Conn, _ sitetest.Seen) { _ = c.Close() }
		}, 502, 1},
		{"reset after one that may", "/again/", func(*sitetest.Replica) func(net.Conn, sitetest.Seen) {
			return func(c net.Conn, _ sitetest.Seen) { _ = c.Close() }
		}, 200, 2},
		{"an answer that is cut", "/again/", func(r *sitetest.Replica) func(net.Conn, sitetest.Seen) {
			return func(c net.Conn, q sitetest.Seen) {
				_, _ = io.WriteString(c, r.Head(q, "200 OK", "Content-Length: 100")+"half")
				_ = c.Close()
			}
		}, 200, 2},
		{"bytes that are no answer", "/again/", func(*sitetest.Replica) func(net.Conn, sitetest.Seen) {
			return func(c net.Conn, _ sitetest.Seen) { _, _ = io.WriteString(c, "nonsense\r\n\r\n") }
		}, 200, 2},
		{"a success without a stamp", "/again/", func(*sitetest.Replica) func(net.Conn, sitetest.Seen) {
			return func(c net.Conn, _ sitetest.Seen) {
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
				bad, good := c.answer(r), r.Whole("ok")
				r.Lock()
				r.Answer = func(x net.Conn, q sitetest.Seen) {
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
			if n := len(a.Seen()) + len(b.Seen()); r.status != c.want || n != c.sends {
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
		r.Answer = func(c net.Conn, q sitetest.Seen) {
			if q.Header.Get("Last-Event-Id") == "2" {
				r.Events(0, false, 3, 4)(c, q)
				return
			}
			r.Events(0, true, 1, 2)(c, q)
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
	a.Answer = func(c net.Conn, _ sitetest.Seen) {
		_, _ = bufio.NewReader(c).ReadByte()
		close(ended)
	}
	a.Unlock()
	c, err := net.Dial("tcp", s.node.s.Listen)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET /again/ HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: k1\r\nX-Fieldvale-Request-Attempt-Id: leaves\r\nX-Fieldvale-Deadline-Ms: 60000\r\n\r\n")
	s.eventually("the replica has the request", func() bool { return len(a.Seen()) == 1 })
	_ = c.Close()
	select {
	case <-ended:
	case <-time.After(patience):
		t.Error("the replica still works for a client that left")
	}
	s.eventually("the log says why", func() bool { return strings.Contains(s.logs.String(), `stopped="the client left"`) })
}

func TestNodeFollowsChanges(t *testing.T) {
	s := newSite(t)
	a := s.replica("a", "v1")
	s.start()
	status := func(k string) int { return s.send("POST", "/once/", "", "X-Api-Key: "+k).status }
	s.config(2, "k2")
	s.eventually("a key that was taken away is refused", func() bool { return status("k1") == 401 })
	s.store.Forget()
	s.config(3, "k1", "k2")
	s.eventually("a change after lost history is in force", func() bool { return status("k1") == 200 })
	s.config(2, "k2")
	b := s.replica("b", "v1")
	s.store.Put("servers/a", a.Entry("svc", "v1", "draining"))
	s.eventually("a draining replica gets nothing", func() bool {
		n := len(a.Seen())
		for range 6 {
			status("k2")
		}
		return len(a.Seen()) == n && len(b.Seen()) > 0
	})
	if g := status("k1"); g != 200 {
		t.Errorf("an older configuration was taken: %d", g)
	}
}

// An instance that can't confirm its configuration honours no key, says so
// truly, and is not ready; it is back with the store.
func TestNodeWithoutTheStore(t *testing.T) {
	s := newSite(t)
	s.replica("a", "v1")
	s.start()
	s.store.Lock()
	s.store.Refuse = 503
	s.store.Unlock()
	s.eventually("keys are not honoured", func() bool {
		r := s.send("POST", "/once/", "", key)
		return r.status == 503 && r.header.Get("Retry-After") != ""
	})
	if r := s.send("GET", "/open/", ""); r.status != 200 {
		t.Errorf("a request without a key: %d", r.status)
	}
	if g := s.readiness(); g != 503 {
		t.Errorf("readiness %d", g)
	}
	s.store.Lock()
	s.store.Refuse = 0
	s.store.Unlock()
	s.eventually("it is back", func() bool { return s.readiness() == 200 && s.send("POST", "/once/", "", key).status == 200 })
}

func TestNodeAnnouncesItselfAnew(t *testing.T) {
	s := newSite(t)
	s.replica("a", "v1")
	s.start()
	there := func() bool { return strings.Contains(s.store.Value("fieldvale/instance/n1"), s.node.s.Peers) }
	s.eventually("it is announced", there)
	s.store.LapseAll()
	s.eventually("it is announced again", there)
}

// At the first start of a fleet an instance finds itself on the list when it
// first reads the store, so that it knows whom to follow.
func TestNodeAnnouncesItselfFirst(t *testing.T) {
	s := newSite(t)
	s.replica("a", "v1")
	s.startWith(func(n *settings.Node) { n.FirstStart = true })
	if m := s.node.view.Get().Members; len(m) != 1 || m[0].ID != "n1" {
		t.Errorf("members %v after the first read, want n1", m)
	}
}

// An instance that is started again while its announcement stands renews it.
func TestNodeTakesItsEarlierAnnouncementOver(t *testing.T) {
	s := newSite(t)
	s.replica("i-1", "v1")
	s.start()
	s.eventually("announced", func() bool { return s.store.Value("fieldvale/instance/"+s.node.s.ID) != "" })
	s.stop()
	if err := <-s.done; err != nil {
		t.Fatal(err)
	}
	s.done <- nil
	leases, kept := s.store.Calls("/-/kv-lease"), s.store.Calls("/-/kv-keep/1")
	again := newNode(s.node.s, "", s.node.log)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- again.run(ctx, nil) }()
	s.eventually("renewed", func() bool { return s.store.Calls("/-/kv-keep/1") > kept })
	if n := s.store.Calls("/-/kv-lease") - leases; n != 0 {
		t.Errorf("%d leases were made, want none", n)
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestNodeStopsInOrder(t *testing.T) {
	s := newSite(t)
	a := s.replica("a", "v1")
	s.start()
	a.Lock()
	events, whole := a.Events(300*time.Millisecond, false, 1, 2, 3, 4), a.Whole("ok")
	a.Answer = func(c net.Conn, q sitetest.Seen) {
		if strings.HasPrefix(q.Target, "/stream/") {
			events(c, q)
			return
		}
		whole(c, q)
	}
	a.Unlock()
	got := make(chan reply, 1)
	go func() { got <- s.send("POST", "/stream/", "x", key) }()
	s.eventually("the stream runs", func() bool { return len(a.Seen()) == 1 })
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

func TestNodeTakesABadReleaseBack(t *testing.T) {
	s := newSite(t)
	s.replica("old", "v1")
	bad := s.replica("new", "v2")
	bad.Lock()
	bad.Answer = func(c net.Conn, q sitetest.Seen) {
		_, _ = io.WriteString(c, bad.Head(q, "500 Internal Server Error", "Content-Length: 0"))
	}
	bad.Unlock()
	s.start()
	s.store.Put("op/rollout/svc", map[string]any{"service": "svc", "target_version": "v2", "duration_s": 600})
	s.eventually("the operator reads that it runs", func() bool { return strings.Contains(s.store.Value("status/rollout/svc"), "in_progress") })
	// The finding is written until the store takes it.
	s.store.Lock()
	s.store.FailWrites = 3
	s.store.Unlock()
	s.eventually("the operator reads that it was rolled back", func() bool {
		for range 50 {
			s.send("GET", "/open/", "")
		}
		return strings.Contains(s.store.Value("status/rollout/svc"), "rolled_back")
	})
	n := len(bad.Seen())
	for range 200 {
		s.send("GET", "/open/", "")
	}
	if len(bad.Seen()) != n {
		t.Errorf("the bad release got %d requests after it was rolled back", len(bad.Seen())-n)
	}
}

func TestNodeCompletesAGoodRelease(t *testing.T) {
	s := newSite(t)
	s.replica("old", "v1")
	s.replica("new", "v2")
	s.start()
	s.store.Put("op/rollout/svc", map[string]any{"service": "svc", "target_version": "v2", "duration_s": 2})
	s.eventually("the operator reads that it is complete", func() bool {
		s.send("GET", "/open/", "")
		return strings.Contains(s.store.Value("status/rollout/svc"), "completed")
	})
}

func TestMain(m *testing.M) { os.Exit(m.Run()) }
