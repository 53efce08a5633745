package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"fieldvale/adapter/exchange"
	"fieldvale/platform/sitetest"
	"fieldvale/platform/soak"
)

// linkFault is what an instance's links to all replicas do.
type linkFault string

// The faults, as testdata/cutoff.jsonl names them.
const (
	linkUp linkFault = ""
	// linkHangs: new connections hang, and open ones carry nothing.
	linkHangs linkFault = "hang"
	// linkResets: new connections are refused, and open ones were reset.
	linkResets linkFault = "reset"
	// linkKeepsOpen: new connections are refused, and open ones live on.
	linkKeepsOpen linkFault = "keep_open"
	// linkLosesAnswers: new connections hang, and open ones carry nothing to the instance.
	linkLosesAnswers linkFault = "one_way"
)

// links are an instance's links to replicas: a proxy for each replica, and its fault.
type links struct {
	mu      sync.Mutex
	proxies map[string]*soak.Proxy
	// spared is the address of a replica that keeps its link; empty for none.
	spared string
	fault  linkFault
}

// dial connects to the replica by its proxy.
func (l *links) dial(ctx context.Context, addr string) (net.Conn, error) {
	l.mu.Lock()
	p, ok := l.proxies[addr]
	if !ok {
		var err error
		if p, err = soak.NewProxy(addr); err != nil {
			l.mu.Unlock()
			return nil, err
		}
		l.proxies[addr] = p
	}
	f := l.fault
	if addr == l.spared {
		f = linkUp
	}
	l.mu.Unlock()
	switch f {
	case linkHangs, linkLosesAnswers:
		x, cancel := context.WithTimeout(ctx, exchange.DialTimeout)
		defer cancel()
		<-x.Done()
		return nil, os.ErrDeadlineExceeded
	case linkResets, linkKeepsOpen:
		return nil, syscall.ECONNREFUSED
	}
	return exchange.DialDirect(ctx, p.Addr())
}

// set brings the fault about at all replicas but the spared one.
func (l *links) set(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	for a, p := range l.proxies {
		if a == l.spared {
			continue
		}
		p.Stall(f == linkHangs, f == linkHangs || f == linkLosesAnswers)
		if f == linkResets {
			p.Reset()
		}
	}
}

// cutLinks makes the instance connect to replicas by links that can be cut. It must be called before
// the instance sends a request.
func (s *testEnv) cutLinks() *links {
	l := &links{proxies: map[string]*soak.Proxy{}}
	s.node.dialDirect = l.dial
	s.t.Cleanup(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, p := range l.proxies {
			p.Close()
		}
	})
	return l
}

// contactDelay is the time after the beginning of a cut from which first tries count.
const contactDelay = 3 * time.Second

// firstTryRequests is how many first tries are sent to an instance, firstTryInterval the time between.
const (
	firstTryRequests = 60
	firstTryInterval = 25 * time.Millisecond
)

// firstTries sends requests of each kind to the instance and returns how many of them are served.
func (s *testEnv) firstTries() int {
	var mu sync.Mutex
	var g sync.WaitGroup
	served := 0
	for i := range firstTryRequests {
		path := []string{"/once/", "/again/", "/stream/"}[i%3]
		g.Go(func() {
			r := s.send("POST", path, "x", apiKeyHeader, sitetest.HeaderDeadline+": 1500")
			mu.Lock()
			defer mu.Unlock()
			if r.err == nil && r.status == 200 {
				served++
			}
		})
		time.Sleep(firstTryInterval)
	}
	g.Wait()
	return served
}

// startStreamingReplicas starts replicas that answer /stream/ with a stream.
func (s *testEnv) startStreamingReplicas(n int) {
	for i := range n {
		r := s.startReplica(fmt.Sprint("r", i), "v1")
		r.Handler = func(k net.Conn, q sitetest.Request) {
			if q.Target == "/stream/" {
				r.Stream(2*time.Millisecond, false, 1, 2, 3)(k, q)
				return
			}
			r.RespondOK("ok")(k, q)
		}
	}
}

// cutCase is a line of testdata/cutoff.jsonl.
type cutCase struct {
	Name string
	// Size is the number of instances, Cut how many of them lose their links to replicas.
	Size, Cut int
	Fault     linkFault
	// Spare keeps the links to one of three replicas.
	Spare bool
	// NeverReached cuts the instances before their first request.
	NeverReached bool
}

// readCutCases reads the scripted cuts.
func readCutCases(t *testing.T) []cutCase {
	f, err := os.Open("testdata/cutoff.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var l []cutCase
	for b := bufio.NewScanner(f); b.Scan(); {
		var c cutCase
		if err := json.Unmarshal(b.Bytes(), &c); err != nil {
			t.Fatal(err)
		}
		l = append(l, c)
	}
	return l
}

// Guards against instances that fail the requests of their clients because their own links to the
// replicas are cut, while other instances reach the replicas.
func TestCutOffInstanceServesFirstTries(t *testing.T) {
	for _, c := range readCutCases(t) {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			s := newTestEnv(t)
			s.startStreamingReplicas(3)
			l := s.startFleet(c.Size)
			cut := make([]*links, c.Cut)
			for i := range cut {
				cut[i] = l[i].cutLinks()
				if c.Spare {
					cut[i].spared = s.replicas["r0"].Addr()
				}
				if !c.NeverReached {
					l[i].firstTries()
				}
				cut[i].set(c.Fault)
			}
			time.Sleep(contactDelay)
			served := make([]int, c.Size)
			var g sync.WaitGroup
			for i := range l {
				g.Go(func() { served[i] = l[i].firstTries() })
			}
			g.Wait()
			others := served[c.Size-1]
			for i := range cut {
				if 3*served[i] < 2*others {
					t.Errorf("instance %d, cut off from the replicas: %d of %d first tries served, %d at an instance that is not; want two thirds as many", i, served[i], firstTryRequests, others)
				}
				cut[i].set(linkUp)
			}
			for _, o := range l[:c.Cut] {
				o.eventually("connections are direct again", func() bool {
					o.send("POST", "/again/", "x", apiKeyHeader)
					return o.node.links.Status().Indirect == 0
				})
			}
			if others < firstTryRequests*9/10 {
				t.Errorf("an instance with its links: %d of %d first tries served, want nine in ten", others, firstTryRequests)
			}
		})
	}
}

// cutSeeds is the number of seeds of TestCutsInSeries, cutRounds the number of cuts of each.
var (
	cutSeeds  = flag.Int("cuts.seeds", 1, "seeds of TestCutsInSeries")
	cutSeed   = flag.Uint64("cuts.seed", 1, "first seed of TestCutsInSeries")
	cutRounds = flag.Int("cuts.rounds", 3, "cuts in series of each seed")
)

// Guards against links that heal and break again before an instance has noticed, and against requests
// that run twice on their way through another instance.
func TestCutsInSeries(t *testing.T) {
	for i := range *cutSeeds {
		t.Run(fmt.Sprint("seed ", *cutSeed+uint64(i)), func(t *testing.T) {
			s := newTestEnv(t)
			s.startStreamingReplicas(4)
			l := s.startFleet(5)
			var k []*links
			for _, o := range l {
				k = append(k, o.cutLinks())
			}
			r := rand.New(rand.NewPCG(*cutSeed+uint64(i), 57))
			for range *cutRounds {
				s.runCut(r, l, k)
			}
			s.checkRunsOnce()
		})
	}
}

// runCut cuts some of the instances from the replicas and compares their first tries with those of the
// others. Some cuts begin while an earlier one has just healed.
func (s *testEnv) runCut(r *rand.Rand, l []*testEnv, k []*links) {
	n := 1 + r.IntN(len(l)-1)
	order := r.Perm(len(l))
	fault := []linkFault{linkHangs, linkResets, linkKeepsOpen, linkLosesAnswers}[r.IntN(4)]
	for _, i := range order[:n] {
		k[i].set(fault)
	}
	time.Sleep(contactDelay)
	served := make([]int, len(l))
	var g sync.WaitGroup
	for i := range l {
		g.Go(func() { served[i] = l[i].firstTries() })
	}
	g.Wait()
	cut, others := 0, 0
	for j, i := range order {
		if j < n {
			cut += served[i]
			k[i].set(linkUp)
			continue
		}
		others += served[i]
	}
	sentCut, sentOthers := n*firstTryRequests, (len(l)-n)*firstTryRequests
	failed := sentCut - cut
	s.t.Logf("%d of %d instances cut (%s): %d of %d first tries served, %d of %d at the others", n, len(l), fault, cut, sentCut, others, sentOthers)
	if 3*cut*sentOthers < 2*others*sentCut && failed > 10+(sentCut+sentOthers)/50 {
		s.t.Errorf("%d of %d instances cut (%s): %d of %d first tries served, %d of %d at the others, want two thirds as many\n%s", n, len(l), fault, cut, sentCut, others, sentOthers, s.logs)
	}
	time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
}

// checkRunsOnce checks that no request that may run once has reached two replicas.
func (s *testEnv) checkRunsOnce() {
	runs := map[string]int{}
	for _, x := range s.replicas {
		for _, q := range x.Requests() {
			if q.Target == "/once/" {
				runs[q.Header.Get(sitetest.HeaderRequestID)]++
			}
		}
	}
	for id, n := range runs {
		if n > 1 {
			s.t.Errorf("request %s ran %d times, want once", id, n)
		}
	}
}
