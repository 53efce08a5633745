package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Uploads: clients that each send one long request, as long as the configuration's max_body_bytes allows, in chunks
// and over a link of 8 Mbit/s of its own.
const (
	uploads    = 60
	uploadSize = 4 << 20
	uploadRate = 1 << 20
	uploadPart = 32 << 10
)

// Ordinary clients: each sends one short request for a stream after another over a connection that it keeps.
const (
	ordinaryClients = 24
	ordinaryEvents  = 12
	ordinaryFirst   = 600
	ordinaryPause   = 50
	// ordinaryThink bounds the time between an answer and the next request.
	ordinaryThink = 500 * time.Millisecond
)

// allowedLost is how often the rule LOST lets a machine shut a kept connection without answering.
const allowedLost = 3

// residentKB returns the resident memory of a process in kB; 0 if it has ended.
func residentKB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(v)[0])
			return n
		}
	}
	return 0
}

// watchMemory does what the platform does: it kills a process that goes over its memory, and starts it again after a
// short delay. It returns the function that ends it, which reports the most memory seen and the number of kills.
func (e *env) watchMemory(n *node) (end func() (peakKB, kills int)) {
	stop, done := make(chan struct{}), make(chan struct{})
	peak, killed := 0, 0
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			m := residentKB(n.pid())
			peak = max(peak, m)
			if m <= memoryMB<<10 {
				continue
			}
			e.say("platform: %s uses %d kB, over its %d MB: killed", n.id, m, memoryMB)
			n.signal(syscall.SIGKILL)
			n.kill()
			killed++
			time.Sleep(500 * time.Millisecond)
			if err := n.start(false); err != nil {
				e.say("platform: %v", err)
			}
		}
	}()
	return func() (int, int) {
		close(stop)
		<-done
		return peak, killed
	}
}

// keptRequest is what a client got of one request over a kept connection.
type keptRequest struct {
	id string
	// first is set for the first request of its connection, answered once a byte of the answer has arrived, and
	// whole once all of it has.
	first, answered, whole bool
	err                    error
}

// keepSending sends requests over one connection after another until stop.
func keepSending(n *node, stop time.Time, got func(keptRequest)) {
	for time.Now().Before(stop) {
		c, err := net.DialTimeout("tcp", n.front, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		r := bufio.NewReader(c)
		for first := true; time.Now().Before(stop); first = false {
			q := keptRequest{id: fmt.Sprintf("%016x", rand.Uint64()), first: first}
			q.answered, q.whole, q.err = sendOver(c, r, q.id)
			got(q)
			if !q.whole {
				break
			}
			time.Sleep(time.Duration(rand.Int63n(int64(ordinaryThink))))
		}
		c.Close()
		time.Sleep(50 * time.Millisecond)
	}
}

// sendOver sends one request over a connection and reads its answer.
func sendOver(c net.Conn, r *bufio.Reader, id string) (answered, whole bool, err error) {
	body := "prompt of " + id
	c.SetDeadline(time.Now().Add(streamDeadline))
	if _, err := fmt.Fprintf(c, "POST /stream/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Fieldvale-Deadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		routeHost, headerID, id, streamDeadline.Milliseconds(), apiKey, len(body), body); err != nil {
		return false, false, err
	}
	if _, err := r.Peek(1); err != nil {
		return false, false, err
	}
	p, err := http.ReadResponse(r, nil)
	if err != nil {
		return true, false, err
	}
	defer p.Body.Close()
	if _, err := io.Copy(io.Discard, p.Body); err != nil {
		return true, false, err
	}
	if p.StatusCode != http.StatusOK {
		return true, false, fmt.Errorf("status %s", p.Status)
	}
	return true, true, nil
}

// upload sends one long request and returns how it ended.
func upload(n *node, id string) string {
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(streamDeadline))
	fmt.Fprintf(c, "POST /stream/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Fieldvale-Deadline-Ms: %d\r\nX-Api-Key: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		routeHost, headerID, id, streamDeadline.Milliseconds(), apiKey)
	b := strings.Repeat("p", uploadPart)
	for sent := 0; sent < uploadSize; sent += len(b) {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(b), b); err != nil {
			return fmt.Sprintf("connection closed after %d kB", sent>>10)
		}
		time.Sleep(time.Second * uploadPart / uploadRate)
	}
	fmt.Fprintf(c, "0\r\n\r\n")
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "connection closed without an answer"
	}
	defer p.Body.Close()
	if _, err := io.Copy(io.Discard, p.Body); err != nil {
		return "answer cut"
	}
	return p.Status
}

// playBodies: clients send requests that are as long as the configuration allows, many at once. LOST: a machine in
// touch must not shut kept connections without answering requests that it has handed to a sound replica; a process
// that ends because its memory is used up counts as running.
func playBodies(e *env) (bool, error) {
	var err error
	if e.store, err = newStore(); err != nil {
		return false, err
	}
	e.store.put("op/config", streamConfig())
	for i, z := range []string{"leith-hall", "gyle-hall", "livingston-hall"} {
		b := behaviour{ID: fmt.Sprintf("i-7f3a91c%d", i), Events: ordinaryEvents, Interval: ordinaryPause, First: ordinaryFirst}
		if _, err := e.startReplica("fieldvale-pool", z, b); err != nil {
			return false, err
		}
		if _, err := e.addNode("edge-"+z+"-1", z); err != nil {
			return false, err
		}
	}
	if err := e.startAll(); err != nil {
		return false, err
	}
	n := e.nodes[0]
	e.say("three machines are ready; %s uses %d kB", n.id, residentKB(n.pid()))
	// From contact_ms after its start the machine is in touch.
	time.Sleep(3 * time.Second)
	endWatch := e.watchMemory(n)
	var mu sync.Mutex
	var kept []keptRequest
	ends := map[string]int{}
	var g sync.WaitGroup
	stop := time.Now().Add(12 * time.Second)
	for range ordinaryClients {
		g.Go(func() {
			keepSending(n, stop, func(q keptRequest) {
				e.note("client: %s first %t, answered %t, whole %t, error %v", q.id, q.first, q.answered, q.whole, q.err)
				mu.Lock()
				kept = append(kept, q)
				mu.Unlock()
			})
		})
	}
	time.Sleep(4 * time.Second)
	if e.trouble {
		e.say("%d clients send a request of %d kB each", uploads, uploadSize>>10)
		for range uploads {
			id := fmt.Sprintf("%016x", rand.Uint64())
			g.Go(func() {
				r := upload(n, id)
				e.note("upload: %s: %s", id, r)
				mu.Lock()
				ends[r]++
				mu.Unlock()
			})
		}
	}
	g.Wait()
	peak, kills := endWatch()
	return e.checkKept(kept, ends, peak, kills), nil
}

// checkKept reports whether the rule LOST was broken.
func (e *env) checkKept(kept []keptRequest, ends map[string]int, peak, kills int) bool {
	whole, lost, cut := 0, 0, 0
	for _, q := range kept {
		switch {
		case q.whole:
			whole++
		case !q.first && !q.answered && e.ran(q.id):
			lost++
			e.say("LOST: %s was read from a kept connection and run by a replica, and its connection ended without an answer: %v", q.id, q.err)
		default:
			cut++
		}
	}
	e.say("most memory %d kB of %d MB, killed %d times", peak, memoryMB, kills)
	e.say("ordinary requests: %d answered whole, %d lost on kept connections, %d otherwise not served", whole, lost, cut)
	e.say("uploads: %v", ends)
	return lost > allowedLost
}
