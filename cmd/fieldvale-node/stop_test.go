package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fieldvale/platform/sitetest"
)

// stopRequest is a request round a planned stop. Its times count from the beginning of the stop, which stops to accept
// connections after 2 s and ends after 3.3 s.
type stopRequest struct {
	name, route string
	// beginAt is when the connection is opened and the begin of the request is sent, restAt when the rest is: all but the
	// first line if headInParts is set, else the body.
	beginAt, restAt time.Duration
	headInParts     bool
	// deadline is the client's, from the end of the head on.
	deadline time.Duration
	// runs is for how long a replica works on the request.
	runs time.Duration
	// wantRefused is set if the request must get status 503 and reach no replica, wantOK if it must be served.
	wantRefused, wantOK bool
}

// do sends the request on a connection of its own. It returns the status of a whole answer and when it was received.
func (q stopRequest) do(addr, target string, stopAt time.Time) (status int, at time.Time, err error) {
	time.Sleep(time.Until(stopAt.Add(q.beginAt)))
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, at, err
	}
	defer c.Close()
	line := "POST " + target + " HTTP/1.1\r\n"
	begin := line + fmt.Sprintf("Host: h.example\r\n%s\r\n%s: %s\r\n%s: %d\r\nContent-Length: 1\r\n\r\n",
		apiKeyHeader, sitetest.HeaderRequestID, strings.Trim(target, "/"), sitetest.HeaderDeadline, q.deadline.Milliseconds())
	rest := "x"
	if q.headInParts {
		begin, rest = line, begin[len(line):]+rest
	}
	for _, p := range []struct {
		at   time.Duration
		text string
	}{{q.beginAt, begin}, {q.restAt, rest}} {
		time.Sleep(time.Until(stopAt.Add(p.at)))
		if _, err := io.WriteString(c, p.text); err != nil {
			return 0, at, err
		}
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, at, err
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return a.StatusCode, time.Now(), err
}

// stopRequests are the requests round one planned stop. The timeout of their routes is 3 s.
var stopRequests = []stopRequest{
	{name: "head read late, may run once", route: "once", beginAt: 1500 * ms, restAt: 2500 * ms, headInParts: true, deadline: 5000 * ms, runs: 2000 * ms, wantRefused: true},
	{name: "head read late, may be repeated", route: "again", beginAt: 1500 * ms, restAt: 2500 * ms, headInParts: true, deadline: 5000 * ms, runs: 2000 * ms, wantRefused: true},
	{name: "head read late, a stream", route: "stream", beginAt: 1500 * ms, restAt: 2500 * ms, headInParts: true, deadline: 5000 * ms, runs: 2000 * ms, wantRefused: true},
	{name: "head read late, no key", route: "open", beginAt: 1500 * ms, restAt: 2500 * ms, headInParts: true, deadline: 5000 * ms, runs: 2000 * ms, wantRefused: true},
	{name: "body read late, may run once", route: "once", beginAt: 1100 * ms, restAt: 2700 * ms, deadline: 5000 * ms, runs: 2000 * ms, wantRefused: true},
	{name: "body read late, may be repeated", route: "again", beginAt: 1100 * ms, restAt: 2700 * ms, deadline: 5000 * ms, runs: 2000 * ms, wantRefused: true},
	{name: "head read late, ends in time", route: "once", beginAt: 1500 * ms, restAt: 2300 * ms, headInParts: true, deadline: 600 * ms, runs: 100 * ms, wantOK: true},
	{name: "read early, ends in time", route: "once", beginAt: 1000 * ms, restAt: 1000 * ms, deadline: 5000 * ms, runs: 1500 * ms, wantOK: true},
	{name: "runs at the end, may run once", route: "once", beginAt: 1000 * ms, restAt: 1000 * ms, deadline: 5000 * ms, runs: 5000 * ms},
	{name: "runs at the end, may be repeated", route: "again", beginAt: 1000 * ms, restAt: 1000 * ms, deadline: 5000 * ms, runs: 5000 * ms},
	{name: "runs at the end, a stream without an event", route: "stream", beginAt: 1000 * ms, restAt: 1000 * ms, deadline: 5000 * ms, runs: 5000 * ms},
}

const ms = time.Millisecond

// startStopReplicas starts replicas that work on the requests for as long as these say.
func (s *testEnv) startStopReplicas() {
	for _, id := range []string{"r1", "r2", "r3"} {
		r := s.startReplica(id, "v1")
		r.Handler = func(c net.Conn, q sitetest.Request) {
			n, err := strconv.Atoi(q.Target[strings.LastIndex(q.Target, "/")+1:])
			if err != nil {
				return
			}
			time.Sleep(stopRequests[n].runs)
			if stopRequests[n].route == "stream" {
				r.Stream(0, false, 1)(c, q)
				return
			}
			r.RespondOK("ok")(c, q)
		}
	}
}

// Guards against requests that are read late in the time for a planned stop, passed on, and cut without an answer at its
// end; against an answer "not run" to one that has reached a replica; and against refusals of what can still be served.
func TestPlannedStopCutsNoRequestWithoutAnswer(t *testing.T) {
	s := newTestEnv(t)
	s.startStopReplicas()
	s.start()
	s.stop()
	stopAt := time.Now()
	// The process ends, and with it its connections, when run returns.
	var endedAt time.Time
	var g sync.WaitGroup
	g.Go(func() {
		if err := <-s.done; err != nil {
			t.Errorf("node.run: got %v, want nil", err)
		}
		endedAt = time.Now()
	})
	answers := make([]struct {
		status int
		at     time.Time
		err    error
	}, len(stopRequests))
	target := func(n int) string { return fmt.Sprintf("/%s/%d", stopRequests[n].route, n) }
	for n, q := range stopRequests {
		g.Go(func() {
			a := &answers[n]
			a.status, a.at, a.err = q.do(s.node.settings.Listen, target(n), stopAt)
		})
	}
	g.Wait()
	if took := endedAt.Sub(stopAt); took > s.node.settings.StopTimeout {
		t.Errorf("the stop took %s, want at most %s", took, s.node.settings.StopTimeout)
	}
	for n, q := range stopRequests {
		a, isPassedOn := answers[n], s.received(target(n))
		switch {
		case a.err != nil || a.at.After(endedAt):
			t.Errorf("%s: got no whole answer before the end, passed on %t, error %v", q.name, isPassedOn, a.err)
		case a.status == http.StatusServiceUnavailable && isPassedOn:
			t.Errorf("%s: got status 503, want another one: it has reached a replica", q.name)
		case q.wantRefused && (a.status != http.StatusServiceUnavailable || isPassedOn):
			t.Errorf("%s: got status %d, passed on %t, want 503 and not passed on", q.name, a.status, isPassedOn)
		case q.wantOK && a.status != http.StatusOK:
			t.Errorf("%s: got status %d, want 200", q.name, a.status)
		}
	}
}

// Guards against an idle connection through a stopping instance that is kept for as long as requests of its own clients
// run: another instance may send a request on it, which is cut at the end.
func TestStoppingInstanceClosesIdleTunnelsBesideRequests(t *testing.T) {
	s := newTestEnv(t)
	r := s.startReplica("r1", "v1")
	r.Handler = func(c net.Conn, q sitetest.Request) {
		time.Sleep(5 * time.Second)
		r.RespondOK("ok")(c, q)
	}
	s.start()
	c, err := net.Dial("tcp", s.node.settings.PeersListen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "CONNECT %s HTTP/1.1\r\nHost: %[1]s\r\n\r\n", r.Addr()); err != nil {
		t.Fatal(err)
	}
	b := bufio.NewReader(c)
	if a, err := http.ReadResponse(b, &http.Request{Method: http.MethodConnect}); err != nil || a.StatusCode != http.StatusOK {
		t.Fatalf("got answer %v and error %v, want status 200", a, err)
	}
	s.stop()
	stopAt := time.Now()
	go func() { s.send("POST", "/once/x", "x", apiKeyHeader) }()
	_, err = b.ReadByte()
	if took := time.Since(stopAt); err == nil || took > 2500*ms {
		t.Errorf("got error %v after %s, want the end of the connection soon after 2 s", err, took)
	}
	if err := <-s.done; err != nil {
		t.Errorf("node.run: got %v, want nil", err)
	}
}

// received reports whether a replica has received a request with the target.
func (s *testEnv) received(target string) bool {
	for _, r := range s.replicas {
		for _, q := range r.Requests() {
			if q.Target == target {
				return true
			}
		}
	}
	return false
}
