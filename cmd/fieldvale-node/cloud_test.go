package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"fieldvale/adapter/settings"
	"fieldvale/platform/sitetest"
)

// platformCalls stands in for the platform's calls that one instance at a time may make.
type platformCalls struct {
	*httptest.Server
	mu sync.Mutex
	// reports are the distinct bodies by window, holders the names by token.
	reports map[int64]map[string]bool
	holders map[int64]map[string]bool
	highest int64
	// lose is how many of the next answers are lost.
	lose int
}

func newPlatformCalls(t *testing.T) *platformCalls {
	p := &platformCalls{reports: map[int64]map[string]bool{}, holders: map[int64]map[string]bool{}}
	p.Server = httptest.NewServer(http.HandlerFunc(p.serve))
	t.Cleanup(p.Close)
	return p
}

func (p *platformCalls) serve(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	var u struct {
		Window int64          `json:"window"`
		Counts map[string]int `json:"counts"`
	}
	_ = json.Unmarshal(b, &u)
	fence, _ := strconv.ParseInt(r.Header.Get(sitetest.HeaderFencingToken), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holders[fence] == nil {
		p.holders[fence] = map[string]bool{}
	}
	p.holders[fence][r.Header.Get(sitetest.HeaderDutyHolder)] = true
	if fence < p.highest {
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.highest = fence
	if r.URL.Path == sitetest.PathUsage {
		if p.reports[u.Window] == nil {
			p.reports[u.Window] = map[string]bool{}
		}
		p.reports[u.Window][string(b)] = true
	}
	if p.lose > 0 {
		p.lose--
		panic(http.ErrAbortHandler)
	}
}

// sum is what was reported for the customer in all windows.
func (p *platformCalls) sum(customer string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, l := range p.reports {
		for b := range l {
			var u struct {
				Counts map[string]int `json:"counts"`
			}
			_ = json.Unmarshal([]byte(b), &u)
			n += u.Counts[customer]
		}
	}
	return n
}

// Each request that began to run is reported once, by one instance at a time, though
// answers are lost and the holder of the duty ends in the middle.
func TestUsageIsReportedOnce(t *testing.T) {
	s := newSite(t)
	s.replica("a", "v1")
	p := newPlatformCalls(t)
	change := func(n *settings.Node) {
		n.Cloud, n.ReportsUsage = p.Listener.Addr().String(), true
		n.UsageWindow, n.UsageLate = time.Second, 8*time.Second
	}
	l := []*site{s}
	for i, id := range []string{"n1", "n2", "n3"} {
		o := s
		if i > 0 {
			o = &site{t: t, store: s.store, logs: s.logs, done: make(chan error, 1)}
			l = append(l, o)
		}
		o.startWith(func(n *settings.Node) { n.ID = id; change(n) })
	}
	s.eventually("somebody holds the duty", func() bool { _, ok := s.node.cloud.tenure.Holder(); return ok })
	p.mu.Lock()
	p.lose = 2
	p.mu.Unlock()
	const requests = 30
	for i := range requests {
		if r := l[i%3].send("POST", "/again/x", "x", key, sitetest.HeaderRequestID+": "+strconv.Itoa(i)); r.status != 200 {
			t.Fatalf("request %d: %d %s", i, r.status, r.body)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(countsEvery * dutyEvery * 2)
	h, _ := s.node.cloud.tenure.Holder()
	for _, o := range l {
		if o.node.s.ID == h.ID {
			o.stop()
			<-o.done
			o.done <- nil
		}
	}
	s.eventually("all are reported", func() bool { return p.sum("acme") >= requests })
	time.Sleep(2 * time.Second)
	if n := p.sum("acme"); n != requests {
		t.Errorf("%d requests were reported, want %d", n, requests)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for w, l := range p.reports {
		if len(l) > 1 {
			t.Errorf("window %d was reported in %d ways: %v", w, len(l), l)
		}
	}
	for f, l := range p.holders {
		if len(l) > 1 {
			t.Errorf("token %d was used by %v", f, l)
		}
	}
}
