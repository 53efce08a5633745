package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Names of the platform's headers.
const (
	headerID     = "X-Fieldvale-Request-Attempt-Id"
	headerStamp  = "X-Fieldvale-Replica-Stamp"
	headerExpect = "X-Fieldvale-Expect-Replica"
	headerNotRun = "X-Fieldvale-Not-Executed"
)

// replica is a stand-in of a plain service's replica. It answers each request after a few milliseconds.
type replica struct {
	id, service, zone string
	addr              string
	seq               atomic.Int64
	mu                sync.Mutex
	runs              int
}

// heartbeat is the interval at which a replica writes its entry.
const heartbeat = 1200 * time.Millisecond

func startReplica(s *kv, id, service, zone string) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, zone: zone, addr: l.Addr().String()}
	go http.Serve(l, r)
	r.announce(s)
	go func() {
		for range time.Tick(heartbeat) {
			r.announce(s)
		}
	}()
	return r, nil
}

func (r *replica) announce(s *kv) {
	s.Put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 6,
		"state": "ready", "cold_left_ms": 0, "seq": r.seq.Add(1),
	})
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if x := q.Header.Get(headerExpect); x != "" && x != r.id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.runs++
	r.mu.Unlock()
	time.Sleep(15 * time.Millisecond)
	w.Header().Set(headerID, q.Header.Get(headerID))
	w.Header().Set(headerStamp, r.id)
	fmt.Fprintf(w, "answer of %s", r.id)
}

func (r *replica) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs
}
