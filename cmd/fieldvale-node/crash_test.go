package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"fieldvale/adapter/settings"
	"fieldvale/platform/sitetest"
)

// crashingBody is the body of the requests that crash replicas.
const crashingBody = "bring it down"

const (
	// crashDelay is the time from the start of a crashing request to the replica's crash,
	// and replacementDelay from there to the start of another replica in its place.
	crashDelay       = 40 * time.Millisecond
	replacementDelay = 500 * time.Millisecond
	// reportBound is how soon after the third crash all instances must have received a
	// report: the time within which an instance counts as connected in the smallest
	// deployments.
	reportBound = 3 * time.Second
	// maxLateArrivals is how many crashing requests may reach replicas later than that,
	// and maxCrashes is how many replicas one request may crash if it is sent to one
	// instance after another.
	maxLateArrivals = 3
	maxCrashes      = 5
)

// crashLog records when replicas crashed, and when crashing requests arrived at replicas.
type crashLog struct {
	mu       sync.Mutex
	times    []time.Time
	arrivals []time.Time
}

// lateArrivals returns how many crashing requests arrived later than d after the third crash.
func (c *crashLog) lateArrivals(d time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, t := range c.arrivals {
		if len(c.times) >= 3 && t.After(c.times[2].Add(d)) {
			n++
		}
	}
	return n
}

// count returns how many replicas crashed.
func (c *crashLog) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.times)
}

// startCrashingReplica starts a replica that crashes when it runs the crashing request, and
// that is then replaced by another one of the same kind.
func (s *testEnv) startCrashingReplica(id string, c *crashLog) {
	r, err := sitetest.NewReplica(id)
	if err != nil {
		s.t.Error(err)
		return
	}
	s.t.Cleanup(r.Close)
	var once sync.Once
	r.Handler = func(conn net.Conn, q sitetest.Request) {
		if q.Body != crashingBody {
			time.Sleep(2 * time.Millisecond)
			r.RespondOK("ok")(conn, q)
			return
		}
		c.mu.Lock()
		c.arrivals = append(c.arrivals, time.Now())
		c.mu.Unlock()
		_, _ = io.WriteString(conn, r.ResponseHead(q, "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
		time.Sleep(crashDelay)
		once.Do(func() {
			c.mu.Lock()
			c.times = append(c.times, time.Now())
			c.mu.Unlock()
			r.Close()
			s.store.Remove("servers/" + id)
			time.AfterFunc(replacementDelay, func() {
				if s.t.Context().Err() == nil {
					s.startCrashingReplica(id+"x", c)
				}
			})
		})
	}
	s.store.PutReplica(r, "svc", "v1", sitetest.ReplicaReady)
}

// startFleet starts the instance of s and others, which share its store, until there are
// size instances that have received each other's announcements.
func (s *testEnv) startFleet(size int) []*testEnv {
	l := []*testEnv{s}
	s.start()
	for i := 1; i < size; i++ {
		o := &testEnv{t: s.t, store: s.store, logs: s.logs, done: make(chan error, 1)}
		o.startWith(func(n *settings.Node) { n.ID = fmt.Sprint("n", i+1) })
		l = append(l, o)
	}
	s.eventually("all instances have each other as members", func() bool {
		for _, o := range l {
			if len(o.node.placer.Members()) != size {
				return false
			}
		}
		return true
	})
	return l
}

// Guards against one request that crashes many replicas, each with up to 60 other requests
// in progress. In an incident such a request crashed 63 replicas in eight seconds: a replica
// crashed some 75 ms after it began to run the request, the instance retried it at two more
// replicas, which crashed too, and answered 502. The client then retried with another
// request id at any of seven instances. This happens if an instance forgets the crashes
// once it has answered, or does not report them to the other instances. The log lines of
// the failed attempts show the cause by the fingerprint of the request content, which is
// the same at all replicas that crashed.
func TestOneRequestCrashesFewReplicas(t *testing.T) {
	s := newTestEnv(t)
	c := &crashLog{}
	for i := range 12 {
		s.startCrashingReplica(fmt.Sprint("r", i), c)
	}
	l := s.startFleet(3)
	ctx, cancel := context.WithCancel(t.Context())
	var g sync.WaitGroup
	var refused []string
	var mu sync.Mutex
	for i := range 4 {
		g.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				body := fmt.Sprintf("innocent %d of %d", n, i)
				r := l[(i+n)%len(l)].send("POST", "/again/x", body, apiKeyHeader, sitetest.HeaderRequestID+": "+body)
				if r.status != 200 {
					mu.Lock()
					refused = append(refused, fmt.Sprint(r.status, " ", r.body))
					mu.Unlock()
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	for i := range 25 {
		o := l[rand.IntN(len(l))]
		r := o.send("POST", "/stream/x", crashingBody, apiKeyHeader, sitetest.HeaderRequestID+": "+fmt.Sprint("c", i))
		if r.status == 200 && r.err == nil {
			t.Fatalf("the crashing request was served, want a failure: %q", r.body)
		}
		time.Sleep(200 * time.Millisecond)
	}
	cancel()
	g.Wait()
	defer func() {
		if t.Failed() {
			t.Log(s.logs)
		}
	}()
	if n := c.count(); n > maxCrashes {
		t.Errorf("one request crashed %d replicas, want %d at most", n, maxCrashes)
	}
	if n := c.lateArrivals(reportBound); n > maxLateArrivals {
		t.Errorf("the request reached replicas %d times later than %s after the third crash, want %d at most", n, reportBound, maxLateArrivals)
	}
	for _, r := range refused {
		if strings.HasPrefix(r, "503") {
			t.Errorf("an innocent request was refused, want 200: %s", r)
		}
	}
}
