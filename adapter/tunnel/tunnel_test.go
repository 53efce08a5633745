package tunnel_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fieldvale/adapter/exchange"
	"fieldvale/adapter/tunnel"
	"fieldvale/outcome"
	"fieldvale/peer"
	"fieldvale/reach"
	"fieldvale/standin/early"
	"fieldvale/standin/endless"
	"fieldvale/standin/heads"
)

// backend is a server that answers each request with what handle writes, and then closes the
// connection if handle returns false.
type backend struct {
	l net.Listener
	// closed receives each connection that the caller has closed.
	closed chan struct{}
}

func startBackend(t *testing.T, handle func(c net.Conn, q *http.Request) bool) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	b := &backend{l: l, closed: make(chan struct{}, 9)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c, handle)
		}
	}()
	return b
}

func (b *backend) serve(c net.Conn, handle func(c net.Conn, q *http.Request) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			b.closed <- struct{}{}
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil || !handle(c, q) {
			return
		}
	}
}

func (b *backend) addr() string { return b.l.Addr().String() }

// helper is another instance, through which servers are reached.
type helper struct {
	server *tunnel.Server
	member peer.Member

	mu    sync.Mutex
	conns []net.Conn
}

// startHelper starts an instance that refuses tunnels with the reason; empty for none.
func startHelper(t *testing.T, id, refusal string) *helper {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &helper{member: peer.Member{ID: id, Addr: l.Addr().String()}}
	h.server = &tunnel.Server{Dial: exchange.DialDirect, Refusal: func(string) string { return refusal }, MaxTunnels: 2, Event: func(tunnel.Opened) {}}
	s := &http.Server{Handler: h.server, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.conns = append(h.conns, c)
		return ctx
	}}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return h
}

// lose closes the instance's connections to others, as its end does.
func (h *helper) lose() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		_ = c.Close()
	}
}

// anyMember allows all instances to be asked.
func anyMember(string) func(peer.Member) bool { return func(peer.Member) bool { return true } }

// newPool returns the pool of an instance that reaches no server directly.
func newPool(l ...*helper) *exchange.Pool {
	h := reach.NewHelpers(peer.Member{ID: "self"}, time.Now, func() float64 { return 0 })
	var m []peer.Member
	for _, x := range l {
		m = append(m, x.member)
	}
	h.SetMembers(m)
	p := exchange.New(time.Now)
	return p.WithDialer(&tunnel.Dialer{
		Tracker: reach.NewTracker(time.Now, nil), Helpers: h, MayHelp: anyMember, Spare: p.Add, Tunneled: func(string, error) {},
		Direct: exchange.DialFunc(func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}),
	})
}

// get sends a request and returns the answer's body and the instance in between.
func get(ctx context.Context, p *exchange.Pool, addr, body string) (answer, via string, err error) {
	r, err := p.Do(ctx, addr, &exchange.Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: []byte(body)})
	if err != nil {
		return "", "", err
	}
	defer r.Close()
	b, err := io.ReadAll(r)
	via, _, _ = strings.Cut(r.Via(), "/")
	return string(b), via, err
}

const okHead = "HTTP/1.1 200 OK\r\n"

// Guards against answers that are altered, and against connections that are opened anew for each
// request.
func TestTunnelIsReused(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	b := startBackend(t, func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, okHead+"Content-Length: 100000\r\n\r\n"+long)
		return err == nil
	})
	h := startHelper(t, "n1", "")
	p := newPool(h)
	for range 5 {
		if a, via, err := get(t.Context(), p, b.addr(), long); a != long || via != "n1" || err != nil {
			t.Fatalf("got %d bytes via %q and error %v, want 100000 bytes via n1", len(a), via, err)
		}
	}
	if p.Dialed() != 1 || h.server.Open() != 1 {
		t.Errorf("got %d connections, %d tunnels, want 1 of each", p.Dialed(), h.server.Open())
	}
}

// Guards against an answer without a length that is taken as complete because the instance in between
// was lost, and against a complete one that is taken as broken.
func TestLostHelperIsNoEndOfAnswer(t *testing.T) {
	for _, lost := range []bool{false, true} {
		sent := make(chan struct{})
		release := make(chan struct{})
		b := startBackend(t, func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, okHead+"\r\npart")
			close(sent)
			<-release
			return false
		})
		h := startHelper(t, "n1", "")
		go func() {
			<-sent
			time.Sleep(50 * time.Millisecond)
			if lost {
				h.lose()
			}
			close(release)
		}()
		a, _, err := get(t.Context(), newPool(h), b.addr(), "")
		if a != "part" || (err != nil) != lost {
			t.Errorf("lost %t: got body %q and error %v, want part and an error only if lost", lost, a, err)
		}
	}
}

// Guards against a request that counts as run although no instance reached its server, and against one
// that is given up although an instance reaches it.
func TestHelpersThatRefuse(t *testing.T) {
	b := startBackend(t, func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, okHead+"Content-Length: 2\r\n\r\nok")
		return err == nil
	})
	cut1, cut2, sound := startHelper(t, "n1", "cut off"), startHelper(t, "n2", "stopping"), startHelper(t, "n3", "")
	_, _, err := get(t.Context(), newPool(cut1, cut2), b.addr(), "")
	if outcome.KindOf(err) != outcome.NotRun {
		t.Errorf("all refuse: got error %v, want one of kind not run", err)
	}
	began := time.Now()
	if a, via, err := get(t.Context(), newPool(cut1, cut2, sound), b.addr(), ""); a != "ok" || via != "n3" || err != nil {
		t.Errorf("one does not refuse: got %q via %q and error %v, want ok via n3", a, via, err)
	}
	if d := time.Since(began); d > time.Second {
		t.Errorf("one does not refuse: got the answer after %s, want it within 1 s", d)
	}
}

// Guards against tunnels without a bound, which would exhaust the helper.
func TestHelperBoundsTunnels(t *testing.T) {
	hold := make(chan struct{})
	b := startBackend(t, func(c net.Conn, _ *http.Request) bool {
		<-hold
		_, err := io.WriteString(c, okHead+"Content-Length: 0\r\n\r\n")
		return err == nil
	})
	p := newPool(startHelper(t, "n1", ""))
	var g sync.WaitGroup
	kinds := make(chan outcome.Kind, 3)
	for range 3 {
		g.Go(func() {
			_, _, err := get(t.Context(), p, b.addr(), "")
			kinds <- outcome.KindOf(err)
		})
	}
	if k := <-kinds; k != outcome.NotRun {
		t.Errorf("third of three requests: got kind %v, want not run", k)
	}
	close(hold)
	g.Wait()
}

// Guards against a request that runs on at its server when its client has left.
func TestCancelPassesThroughTunnel(t *testing.T) {
	b := startBackend(t, func(net.Conn, *http.Request) bool { return true })
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(300*time.Millisecond, cancel)
	if _, _, err := get(ctx, newPool(startHelper(t, "n1", "")), b.addr(), ""); outcome.KindOf(err) != outcome.Unknown {
		t.Errorf("got error %v, want one of kind unknown", err)
	}
	select {
	case <-b.closed:
	case <-time.After(5 * time.Second):
		t.Error("the server's connection was not closed within 5 s")
	}
}

// Guards against a planned stop that ends answers under way, or waits for idle connections.
func TestDrainWaitsForAnswers(t *testing.T) {
	answer := make(chan struct{})
	b := startBackend(t, func(c net.Conn, q *http.Request) bool {
		<-answer
		_, err := io.WriteString(c, okHead+"Content-Length: 2\r\n\r\nok")
		return err == nil
	})
	h := startHelper(t, "n1", "")
	result := make(chan string, 1)
	go func() {
		a, _, _ := get(t.Context(), newPool(h), b.addr(), "")
		result <- a
	}()
	for h.server.Open() == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	time.AfterFunc(300*time.Millisecond, func() { close(answer) })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	h.server.Drain(ctx)
	if ctx.Err() != nil {
		t.Error("the stop waited for an idle connection")
	}
	if a := <-result; a != "ok" {
		t.Errorf("got answer %q, want ok", a)
	}
}

// Guards against a refused connection that is passed round the fleet because a server is down.
func TestOneRefusalIsNotPassedOn(t *testing.T) {
	asked := 0
	h := startHelper(t, "n1", "")
	h.server.Refusal = func(string) string { asked++; return "" }
	hs := reach.NewHelpers(peer.Member{ID: "self"}, time.Now, func() float64 { return 0 })
	hs.SetMembers([]peer.Member{h.member})
	d := &tunnel.Dialer{
		Tracker: reach.NewTracker(time.Now, nil), Helpers: hs, MayHelp: anyMember, Tunneled: func(string, error) {},
		Direct: exchange.DialFunc(func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }),
	}
	if _, err := d.Dial(t.Context(), "127.0.0.1:1"); err == nil || asked != 0 {
		t.Errorf("got error %v after asking %d instances, want an error and none asked", err, asked)
	}
}

// Guards against the bytes of a request that pass through an instance which may not see them, on a new
// connection or on one that was kept from before.
func TestConnectionPassesThroughAllowedInstancesOnly(t *testing.T) {
	b := startBackend(t, func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err == nil
	})
	elsewhere, near := startHelper(t, "elsewhere", ""), startHelper(t, "near", "")
	elsewhere.member.DataCentre, near.member.DataCentre = "z2", "z1"
	h := reach.NewHelpers(peer.Member{ID: "self", DataCentre: "z2"}, time.Now, func() float64 { return 0 })
	h.SetMembers([]peer.Member{elsewhere.member, near.member})
	var isBound atomic.Bool
	p := exchange.New(time.Now)
	d := &tunnel.Dialer{
		Tracker: reach.NewTracker(time.Now, nil), Helpers: h, Spare: p.Add, Tunneled: func(string, error) {},
		MayHelp: func(string) func(peer.Member) bool {
			return func(m peer.Member) bool { return !isBound.Load() || m.DataCentre == "z1" }
		},
		Direct: exchange.DialFunc(func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}),
	}
	p = p.WithDialer(d).WithUsable(d.IsUsable)
	for i, c := range []struct {
		isBound bool
		want    string
	}{{false, "elsewhere"}, {false, "elsewhere"}, {true, "near"}, {true, "near"}} {
		isBound.Store(c.isBound)
		if _, via, err := get(t.Context(), p, b.addr(), "x"); err != nil || via != c.want {
			t.Errorf("request %d: through %q, %v, want %q", i+1, via, err, c.want)
		}
	}
}

// Guards against an instance whose answer to the request for a tunnel never ends, or is not one answer.
func TestHelperWithoutAnswerIsPassedOver(t *testing.T) {
	b := startBackend(t, func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err == nil
	})
	for _, sent := range []string{"HTTP/1.1 200 OK\r\nX-Note: ", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 ", "HTTP/1.1 503 BusyHTTP/1.1 200 OK\r\n\r\n"} {
		e, err := endless.Listen(endless.Answer{Head: sent, Piece: strings.Repeat("X-Note: busy\r\n", 300)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		faulty := &helper{member: peer.Member{ID: "n1", Addr: e.Addr()}}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, _, err = get(t.Context(), newPool(faulty), b.addr(), "")
		runtime.ReadMemStats(&after)
		if outcome.KindOf(err) != outcome.NotRun || err == nil {
			t.Errorf("after %q: got error %v, want one of kind not run", sent, err)
		}
		if n := after.TotalAlloc - before.TotalAlloc; n > 1<<20 {
			t.Errorf("after %q: allocated %d bytes, want at most 1 MB", sent, n)
		}
		if a, via, err := get(t.Context(), newPool(faulty, startHelper(t, "n2", "")), b.addr(), ""); a != "ok" || via != "n2" || err != nil {
			t.Errorf("after %q: got %q via %q and error %v, want ok via n2", sent, a, via, err)
		}
	}
}

// earlyRequests is how many requests are sent in each case of answers that come before their request was read.
const earlyRequests = 20

// Guards against an answer through another instance whose end depends on which of its goroutines gets the error of
// the connection to the server, and on how much of the request it has passed on by then.
func TestResetDuringUploadIsNoEndOfAnswerThroughHelper(t *testing.T) {
	body := strings.Repeat("x", 1000)
	for _, c := range []struct {
		name, sent string
		end        early.End
		// read is the part of the request that the server reads before it closes the connection.
		read      float64
		wantWhole bool
	}{
		{"no length, reset", okHead + "\r\n" + body, early.Reset, 0, false},
		{"no length, closed with the request unread", okHead + "\r\n" + body, early.Close, 0, false},
		{"no length, closed after half of the request", okHead + "\r\n" + body, early.ReadAndClose, 0.5, false},
		{"no length, closed after the request", okHead + "\r\n" + body, early.ReadAndClose, 1, true},
		{"length, reset", okHead + "Content-Length: 1000\r\n\r\n" + body, early.Reset, 0, true},
		{"length, closed with the request unread", okHead + "Content-Length: 1000\r\n\r\n" + body, early.Close, 0, true},
		{"part of the length, reset", okHead + "Content-Length: 1001\r\n\r\n" + body, early.Reset, 0, false},
	} {
		for _, length := range []int{64 << 10, 1 << 20, 16 << 20} {
			for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d kB, after %s", c.name, length>>10, delay), func(t *testing.T) {
					e, err := early.Listen(early.Answer{Sent: c.sent, Delay: delay, End: c.end, Read: c.read})
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(e.Close)
					h := startHelper(t, "n1", "")
					h.server.MaxTunnels = earlyRequests
					p, sent := newPool(h), strings.Repeat("y", length)
					wrong := 0
					for range earlyRequests {
						ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
						a, _, err := get(ctx, p, e.Addr(), sent)
						cancel()
						p.CloseIdle()
						if isWhole := err == nil && a == body; isWhole != c.wantWhole {
							wrong++
						}
					}
					if wrong > 0 {
						t.Errorf("%d of %d answers were taken wrongly, want all taken as whole: %t", wrong, earlyRequests, c.wantWhole)
					}
				})
			}
		}
	}
}

// Guards against an instance whose answer to the request for a tunnel has an odd head, and is taken for one.
func TestHelperWithOddHeadIsPassedOver(t *testing.T) {
	l, err := heads.Read()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range l {
		if c.Usable || strings.Contains(c.Name, "trailer") {
			continue
		}
		s, err := heads.Serve(c.Answer())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		d := &tunnel.Dialer{
			Tracker: reach.NewTracker(time.Now, nil), Helpers: reach.NewHelpers(peer.Member{ID: "self"}, time.Now, func() float64 { return 0 }), MayHelp: anyMember, Tunneled: func(string, error) {},
			Direct: exchange.DialFunc(func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }),
		}
		d.Helpers.SetMembers([]peer.Member{{ID: "n1", Addr: s.Addr().String()}})
		for range 2 {
			// The second failure in succession asks the other instance.
			if k, err := d.Dial(t.Context(), "127.0.0.1:1"); err == nil {
				_ = k.Close()
				t.Errorf("%s: got a connection, want none", c.Name)
			}
		}
	}
}
