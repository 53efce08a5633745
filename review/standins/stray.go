package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// faultyReplica is a stand-in of a plain service's replica. It echoes the id in all its answers, sheds
// requests while it is full, and sends more after some of its whole answers: late, in the place where the next
// answer on that connection is due.
type faultyReplica struct {
	id, zone string
	addr     string
	slots    int
	// faulty says whether it sends more after the answer that it has just sent.
	faulty func() bool
	runs   *runLog

	mu   sync.Mutex
	busy int
	seq  int
}

// runLog has the replicas at which each request began to run, by the id of the client's attempt.
type runLog struct {
	mu  sync.Mutex
	ran map[string][]string
}

func (l *runLog) add(id, replica string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[id] = append(l.ran[id], replica)
}

func (l *runLog) of(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.ran[id]...)
}

func startFaultyReplica(s *kv, id, service, zone string, slots int, runs *runLog, faulty func() bool) (*faultyReplica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &faultyReplica{id: id, zone: zone, addr: l.Addr().String(), slots: slots, runs: runs, faulty: faulty}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	announce := func() {
		r.mu.Lock()
		r.seq++
		n := r.seq
		r.mu.Unlock()
		s.Put("servers/"+id, map[string]any{
			"service": service, "address": r.addr, "zone": zone, "version": "v1", "slots": slots,
			"state": "ready", "cold_left_ms": 0, "seq": n,
		})
	}
	announce()
	go func() {
		for range time.Tick(heartbeat) {
			announce()
		}
	}()
	return r, nil
}

// refusal is the answer to a request that was not run; id is empty in what belongs to no request.
func refusal(status, id string) string {
	t := "HTTP/1.1 " + status + "\r\n" + headerNotRun + ": 1\r\nContent-Length: 0\r\n"
	if id != "" {
		t += headerID + ": " + id + "\r\n"
	}
	return t + "\r\n"
}

const (
	statusShed  = "503 Service Unavailable"
	statusOther = "421 Misdirected Request"
)

func (r *faultyReplica) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy >= r.slots {
		return false
	}
	r.busy++
	return true
}

func (r *faultyReplica) done() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
}

func (r *faultyReplica) serve(c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	// more is what is sent before the next answer.
	more := ""
	for {
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		io.WriteString(c, more)
		more = ""
		id := q.Header.Get(headerID)
		switch x := q.Header.Get(headerExpect); {
		case x != "" && x != r.id:
			io.WriteString(c, refusal(statusOther, id))
		case !r.take():
			io.WriteString(c, refusal(statusShed, id))
		default:
			r.runs.add(id, r.id)
			time.Sleep(time.Duration(20+rand.Intn(20)) * time.Millisecond)
			r.done()
			body := "answer of " + r.id
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerStamp, r.id, len(body), body)
		}
		if r.faulty() {
			more = refusal(statusShed, "")
			if os.Getenv("ECHO") == "1" {
				more = refusal(statusShed, id)
			}
		}
	}
}

const (
	// moreShare is the share of whole answers after which a replica sends more, and moreSpan for how long.
	moreShare = 0.06
	moreSpan  = 11 * time.Second
)

// playStray sends requests that may run once to replicas that send more after some of their whole answers:
// the answer of a replica that is full, as "fleetbench wire" prints it, without an id.
func playStray(e *env) (broken bool, err error) {
	s := newKV()
	configureOnce(s)
	runs := &runLog{ran: map[string][]string{}}
	var mu sync.Mutex
	var from time.Time
	extra := 0
	faulty := func() bool {
		mu.Lock()
		defer mu.Unlock()
		if !e.trouble || from.IsZero() || time.Since(from) > moreSpan || rand.Float64() >= moreShare {
			return false
		}
		extra++
		return true
	}
	for _, z := range []string{"leith-hall", "gyle-hall", "livingston-hall"} {
		if _, err := startFaultyReplica(s, "i-"+z, "memory-api", z, 6, runs, faulty); err != nil {
			return false, err
		}
	}
	l, err := startMachines(e, s, []string{"edge-leith-hall-1", "edge-gyle-hall-1", "edge-livingston-hall-1"})
	defer killAll(l)
	if err != nil {
		return false, err
	}
	e.printf("three machines are ready")
	mu.Lock()
	from = time.Now()
	mu.Unlock()
	var w sync.WaitGroup
	var results sync.Map
	n := 0
	for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for range 24 {
			n++
			id := fmt.Sprintf("%016x", n)
			m := l[rand.Intn(len(l))]
			w.Add(1)
			go func() {
				defer w.Done()
				results.Store(id, sendOnce(m, id))
			}()
			time.Sleep(time.Millisecond)
		}
	}
	w.Wait()
	time.Sleep(time.Second)
	twice, refused, served := 0, 0, 0
	for i := range n {
		id := fmt.Sprintf("%016x", i+1)
		x, _ := results.Load(id)
		result, ran := x.(string), runs.of(id)
		if strings.HasPrefix(result, "200") {
			served++
		}
		e.f.WriteString(fmt.Sprintf("request %s: answered %s, ran at %v\n", id, result, ran))
		if len(ran) > 1 {
			twice++
			e.printf("TWICE: %s ran at %v; the client got %s", id, ran, result)
		}
		if len(ran) > 0 && (strings.HasPrefix(result, "503") || strings.HasPrefix(result, "429")) {
			refused++
			e.printf("REFUSED: %s ran at %v; the client got %s", id, ran, result)
		}
	}
	e.printf("%d requests sent, %d served; the replicas sent more after %d whole answers; %d requests ran more than once; %d ran although they were answered with 429 or 503", n, served, extra, twice, refused)
	if 4*served < n {
		return false, fmt.Errorf("under a quarter was served")
	}
	return twice+refused > 0, nil
}

// sendOnce sends a request that may run once, and returns its answer.
func sendOnce(m *machine, id string) string {
	h := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	q, err := http.NewRequest(http.MethodPost, "http://"+m.front+"/puxa403/2f", strings.NewReader("some text"))
	if err != nil {
		return err.Error()
	}
	q.Host = routeHost
	q.Header.Set(headerID, id)
	q.Header.Set("X-Fieldvale-Deadline-Ms", "1500")
	q.Header.Set("X-Api-Key", apiKey)
	r, err := h.Do(q)
	if err != nil {
		return err.Error()
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s by %s via %s", r.StatusCode, strings.TrimSpace(string(b)), r.Header.Get(headerStamp), m.id)
}

// configureOnce writes a configuration with a route whose requests may run once.
func configureOnce(s *kv) {
	s.Put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "memory-match", "host": routeHost, "path_prefix": "/puxa403/", "kind": "non_idempotent", "timeout_ms": 800,
			"target_latency_ms": 150, "service": "memory-api", "max_attempts": 1, "priority": 2,
		}},
		"services": []any{map[string]any{"name": "memory-api", "max_conns": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}}},
	})
}

// startMachines starts the machines as at the first start of the system, and waits until they are ready.
func startMachines(e *env, s *kv, ids []string) ([]*machine, error) {
	var l []*machine
	for _, id := range ids {
		v, err := s.listen(nil)
		if err != nil {
			return l, err
		}
		zone := strings.TrimPrefix(id[:strings.LastIndex(id, "-")], "edge-")
		m, err := newMachine(e.dir, e.program, id, zone, v)
		if err != nil {
			return l, err
		}
		l = append(l, m)
	}
	for _, m := range l {
		if err := m.start(true); err != nil {
			return l, err
		}
	}
	ready := func() bool {
		for _, m := range l {
			if !m.isReady() {
				return false
			}
		}
		return true
	}
	if !eventually(20*time.Second, ready) {
		return l, fmt.Errorf("the machines were not ready within 20 s of their first start")
	}
	return l, nil
}

func killAll(l []*machine) {
	for _, m := range l {
		m.kill()
	}
}
