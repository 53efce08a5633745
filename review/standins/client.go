package main

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// client sends idempotent requests as the platform's clients do: over new connections to ready machines,
// with one retry.
type client struct {
	machines func() []*machine
	mu       sync.Mutex
	ready    map[*machine]bool
	sent     []sentRequest
	next     int
}

// sentRequest is one request with the final answer that the client got.
type sentRequest struct {
	at     time.Time
	id     string
	served bool
	result string
}

const (
	deadline  = 1500 * time.Millisecond
	apiKey    = "n2ctnfzs989anu6wsjnb"
	routeHost = "ficu95.example"
	routePath = "/cufi504/fi50/2f"
)

// checkReadiness asks all machines each second, like the platform.
func (c *client) checkReadiness() {
	for {
		r := map[*machine]bool{}
		for _, m := range c.machines() {
			if m.isReady() {
				r[m] = true
			}
		}
		c.mu.Lock()
		c.ready = r
		c.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// choose returns a ready machine; while under half are ready, any that has power.
func (c *client) choose(not *machine) *machine {
	all := c.machines()
	c.mu.Lock()
	defer c.mu.Unlock()
	var l []*machine
	for _, m := range all {
		if c.ready[m] && m != not {
			l = append(l, m)
		}
	}
	if 2*len(l) < len(all) {
		l = nil
		for _, m := range all {
			if m != not {
				l = append(l, m)
			}
		}
	}
	if len(l) == 0 {
		return nil
	}
	return l[rand.Intn(len(l))]
}

// run sends so many requests a second until stop is closed.
func (c *client) run(perSecond int, stop <-chan struct{}) {
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	var w sync.WaitGroup
	defer w.Wait()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			w.Add(1)
			go func() { defer w.Done(); c.request() }()
		}
	}
}

func (c *client) request() {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("%016x", c.next)
	c.mu.Unlock()
	s := sentRequest{at: time.Now(), id: id}
	var last *machine
	for try := range 2 {
		m := c.choose(last)
		if m == nil {
			s.result = "no machine"
			break
		}
		var wait time.Duration
		s.served, s.result, wait = attempt(m, id+"-"+strconv.Itoa(try), s.at.Add(deadline))
		if s.served {
			break
		}
		last = m
		left := time.Until(s.at.Add(deadline))
		time.Sleep(min(wait, max(0, left/3)))
	}
	c.mu.Lock()
	c.sent = append(c.sent, s)
	c.mu.Unlock()
}

// attempt is one attempt at a machine.
func attempt(m *machine, id string, until time.Time) (served bool, result string, wait time.Duration) {
	left := time.Until(until)
	if left <= 0 {
		return false, "no time left", 0
	}
	h := http.Client{Timeout: left, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	q, err := http.NewRequest(http.MethodGet, "http://"+m.front+routePath, nil)
	if err != nil {
		return false, err.Error(), 0
	}
	q.Host = routeHost
	q.Header.Set(headerID, id)
	q.Header.Set("X-Fieldvale-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	q.Header.Set("X-Api-Key", apiKey)
	r, err := h.Do(q)
	if err != nil {
		return false, m.id + ": " + err.Error(), 50 * time.Millisecond
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if s, e := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); e == nil {
		wait = time.Duration(s * float64(time.Second))
	}
	served = err == nil && r.StatusCode == http.StatusOK && r.Header.Get(headerStamp) != ""
	return served, fmt.Sprintf("%s: %d %.80q", m.id, r.StatusCode, b), wait
}

// servedShare returns how many requests were sent between two moments, and how many of them were served.
func (c *client) servedShare(from, to time.Time) (sent, served int, example string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sent {
		if s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		sent++
		if s.served {
			served++
		} else {
			example = s.result
		}
	}
	return sent, served, example
}

// writeTo writes what was sent and answered into the record.
func (c *client) writeTo(e *env) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sent {
		fmt.Fprintf(e.f, "request %s: sent at %.3f, served %t: %s\n", s.id, s.at.Sub(e.start).Seconds(), s.served, s.result)
	}
}
