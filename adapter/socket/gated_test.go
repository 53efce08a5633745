package socket

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// testGate is a gate that is open or closed, and counts.
type testGate struct {
	refuses                       atomic.Bool
	open, accepted, unread, bytes atomic.Int64
}

func (g *testGate) RefuseFor() time.Duration {
	if g.refuses.Load() {
		return time.Millisecond
	}
	return 0
}

func (g *testGate) Accepted() {
	g.accepted.Add(1)
	g.unread.Add(1)
}

func (g *testGate) FirstRead()     { g.unread.Add(-1) }
func (g *testGate) Opened()        { g.open.Add(1) }
func (g *testGate) Closed()        { g.open.Add(-1) }
func (g *testGate) Received(n int) { g.bytes.Add(int64(n)) }
func (g *testGate) Sent(n int)     { g.bytes.Add(int64(n)) }

// echoServer answers each byte with the same byte on a gated listener.
func echoServer(t *testing.T) (*GatedListener, *testGate) {
	a, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	l, err := Open(a)
	if err != nil {
		t.Fatal(err)
	}
	gate := &testGate{}
	g := Gated(l, gate, func(event string, fields ...any) { t.Log(event, fields) })
	var w sync.WaitGroup
	w.Go(func() {
		for {
			c, err := g.Accept()
			if err != nil {
				if !errors.Is(err, net.ErrClosed) {
					t.Errorf("Accept: %v, want %v", err, net.ErrClosed)
				}
				return
			}
			w.Go(func() { echo(c) })
		}
	})
	t.Cleanup(func() {
		_ = g.Close()
		g.CloseIdle(0)
		w.Wait()
	})
	return g, gate
}

func echo(c net.Conn) {
	defer c.Close()
	b := make([]byte, 1)
	for {
		if _, err := io.ReadFull(c, b); err != nil {
			return
		}
		if _, err := c.Write(b); err != nil {
			return
		}
		MarkIdle(c)
	}
}

// exchangeByte sends a byte and reads the answer.
func exchangeByte(c net.Conn) error {
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// eventually waits until ok returns true, or fails the test.
func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met: %s", condition)
}

// dial connects and exchanges a byte.
func dial(t *testing.T, g *GatedListener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := exchangeByte(c); err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against connections that are read while the gate refuses them, and against a listener that does not
// come back.
func TestGatedListenerRefusesUnread(t *testing.T) {
	g, gate := echoServer(t)
	kept := dial(t, g)
	gate.refuses.Store(true)
	// The listener notices when it accepts the next connection.
	dial(t, g)
	eventually(t, "connections are refused", func() bool {
		c, err := net.Dial("tcp", g.Addr().String())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	n := gate.accepted.Load()
	if err := exchangeByte(kept); err != nil {
		t.Errorf("an open connection: %v, want an answer", err)
	}
	if _, err := net.Dial("tcp", g.Addr().String()); err == nil {
		t.Error("a connection was accepted while the gate refuses")
	}
	if m := gate.accepted.Load(); m != n {
		t.Errorf("%d connections accepted while the gate refuses, want 0", m-n)
	}
	gate.refuses.Store(false)
	eventually(t, "connections are accepted again", func() bool {
		c, err := net.Dial("tcp", g.Addr().String())
		if err != nil {
			return false
		}
		defer c.Close()
		return exchangeByte(c) == nil
	})
}

// allIdle reports whether all connections were marked as idle after their last byte.
func (g *GatedListener) allIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for a := range g.accepted {
		a.mu.Lock()
		isIdle := !a.idleSince.IsZero()
		a.mu.Unlock()
		if !isIdle {
			return false
		}
	}
	return true
}

// Guards against connections that are closed while a request is in progress, and against counts that
// do not return to zero.
func TestGatedListenerClosesIdleConnectionsOnly(t *testing.T) {
	g, gate := echoServer(t)
	idle, busy := dial(t, g), dial(t, g)
	eventually(t, "both connections are known", func() bool { return gate.accepted.Load() == 2 })
	eventually(t, "both connections wait for a request", g.allIdle)
	g.mu.Lock()
	for a := range g.accepted {
		if a.RemoteAddr().String() == busy.LocalAddr().String() {
			MarkBusy(a)
		}
	}
	g.mu.Unlock()
	if n := g.CloseIdle(time.Hour); n != 0 {
		t.Errorf("%d connections closed that were idle for an hour, want 0", n)
	}
	eventually(t, "the idle connection is closed", func() bool { return g.CloseIdle(0) == 1 })
	if err := exchangeByte(idle); err == nil {
		t.Error("the idle connection is open")
	}
	if err := exchangeByte(busy); err != nil {
		t.Errorf("the busy connection: %v, want an answer", err)
	}
	_ = busy.Close()
	eventually(t, "no connection is counted", func() bool { return gate.open.Load() == 0 && gate.unread.Load() == 0 })
}
