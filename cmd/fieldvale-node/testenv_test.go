package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"

	"fieldvale/adapter/datagram"
	"fieldvale/adapter/logging"
	"fieldvale/adapter/settings"
	"fieldvale/adapter/socket"
	"fieldvale/clock"
	"fieldvale/platform/sitetest"
)

// testEnv is a node with fakes of the platform's store and replicas.
type testEnv struct {
	t        *testing.T
	store    *sitetest.Store
	replicas map[string]*sitetest.Replica
	node     *node
	stop     context.CancelFunc
	done     chan error
	logs     *syncBuffer
	// suspendedNanos is for how long the machine was suspended.
	suspendedNanos atomic.Int64
}

// suspendableClock returns a clock of a machine that seems to have been suspended for
// s.suspendedNanos.
func (s *testEnv) suspendableClock() *clock.Clock {
	start := time.Now()
	boot := func() time.Duration { return time.Since(start) + time.Duration(s.suspendedNanos.Load()) }
	return clock.NewFrom(start, clock.Sources{
		Read: func() clock.Reading { return clock.Reading{Monotonic: time.Since(start), Wall: boot()} },
		Boot: func() (time.Duration, error) { return boot(), nil },
	})
}

// syncBuffer is a buffer that is safe for concurrent use.
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

// reservePort returns an address that is reserved for the node.
func reservePort(t *testing.T) string {
	a, err := socket.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Release(a) })
	return a
}

// reservePeersPort returns an address that is reserved for the node's TCP connections, and
// that was free for datagrams when it was checked.
func reservePeersPort(t *testing.T) string {
	for {
		a := reservePort(t)
		d, err := datagram.Listen(a)
		if err != nil {
			continue
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := d.Serve(ctx, nil); err != nil {
			t.Fatal(err)
		}
		return a
	}
}

// newTestEnv returns an environment with a started store that holds a configuration with the
// keys k1 and k2.
func newTestEnv(t *testing.T) *testEnv {
	s := &testEnv{t: t, store: sitetest.NewStore(), replicas: map[string]*sitetest.Replica{}, logs: &syncBuffer{}, done: make(chan error, 1)}
	t.Cleanup(s.store.Close)
	s.store.PutConfig(1, "k1", "k2")
	return s
}

// startReplica starts a replica of the service svc and lists it in the store as ready.
func (s *testEnv) startReplica(id, version string) *sitetest.Replica {
	r, err := sitetest.NewReplica(id)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(r.Close)
	s.replicas[id] = r
	s.store.PutReplica(r, "svc", version, sitetest.ReplicaReady)
	return r
}

// start starts the node and waits until it is ready.
func (s *testEnv) start() { s.startWith(func(*settings.Node) {}) }

// startWith starts the node with changed settings and waits until it is ready.
func (s *testEnv) startWith(change func(*settings.Node)) {
	l, err := logging.New(s.logs, "info", log.Fields{})
	if err != nil {
		s.t.Fatal(err)
	}
	n := settings.Node{ID: "n1", DataCentre: "z", Listen: reservePort(s.t), ReadyListen: reservePort(s.t), MetricsListen: reservePort(s.t), PeersListen: reservePeersPort(s.t),
		StoreAddr: s.store.Addr(), Level: "info", StopTimeout: 4 * time.Second, MaxApplyDelay: 2 * time.Second, MemoryMB: 200, RevokedKeyTTL: 5 * time.Second, RetryFraction: 0.9, RetryBurst: 54, AcceptConfidence: 50}
	change(&n)
	s.node = newNodeWithClock(s.suspendableClock(), n, "", l)
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	go func() { s.done <- s.node.run(ctx, nil) }()
	s.t.Cleanup(s.stop)
	s.eventually("the node is ready", func() bool {
		select {
		case err := <-s.done:
			s.t.Fatalf("node.run returned before the node was ready: %v", err)
		default:
		}
		return s.readiness() == http.StatusOK
	})
}

// startWithRetries starts the node as the only instance of a fleet that starts for the first time, and
// waits until it has its share of the retries. A process that follows an earlier one has none at first.
func (s *testEnv) startWithRetries() {
	s.store.Put("fieldvale/fleet-size", 1)
	s.startWith(func(n *settings.Node) { n.FirstStart = true })
	s.eventually("the node has its share of the retries", func() bool { return s.node.relay.FleetSize() == 1 })
}

// readiness returns the status of the node's readiness check; 0 if it can't be reached.
func (s *testEnv) readiness() int {
	r, err := http.Get("http://" + s.node.settings.ReadyListen + "/-/readiness")
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

// eventuallyTimeout bounds the wait for a condition. It is long, since a test that passes
// does not wait for it to end.
const eventuallyTimeout = 20 * time.Second

// eventually waits until ok returns true, or fails the test.
func (s *testEnv) eventually(condition string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("condition not met within %s: %s\n%s", eventuallyTimeout, condition, s.logs)
}

// response is the answer to a request, or the error of the attempt to get one.
type response struct {
	status int
	header http.Header
	body   string
	// closesConnection reports whether the response asked to close the connection.
	closesConnection bool
	err              error
}

// send sends one request with the header lines added; a line with an empty value removes
// the header.
func (s *testEnv) send(method, path, body string, headerLines ...string) response {
	q, err := http.NewRequest(method, "http://"+s.node.settings.Listen+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	q.Host = "h.example"
	q.Header.Set(sitetest.HeaderRequestID, fmt.Sprint("id", time.Now().UnixNano()))
	q.Header.Set(sitetest.HeaderDeadline, "5000")
	for _, h := range headerLines {
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
		return response{err: err}
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return response{status: r.StatusCode, header: r.Header, body: string(b), closesConnection: r.Close, err: err}
}

// apiKeyHeader is the header line with a valid API key.
const apiKeyHeader = sitetest.HeaderAPIKey + ": k1"
