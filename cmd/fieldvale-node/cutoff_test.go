package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
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
	dialed int
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
	l.dialed++
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

func (l *links) dials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialed
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

// cutCase is a line of testdata/cutoff.jsonl.
type cutCase struct {
	Name string
	// Size is the number of instances, Cut how many of them lose their links to replicas.
	Size, Cut int
	Fault     linkFault
	// Spare keeps the links to one of three replicas.
	Spare bool
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
			for i := range 3 {
				r := s.startReplica(fmt.Sprint("r", i), "v1")
				r.Handler = func(k net.Conn, q sitetest.Request) {
					if q.Target == "/stream/" {
						r.Stream(2*time.Millisecond, false, 1, 2, 3)(k, q)
						return
					}
					r.RespondOK("ok")(k, q)
				}
			}
			l := s.startFleet(c.Size)
			cut := make([]*links, c.Cut)
			for i := range cut {
				cut[i] = l[i].cutLinks()
				if c.Spare {
					cut[i].spared = s.replicas["r0"].Addr()
				}
				l[i].firstTries()
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
			if others < firstTryRequests*9/10 {
				t.Errorf("an instance with its links: %d of %d first tries served, want nine in ten", others, firstTryRequests)
			}
		})
	}
}
