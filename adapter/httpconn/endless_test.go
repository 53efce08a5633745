package httpconn_test

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"fieldvale/adapter/httpconn"
	"fieldvale/outcome"
	"fieldvale/standin/endless"
)

// Guards against a backend server whose answer never ends, or whose head is that of two answers, and that takes the
// memory or the time of an entry, or is taken for an answer.
func TestAnswersThatAreNoAnswerAreGivenUp(t *testing.T) {
	const maxTime, maxAllocated = time.Second, 64 << 20
	for _, c := range []struct{ name, head, piece string }{
		{"status line", "HTTP/1.1 200 ", "OK "},
		{"one header", "HTTP/1.1 200 OK\r\nX-Note: ", "x"},
		{"headers", "HTTP/1.1 200 OK\r\n", "X-Note: busy\r\n"},
		{"interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"body", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x"},
		{"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbusy\r\n"},
		{"cut refusal and answer", "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nX-Note: aHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		{"cut status and answer", "HTTP/1.1 503 BuHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, err := endless.Listen(endless.Answer{Head: c.head, Piece: strings.Repeat(c.piece, 500)})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(e.Close)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			_, err = do(httpconn.New(), e.Addr(), "x")
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			if err == nil || outcome.KindOf(err) != outcome.Unknown {
				t.Errorf("got error %v, want one of kind unknown", err)
			}
			if took > maxTime {
				t.Errorf("given up after %s, want at most %s", took, maxTime)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocated {
				t.Errorf("allocated %d bytes, want at most %d", n, maxAllocated)
			}
		})
	}
}
