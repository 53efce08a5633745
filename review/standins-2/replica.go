package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Names of the platform's headers.
const (
	headerID     = "X-Fieldvale-Request-Attempt-Id"
	headerStamp  = "X-Fieldvale-Replica-Stamp"
	headerExpect = "X-Fieldvale-Expect-Replica"
	headerNotRun = "X-Fieldvale-Not-Executed"
	headerLast   = "Last-Event-Id"
)

// heartbeat is the interval at which a replica writes its entry.
const heartbeat = 1200 * time.Millisecond

// stopTime is the time between the moment from which a replica that ends in order takes no connections, and its end.
const stopTime = 50 * time.Millisecond

// shortEvents is the number of events of the sheet's batch-suggest, whose requests have a path below shortPath.
const (
	shortEvents = 6
	shortPath   = "/stream/short"
)

// behaviour tells a replica process how to answer.
type behaviour struct {
	ID string
	// Events is the number of events of a stream, Interval the time between two, First the time to the first; in
	// milliseconds.
	Events, Interval, First int
	// Unframed makes answers end with their connection: they have neither a length nor chunks.
	Unframed bool
	// Work is the time of a plain request in milliseconds.
	Work int
	// Addr is the address to listen on; empty for any.
	Addr string
}

// runReplica is the process of a replica. It writes its address and then what it runs to standard output. The line
// "leaving" on standard input makes its answers say that it leaves; the end of the input ends the process.
func runReplica(arg string) int {
	var b behaviour
	if err := json.Unmarshal([]byte(arg), &b); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if b.Addr == "" {
		b.Addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", b.Addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	p := &replicaProcess{behaviour: b}
	p.log("listens %s", l.Addr())
	go func() {
		in := bufio.NewScanner(os.Stdin)
		for in.Scan() {
			if in.Text() == "leaving" {
				p.leaving.Store(true)
				p.log("leaving")
			}
		}
		// In order: first no new connections, then the end.
		l.Close()
		time.Sleep(stopTime)
		os.Exit(0)
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			select {}
		}
		go p.serve(c)
	}
}

type replicaProcess struct {
	behaviour
	leaving atomic.Bool
	mu      sync.Mutex
}

func (p *replicaProcess) log(format string, a ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Printf(format+"\n", a...)
}

// serve answers the requests of a connection one after another.
func (p *replicaProcess) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, q.Body)
		if err != nil {
			return
		}
		id := q.Header.Get(headerID)
		if x := q.Header.Get(headerExpect); x != "" && x != p.ID {
			io.WriteString(c, p.head(id, "421 Misdirected Request", headerNotRun+": 1", "Content-Length: 0"))
			continue
		}
		p.log("runs %s %s %d", id, q.RequestURI, n)
		if !strings.Contains(q.RequestURI, "/stream/") {
			time.Sleep(time.Duration(p.Work) * time.Millisecond)
			body := strings.Repeat("a", 800)
			if _, err := io.WriteString(c, p.head(id, "200 OK", fmt.Sprintf("Content-Length: %d", len(body)))+body); err != nil {
				return
			}
			p.log("answered %s", id)
			continue
		}
		if !p.stream(c, q, id) || p.Unframed {
			return
		}
	}
}

// head returns the head of an answer.
func (p *replicaProcess) head(id, status string, more ...string) string {
	l := []string{"HTTP/1.1 " + status, headerID + ": " + id, headerStamp + ": " + p.ID + ".600.0.c9f2a4d1"}
	if p.leaving.Load() {
		l = append(l, "Server-Leaving: 1")
	}
	return strings.Join(append(l, more...), "\r\n") + "\r\n\r\n"
}

// stream answers with events whose ids go up to p.Events; it goes on after Last-Event-Id.
func (p *replicaProcess) stream(c net.Conn, q *http.Request, id string) bool {
	next := 1
	fmt.Sscanf(q.Header.Get(headerLast), "%d", &next)
	if q.Header.Get(headerLast) != "" {
		next++
	}
	time.Sleep(time.Duration(p.First) * time.Millisecond)
	framing := "Transfer-Encoding: chunked"
	if p.Unframed {
		framing = "Connection: close"
	}
	if _, err := io.WriteString(c, p.head(id, "200 OK", "Content-Type: text/event-stream", framing)); err != nil {
		return false
	}
	events := p.Events
	if strings.HasPrefix(q.RequestURI, shortPath) {
		events = shortEvents
	}
	for ; next <= events; next++ {
		v := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", next, next, id)
		if !p.Unframed {
			v = fmt.Sprintf("%x\r\n%s\r\n", len(v), v)
		}
		if _, err := io.WriteString(c, v); err != nil {
			p.log("stopped %s before %d", id, next)
			return false
		}
		if next < events {
			time.Sleep(time.Duration(p.Interval) * time.Millisecond)
		}
	}
	if !p.Unframed {
		io.WriteString(c, "0\r\n\r\n")
	}
	p.log("answered %s", id)
	return true
}

// replica is a replica's process as the script sees it.
type replica struct {
	behaviour
	service, zone, addr string
	cmd                 *exec.Cmd
	in                  io.WriteCloser
	ended               chan struct{}

	// born is the Unix millisecond of the process's start.
	born int64

	mu    sync.Mutex
	state string
	seq   int
}

// startReplica starts a replica's process and writes its entry at each heartbeat.
func (e *env) startReplica(service, zone string, b behaviour) (*replica, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	j, err := json.Marshal(b)
	if err != nil {
		return nil, err
	}
	r := &replica{behaviour: b, service: service, zone: zone, state: "ready", born: time.Now().UnixMilli(), ended: make(chan struct{})}
	r.cmd = exec.Command(self, "replica", string(j))
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if r.in, err = r.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	e.replicas = append(e.replicas, r)
	s := bufio.NewScanner(out)
	if !s.Scan() {
		return nil, fmt.Errorf("replica %s did not start", b.ID)
	}
	r.addr = strings.TrimPrefix(s.Text(), "listens ")
	go func() {
		for s.Scan() {
			e.note("replica %s: %s", b.ID, s.Text())
			if id, ok := strings.CutPrefix(s.Text(), "runs "); ok {
				e.markRun(strings.Fields(id)[0], b.ID)
			}
		}
		r.cmd.Wait()
		close(r.ended)
	}()
	r.announce(e.store)
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-r.ended:
				return
			case <-t.C:
				r.announce(e.store)
			}
		}
	}()
	return r, nil
}

// announce writes the replica's entry.
func (r *replica) announce(s *store) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	s.put("servers/"+r.ID, map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 64, "state": r.state, "cold_left_ms": 0, "seq": r.seq, "born": r.born,
	})
}

// leave makes the replica say that it leaves, in its answers and in its entry.
func (r *replica) leave(s *store) {
	io.WriteString(r.in, "leaving\n")
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.announce(s)
}

// end ends the replica's process in order and removes its entry.
func (r *replica) end(s *store) {
	r.in.Close()
	<-r.ended
	s.remove("servers/" + r.ID)
}

// kill ends the replica's process at once.
func (r *replica) kill() {
	r.cmd.Process.Signal(syscall.SIGKILL)
	<-r.ended
}
