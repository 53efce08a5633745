package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The streams: two of three are as long as the sheet's term-lookup, of 70 events, the others as its batch-suggest. A
// third of the sheet's 18 replicas gets a third of its 106 requests a second.
const (
	streamEvents   = 70
	streamInterval = 80
	streamFirst    = 300
	streamDeadline = 25 * time.Second
	longPath       = "/stream/long"
	routeHost      = "ficu95.example"
	apiKey         = "n2ctnfzs989anu6wsjnb"
	streamsASecond = 36
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
	// want is the number of pieces of the whole stream.
	want   int
	status int
	events []int
	// complete is set if the answer ended as a whole one.
	complete bool
	err      error
}

// openStream sends one request for a stream and reads its answer to the end.
func openStream(n *node, id string, short bool) streamResult {
	s := streamResult{id: id, machine: n.id, want: streamEvents}
	path := longPath
	if short {
		s.want, path = shortEvents, shortPath
	}
	h := http.Client{Timeout: streamDeadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	q, err := http.NewRequest(http.MethodPost, "http://"+n.front+path+"/2f", strings.NewReader("prompt of "+id))
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

// A release replaces three of the six replicas, one each second. A replica that leaves serves on for drain_ms and a
// little longer.
const (
	replaced     = 3
	replaceEvery = time.Second
	servesOn     = 3500 * time.Millisecond
)

// playLeave: replicas whose answers end with their connection are replaced one after the other, and end while streams
// that they had begun before are under way. ORDER: a stream that ends as complete must have its last piece.
func playLeave(e *env) (bool, error) {
	if err := e.startStreams(); err != nil {
		return false, err
	}
	return e.playStreams("", 14*time.Second, 6*time.Second, func() error {
		if !e.trouble {
			return nil
		}
		var g sync.WaitGroup
		defer g.Wait()
		for i, r := range e.replicas[:replaced] {
			b := r.behaviour
			b.ID, b.Addr = fmt.Sprintf("i-90aa31e%d", i), ""
			if _, err := e.startReplica(r.service, r.zone, b); err != nil {
				return err
			}
			g.Go(func() {
				r.leave(e.store)
				e.say("replica %s says draining and Server-Leaving", r.ID)
				time.Sleep(servesOn)
				r.end(e.store)
				e.say("replica %s has ended", r.ID)
			})
			time.Sleep(replaceEvery)
		}
		return nil
	})
}

// checkStreams reports whether a stream broke the rule ORDER, at the given machine or, if that is empty, at any.
func (e *env) checkStreams(l []streamResult, machine string) (broken bool) {
	whole, cut, short, wrong := 0, 0, 0, 0
	for _, s := range l {
		inOrder := true
		for i, n := range s.events {
			inOrder = inOrder && n == i+1
		}
		isBroken := false
		switch {
		case !inOrder:
			wrong++
			isBroken = true
			e.say("ORDER: %s at %s: pieces %v", s.id, s.machine, s.events)
		case s.complete && s.status == http.StatusOK && len(s.events) < s.want:
			short++
			isBroken = true
			e.say("ORDER: %s at %s ended as complete after %d of %d pieces", s.id, s.machine, len(s.events), s.want)
		case s.complete && s.status == http.StatusOK:
			whole++
		default:
			cut++
		}
		broken = broken || isBroken && (machine == "" || s.machine == machine)
	}
	e.say("%d streams: %d whole, %d broken off or refused, %d ended as complete before their last piece, %d with pieces missing or twice", len(l), whole, cut, short, wrong)
	return broken
}
