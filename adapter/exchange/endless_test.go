package exchange

import (
	"context"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"fieldvale/outcome"
	"fieldvale/standin/endless"
)

const (
	// endlessLimit bounds the time until an answer without end is given up, and endlessBytes the memory that is
	// allocated for it.
	endlessLimit = time.Second
	endlessBytes = 1 << 20
)

// startEndless starts a server of answers without end.
func startEndless(t *testing.T, a endless.Answer) *endless.Server {
	s, err := endless.Listen(a)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// ownByID takes answers with the id a for the request's.
func ownByID(h http.Header) Attribution {
	switch h.Get("Id") {
	case "a":
		return Own
	case "":
		return Unattributed
	}
	return Other
}

// endlessHeads are answers whose end never comes before their body begins.
var endlessHeads = []struct{ name, head, piece string }{
	{"status line", "HTTP/1.1 200 ", strings.Repeat("OK ", 1000)},
	{"no status line", "", strings.Repeat("x", 4000)},
	{"one header", "HTTP/1.1 200 OK\r\nX-Note: ", strings.Repeat("x", 4000)},
	{"headers", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Note: busy\r\n", 300)},
	{"headers of different names", "HTTP/1.1 200 OK\r\n", "A:a\r\nB:b\r\nC:c\r\nD:d\r\nE:e\r\nF:f\r\nG:g\r\nH:h\r\n"},
	{"interim heads", "", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)},
	{"interim heads without end", "", "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("X-Note: busy\r\n", 3000) + "\r\n"},
	{"body of another request", "HTTP/1.1 200 OK\r\nId: b\r\n\r\n", strings.Repeat("x", 4000)},
	{"body of another request, with a length", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 99999999999\r\n\r\n", strings.Repeat("x", 4000)},
	{"chunks of another request", "HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbusy\r\n"},
	{"length of a chunk", "HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4000)},
	{"trailers", "HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-Note: busy\r\n", 300)},
}

// Guards against an answer without end that takes the memory, the processor or the time of an instance.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	for _, c := range endlessHeads {
		t.Run(c.name, func(t *testing.T) {
			e := startEndless(t, endless.Answer{Head: c.head, Piece: c.piece})
			p := New(time.Now)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			r, err := p.Do(ctx, e.Addr(), &Request{Method: "GET", Target: "/", Host: "h", Attribute: ownByID})
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			if err == nil {
				r.Close()
			}
			if outcome.KindOf(err) != outcome.Unknown || err == nil {
				t.Errorf("got error %v, want one of kind unknown", err)
			}
			if took > endlessLimit {
				t.Errorf("given up after %s, want at most %s", took, endlessLimit)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > endlessBytes {
				t.Errorf("allocated %d bytes, want at most %d", n, endlessBytes)
			}
			select {
			case <-e.Closed():
			case <-time.After(endlessLimit):
				t.Error("the connection was not closed")
			}
		})
	}
}

// Guards against an answer that comes so slowly that it never ends and holds its request until the deadline.
func TestSlowAnswersWithoutEndAreGivenUp(t *testing.T) {
	for _, c := range endlessHeads {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := startEndless(t, endless.Answer{Head: c.head, Piece: c.piece[:1], Pause: 50 * time.Millisecond})
			ctx, cancel := context.WithTimeout(t.Context(), 3*stepTimeout)
			defer cancel()
			began := time.Now()
			_, err := New(time.Now).Do(ctx, e.Addr(), &Request{Method: "GET", Target: "/", Host: "h", Attribute: ownByID})
			if took := time.Since(began); err == nil || ctx.Err() != nil || took > 2*stepTimeout {
				t.Errorf("got error %v after %s, want one within %s", err, took, 2*stepTimeout)
			}
		})
	}
}

// Guards against a request whose cancellation is lost as it comes while a part of the answer is read.
func TestCancellationWhileAHeadIsRead(t *testing.T) {
	e := startEndless(t, endless.Answer{Head: "HTTP/1.1 200 OK\r\nX-Note: ", Piece: "x", Pause: 10 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := New(time.Now).Do(ctx, e.Addr(), &Request{Method: "GET", Target: "/", Host: "h"})
	if took := time.Since(began); err == nil || took > stepTimeout/2 {
		t.Errorf("got error %v after %s, want one soon after 100ms", err, took)
	}
	<-e.Closed()
}
