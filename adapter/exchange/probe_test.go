package exchange

import (
	"net"
	"testing"
	"time"
)

func TestRefuses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, addr := New(time.Now), l.Addr().String()
	if p.Refuses(t.Context(), addr) {
		t.Error("a server that listens counts as ended")
	}
	if p.Refuses(t.Context(), addr) || p.Dialed() != 1 {
		t.Errorf("%d connections were opened, want the first one kept", p.Dialed())
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	// The kept connection was closed with the server's queue, or is still open: either
	// way the next look goes to the port.
	p = New(time.Now)
	if !p.Refuses(t.Context(), addr) {
		t.Error("a server that is gone does not count as ended")
	}
}
