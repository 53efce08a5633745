package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// The case's streams: as long as the sheet's term-lookup, of 70 events.
const (
	streamEvents   = 70
	streamInterval = 80
	streamFirst    = 300
	streamDeadline = 25 * time.Second
	routeHost      = "ficu95.example"
	apiKey         = "n2ctnfzs989anu6wsjnb"
	streamsASecond = 12
)

// streamConfig is a configuration with one route for streams that may be resumed and one for plain requests.
func streamConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "term-lookup", "host": routeHost, "path_prefix": "/stream/", "kind": "streaming", "timeout_ms": 25000, "target_latency_ms": 4000,
				"gap_target_ms": 1000, "stream_resume": true, "service": "fieldvale-pool", "max_attempts": 3, "priority": 2, "sticky": true},
			map[string]any{"name": "concordance", "host": routeHost, "path_prefix": "/plain/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 150,
				"service": "fieldvale-pool", "max_attempts": 3, "priority": 1},
		},
		"services": []any{map[string]any{"name": "fieldvale-pool", "max_conns": 360}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}}},
	}
}

// streamResult is what a client got of one stream.
type streamResult struct {
	id, machine string
	status      int
	events      []int
	// complete is set if the answer ended as a whole one.
	complete bool
	err      error
}

// openStream sends one request for a stream and reads its answer to the end.
func openStream(n *node, id string) streamResult {
	s := streamResult{id: id, machine: n.id}
	h := http.Client{Timeout: streamDeadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	q, err := http.NewRequest(http.MethodPost, "http://"+n.front+"/stream/2f", strings.NewReader("prompt of "+id))
	if err != nil {
		s.err = err
		return s
	}
	q.Host = routeHost
	q.Header.Set(headerID, id)
	q.Header.Set("X-Fieldvale-Deadline-Ms", fmt.Sprint(streamDeadline.Milliseconds()))
	q.Header.Set("X-Api-Key", apiKey)
	r, err := h.Do(q)
	if err != nil {
		s.err = err
		return s
	}
	defer r.Body.Close()
	s.status = r.StatusCode
	b := bufio.NewReader(r.Body)
	for {
		l, err := b.ReadString('\n')
		n := 0
		if _, e := fmt.Sscanf(l, "id: %d\n", &n); e == nil {
			s.events = append(s.events, n)
		}
		if err != nil {
			if s.complete = err == io.EOF && l == ""; !s.complete {
				s.err = err
			}
			return s
		}
	}
}

// playLeave: a replica whose answers end with their connection leaves as planned, and ends while streams that it had
// begun before are under way. ORDER: a stream that ends as complete must have its last piece. With CRASH=1 it is
// killed at the same moment without having said that it leaves.
func playLeave(e *env) (bool, error) {
	var err error
	if e.store, err = newStore(); err != nil {
		return false, err
	}
	e.store.put("op/config", streamConfig())
	zones := []string{"leith-hall", "gyle-hall", "livingston-hall"}
	for i, z := range zones {
		b := behaviour{ID: fmt.Sprintf("i-7f3a91c%d", i), Events: streamEvents, Interval: streamInterval, First: streamFirst, Work: 30, Unframed: true}
		if _, err := e.startReplica("fieldvale-pool", z, b); err != nil {
			return false, err
		}
		if _, err := e.addNode("edge-"+z+"-1", z); err != nil {
			return false, err
		}
	}
	if err := e.startAll(); err != nil {
		return false, err
	}
	e.say("three machines are ready")
	var mu sync.Mutex
	var results []streamResult
	var g sync.WaitGroup
	stop := time.Now().Add(14 * time.Second)
	leaveAt := time.Now().Add(6 * time.Second)
	left := make(chan struct{})
	go func() {
		defer close(left)
		time.Sleep(time.Until(leaveAt))
		if !e.trouble {
			return
		}
		r := e.replicas[0]
		if os.Getenv("CRASH") == "1" {
			r.kill()
			e.say("replica %s was killed", r.ID)
			return
		}
		r.leave(e.store)
		e.say("replica %s says draining and Server-Leaving", r.ID)
		// drain_ms, and a little longer.
		time.Sleep(3500 * time.Millisecond)
		r.end(e.store)
		e.say("replica %s has ended", r.ID)
	}()
	for i := 0; time.Now().Before(stop); i++ {
		id := fmt.Sprintf("%016x", rand.Uint64())
		n := e.nodes[i%len(e.nodes)]
		g.Go(func() {
			e.note("client: sends %s to %s", id, n.id)
			s := openStream(n, id)
			last := 0
			if len(s.events) > 0 {
				last = s.events[len(s.events)-1]
			}
			e.note("client: %s from %s: status %d, %d events, last id %d, complete %t, error %v", id, n.id, s.status, len(s.events), last, s.complete, s.err)
			mu.Lock()
			results = append(results, s)
			mu.Unlock()
		})
		time.Sleep(time.Second / streamsASecond)
	}
	g.Wait()
	<-left
	return e.checkStreams(results), nil
}

// checkStreams reports whether a stream broke the rule ORDER.
func (e *env) checkStreams(l []streamResult) (broken bool) {
	whole, cut, short, wrong := 0, 0, 0, 0
	for _, s := range l {
		inOrder := true
		for i, n := range s.events {
			inOrder = inOrder && n == i+1
		}
		switch {
		case !inOrder:
			wrong++
			e.say("ORDER: %s at %s: pieces %v", s.id, s.machine, s.events)
		case s.complete && s.status == http.StatusOK && len(s.events) < streamEvents:
			short++
			e.say("ORDER: %s at %s ended as complete after %d of %d pieces", s.id, s.machine, len(s.events), streamEvents)
		case s.complete && s.status == http.StatusOK:
			whole++
		default:
			cut++
		}
	}
	e.say("%d streams: %d whole, %d broken off or refused, %d ended as complete before their last piece, %d with pieces missing or twice", len(l), whole, cut, short, wrong)
	return short+wrong > 0
}
