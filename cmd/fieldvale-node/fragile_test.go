package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"fieldvale/platform/sitetest"
	"fieldvale/standin/arrivals"
)

// fragileRoom is how many requests a fragile replica takes at a time, fragileLimit how many it may have
// to reject in a second.
const (
	fragileRoom  = 2
	fragileLimit = 4
)

// startFragileReplica starts a replica that rejects what it has no room for, and returns the log of its
// rejections.
func (s *testEnv) startFragileReplica(id string) *arrivals.Log {
	a := &arrivals.Log{}
	r := s.startReplica(id, "v1")
	r.SetRejectionLimit(fmt.Sprint(fragileLimit))
	var mu sync.Mutex
	present := 0
	r.Handler = func(c net.Conn, q sitetest.Request) {
		mu.Lock()
		isFull := present >= fragileRoom
		if !isFull {
			present++
		}
		mu.Unlock()
		if isFull {
			a.Add(time.Now())
			r.Refuse("503 Service Unavailable")(c, q)
			return
		}
		time.Sleep(40 * time.Millisecond)
		r.RespondOK("ok")(c, q)
		mu.Lock()
		defer mu.Unlock()
		present--
	}
	return a
}

// Guards against a fleet that crashes replicas by making them reject more requests in a second than they
// say that they bear.
func TestFleetSparesFragileReplicas(t *testing.T) {
	s := newTestEnv(t)
	var logs []*arrivals.Log
	for i := range 2 {
		logs = append(logs, s.startFragileReplica(fmt.Sprint("r", i)))
	}
	l := s.startFleet(3)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var g sync.WaitGroup
	for i := range 12 {
		g.Go(func() {
			for ctx.Err() == nil {
				l[i%len(l)].send("POST", "/again/", "x", apiKeyHeader)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(contactDelay)
	from := time.Now()
	time.Sleep(4 * time.Second)
	cancel()
	g.Wait()
	for i, a := range logs {
		most := 0
		for t := from; t.Before(from.Add(3 * time.Second)); t = t.Add(10 * time.Millisecond) {
			most = max(most, len(a.Between(t, t.Add(time.Second))))
		}
		if most > fragileLimit {
			t.Errorf("replica r%d rejected %d requests in a second, want at most %d\n%s", i, most, fragileLimit, s.logs)
		}
	}
}
