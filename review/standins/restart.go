package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	recoverySpan = 12 * time.Second
	// judgedSpan is how long requests are judged after recoverySpan.
	judgedSpan = 20 * time.Second
	// staleBy is the age of an answer to a read with allow_stale at the new machine.
	staleBy = 3 * time.Second
	// lost is the machine that is removed for good, added the one that comes at another address.
	lost, added = "edge-gyle-hall-1", "edge-leith-hall-4"
)

// playRestart removes a machine for good and adds another one, as when a machine is replaced. Soon after the
// new one has joined, a change of the configuration is acknowledged, all processes are killed, and start
// again. The rule RECOVER asks that a quarter of the requests is served from recovery_s on.
func playRestart(e *env) (broken bool, err error) {
	s := newKV()
	configure(s, 3)
	var replicas []*replica
	for _, z := range []string{"leith-hall", "gyle-hall", "livingston-hall"} {
		r, err := startReplica(s, "i-"+z, "memory-api", z)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	var mu sync.Mutex
	var l []*machine
	add := func(id, zone string, stale time.Duration) (*machine, error) {
		v, err := s.listen(func() time.Duration { return stale })
		if err != nil {
			return nil, err
		}
		m, err := newMachine(e.dir, e.program, id, zone, v)
		if err == nil {
			mu.Lock()
			l = append(l, m)
			mu.Unlock()
		}
		return m, err
	}
	machines := func() []*machine {
		mu.Lock()
		defer mu.Unlock()
		return append([]*machine(nil), l...)
	}
	defer func() {
		for _, m := range machines() {
			m.kill()
		}
	}()
	for _, x := range []struct {
		zone  string
		count int
	}{{"leith-hall", 3}, {"gyle-hall", 2}, {"livingston-hall", 2}} {
		for i := range x.count {
			if _, err := add(fmt.Sprintf("edge-%s-%d", x.zone, i+1), x.zone, 0); err != nil {
				return false, err
			}
		}
	}
	for _, m := range machines() {
		if err := m.start(true); err != nil {
			return false, err
		}
	}
	isReady := func() bool {
		for _, m := range machines() {
			if !m.isReady() || !s.Has("fieldvale/instance/"+m.id) {
				return false
			}
		}
		return true
	}
	if !eventually(20*time.Second, isReady) {
		return false, fmt.Errorf("the machines were not ready within 20 s of their first start")
	}
	e.printf("seven machines are ready and registered")
	c := &client{machines: machines}
	go c.checkReadiness()
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() { c.run(20, stop); close(stopped) }()
	time.Sleep(4 * time.Second)
	final, back := time.Now(), time.Now()
	if e.trouble {
		disrupt := replaceAndKillAll
		if os.Getenv("FRESH") == "1" {
			disrupt = killAllAndReplace
		}
		if final, back, err = disrupt(e, s, machines, add); err != nil {
			return false, err
		}
	}
	from := back.Add(recoverySpan)
	time.Sleep(time.Until(from.Add(judgedSpan)))
	close(stop)
	<-stopped
	c.writeTo(e)
	for _, r := range replicas {
		e.printf("replica %s: ran %d requests", r.id, r.count())
	}
	for _, m := range machines() {
		e.printf("%s: runs %t, ready %t, ended by itself %d times", m.id, m.runs(), m.isReady(), m.ownEnds)
	}
	sent, served, _ := c.servedShare(e.start, final)
	e.printf("before the final fault: %d requests sent, %d served", sent, served)
	if 4*served < sent || sent == 0 {
		return false, fmt.Errorf("under a quarter was served before the final fault")
	}
	sent, served, example := c.servedShare(from, from.Add(judgedSpan))
	e.printf("from %s after the machines were back, for %s: %d requests sent, %d served; the last answer to one that was not: %s", recoverySpan, judgedSpan, sent, served, example)
	return 4*served < sent, nil
}

// replaceAndKillAll brings the disruptions. It returns when the final fault struck, and when all machines were
// back.
func replaceAndKillAll(e *env, s *kv, machines func() []*machine, add func(id, zone string, stale time.Duration) (*machine, error)) (final, back time.Time, err error) {
	for _, m := range machines() {
		if m.id == lost {
			m.kill()
		}
	}
	e.printf("%s is removed for good", lost)
	time.Sleep(time.Second)
	x, err := add(added, "leith-hall", staleBy)
	if err != nil {
		return final, back, err
	}
	if err := x.start(false); err != nil {
		return final, back, err
	}
	e.printf("%s is added at another address", added)
	if !eventually(10*time.Second, func() bool { return x.isReady() && s.Has("fieldvale/instance/"+added) }) {
		return final, back, fmt.Errorf("the new machine did not join within 10 s")
	}
	e.printf("%s is ready and has registered", added)
	configure(s, 5)
	final = time.Now()
	e.printf("a change of the configuration is acknowledged, and all processes are killed")
	for _, m := range machines() {
		m.kill()
	}
	time.Sleep(500 * time.Millisecond)
	if err := x.start(false); err != nil {
		return final, back, err
	}
	time.Sleep(200 * time.Millisecond)
	for _, m := range machines() {
		if m != x && m.id != lost {
			if err := m.start(false); err != nil {
				return final, back, err
			}
		}
	}
	back = time.Now()
	e.printf("all processes but that on %s are started again", lost)
	return final, back, nil
}

// darkSpan is how long the machines are without power in killAllAndReplace.
const darkSpan = 3200 * time.Millisecond

// killAllAndReplace is another order of the same events, without stale answers of the store: all machines lose
// power right after a change was acknowledged, one of them for good, and the new machine starts at once.
func killAllAndReplace(e *env, s *kv, machines func() []*machine, add func(id, zone string, stale time.Duration) (*machine, error)) (final, back time.Time, err error) {
	configure(s, 5)
	final = time.Now()
	e.printf("a change of the configuration is acknowledged, and all machines lose power, %s for good", lost)
	for _, m := range machines() {
		m.kill()
	}
	x, err := add(added, "leith-hall", 0)
	if err != nil {
		return final, back, err
	}
	if err := x.start(false); err != nil {
		return final, back, err
	}
	e.printf("%s is added at another address", added)
	time.Sleep(time.Until(final.Add(darkSpan)))
	e.printf("%s has registered: %t", added, s.Has("fieldvale/instance/"+added))
	for _, m := range machines() {
		if m != x && m.id != lost {
			if err := m.start(false); err != nil {
				return final, back, err
			}
		}
	}
	back = time.Now()
	e.printf("all machines but %s have power again", lost)
	return final, back, nil
}

// configure writes a version of the configuration.
func configure(s *kv, version int) {
	s.Put("op/config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "concordance", "host": routeHost, "path_prefix": "/cufi504/", "kind": "idempotent", "timeout_ms": 800,
			"target_latency_ms": 150, "service": "memory-api", "max_attempts": 2, "priority": 2,
		}},
		"services": []any{map[string]any{"name": "memory-api", "max_conns": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}}},
	})
}
