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

// site is a node before stand-ins of the platform's store and replicas.
type site struct {
	t        *testing.T
	store    *sitetest.Store
	replicas map[string]*sitetest.Replica
	node     *node
	stop     context.CancelFunc
	done     chan error
	logs     *syncBuffer
	// suspended is for how long the machine was suspended, in nanoseconds.
	suspended atomic.Int64
}

// clock is the machine's, which s.suspended moves on.
func (s *site) clock() *clock.Clock {
	start := time.Now()
	boot := func() time.Duration { return time.Since(start) + time.Duration(s.suspended.Load()) }
	return clock.NewFrom(start, clock.Sources{
		Read: func() clock.Reading { return clock.Reading{Steady: time.Since(start), Wall: boot()} },
		Boot: func() (time.Duration, error) { return boot(), nil },
	})
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

// freePeersPort returns an address that is kept for the node's connections, and was
// free for datagrams a moment ago.
func freePeersPort(t *testing.T) string {
	for {
		a := freePort(t)
		d, err := datagram.Listen(a)
		if err != nil {
			continue
		}
		x, cancel := context.WithCancel(t.Context())
		cancel()
		if err := d.Serve(x, nil); err != nil {
			t.Fatal(err)
		}
		return a
	}
}

func newSite(t *testing.T) *site {
	s := &site{t: t, store: sitetest.NewStore(), replicas: map[string]*sitetest.Replica{}, logs: &syncBuffer{}, done: make(chan error, 1)}
	t.Cleanup(s.store.Close)
	s.store.PutConfig(1, "k1", "k2")
	return s
}

func (s *site) replica(id, version string) *sitetest.Replica {
	r, err := sitetest.NewReplica(id)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(r.Close)
	s.replicas[id] = r
	s.store.PutReplica(r, "svc", version, sitetest.ReplicaReady)
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
	n := settings.Node{ID: "n1", DataCentre: "z", Listen: freePort(s.t), Ready: freePort(s.t), Metrics: freePort(s.t), Peers: freePeersPort(s.t),
		Store: s.store.Addr(), Level: "info", StopWithin: 4 * time.Second, ApplyWithin: 2 * time.Second, MemoryMB: 200, HonourFor: 5 * time.Second, RepeatPart: 0.9, RepeatBurst: 54, AcceptConfidence: 50}
	change(&n)
	s.node = newNodeBy(s.clock(), n, "", l)
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	go func() { s.done <- s.node.run(ctx, nil) }()
	s.t.Cleanup(s.stop)
	s.eventually("the node is ready", func() bool {
		select {
		case err := <-s.done:
			s.t.Fatalf("the node ended: %v", err)
		default:
		}
		return s.readiness() == http.StatusOK
	})
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
	q.Header.Set(sitetest.HeaderRequestID, fmt.Sprint("id", time.Now().UnixNano()))
	q.Header.Set(sitetest.HeaderDeadline, "5000")
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

const key = sitetest.HeaderAPIKey + ": k1"
