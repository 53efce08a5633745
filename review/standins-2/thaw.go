package main

import (
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"time"
)

// The case's times: a machine stands still for freezeTime, and a replica that crashes meanwhile is back after
// crashTime.
const (
	freezeTime = 3500 * time.Millisecond
	crashTime  = 2 * time.Second
)

// playThaw: a machine stands still, and a replica whose answers end with their connection crashes and is back at its
// address before the machine goes on. ORDER: a stream that ends as complete must have its last piece. Only streams of
// that machine count: others may meet the fault of the case of the crashes.
func playThaw(e *env) (bool, error) {
	if err := e.startStreams(); err != nil {
		return false, err
	}
	frozen := e.nodes[0]
	disrupt := func() error {
		if !e.trouble {
			return nil
		}
		crashing := e.busiestReplica(frozen)
		frozen.signal(syscall.SIGSTOP)
		e.say("%s stands still", frozen.id)
		thawAt := time.Now().Add(freezeTime)
		defer func() {
			time.Sleep(time.Until(thawAt))
			frozen.signal(syscall.SIGCONT)
			e.say("%s goes on", frozen.id)
		}()
		time.Sleep(500 * time.Millisecond)
		crashing.kill()
		e.say("replica %s has crashed", crashing.ID)
		time.Sleep(crashTime)
		if _, err := e.startReplica(crashing.service, crashing.zone, crashing.behaviour); err != nil {
			return err
		}
		e.say("replica %s is back at %s", crashing.ID, crashing.addr)
		return nil
	}
	return e.playStreams(frozen.id, 14*time.Second, 6*time.Second, disrupt)
}

// machineZones are the zones of the sheet's seven machines, replicaZones those of a third of its 18 replicas.
var (
	machineZones = []string{"leith-hall", "leith-hall", "leith-hall", "gyle-hall", "gyle-hall", "livingston-hall", "livingston-hall"}
	replicaZones = []string{"leith-hall", "leith-hall", "gyle-hall", "gyle-hall", "livingston-hall", "livingston-hall"}
)

// startStreams starts the machines, and replicas whose streams have neither a length nor chunks.
func (e *env) startStreams() error {
	var err error
	if e.store, err = newStore(); err != nil {
		return err
	}
	e.store.put("op/config", streamConfig())
	for i, z := range replicaZones {
		// The address stays free while the replica is down.
		a, err := freeAddr()
		if err != nil {
			return err
		}
		b := behaviour{ID: fmt.Sprintf("i-7f3a91c%d", i), Addr: a, Events: streamEvents, Interval: streamInterval, First: streamFirst, Work: 30, Unframed: true}
		if _, err := e.startReplica("fieldvale-pool", z, b); err != nil {
			return err
		}
	}
	for i, z := range machineZones {
		if _, err := e.addNode(fmt.Sprintf("edge-%s-%d", z, i+1), z); err != nil {
			return err
		}
	}
	if err := e.startAll(); err != nil {
		return err
	}
	e.say("%d machines are ready", len(e.nodes))
	return nil
}

// busiestReplica returns the replica that has run most of the machine's requests.
func (e *env) busiestReplica(n *node) *replica {
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	count := map[string]int{}
	for id, machine := range e.sentTo {
		if machine == n.id {
			count[e.runs[id]]++
		}
	}
	best := e.replicas[0]
	for _, r := range e.replicas {
		if count[r.ID] > count[best.ID] {
			best = r
		}
	}
	return best
}

// playStreams sends streams to all machines for the given time, disrupts the system some time after their begin, and
// checks the streams of one machine, or of all.
func (e *env) playStreams(machine string, length, after time.Duration, disrupt func() error) (bool, error) {
	var mu sync.Mutex
	var results []streamResult
	var g sync.WaitGroup
	stop := time.Now().Add(length)
	disrupted := make(chan error, 1)
	go func() {
		time.Sleep(after)
		disrupted <- disrupt()
	}()
	for i := 0; time.Now().Before(stop); i++ {
		id := fmt.Sprintf("%016x", rand.Uint64())
		n := e.nodes[i%len(e.nodes)]
		g.Go(func() {
			e.note("client: sends %s to %s", id, n.id)
			e.markSent(id, n)
			s := openStream(n, id, i%3 == 2)
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
	if err := <-disrupted; err != nil {
		return false, err
	}
	return e.checkStreams(results, machine), nil
}
