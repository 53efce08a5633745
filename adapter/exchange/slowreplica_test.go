package exchange

import (
	"context"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"fieldvale/outcome"
)

// startUnreading starts a server that accepts connections and reads nothing. If it responds, it
// does so before it has read anything.
func startUnreading(t *testing.T, response string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			_, _ = c.Write([]byte(response))
		}
	}()
	return l.Addr().String()
}

// bodyWriters returns the number of goroutines that write a request's body.
func bodyWriters() int {
	b := make([]byte, 1<<20)
	return strings.Count(string(b[:runtime.Stack(b, true)]), "exchange.startUpload.func")
}

// A replica that does not read a request must not hold its body, nor the goroutine that writes it,
// for longer than the request lasts: until the deadline, until the client leaves, or until the
// response that the replica gave nevertheless is closed.
func TestReplicaThatDoesNotReadRequest(t *testing.T) {
	// The body is larger than the buffers of a loopback connection.
	q := &Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 32<<20)}
	const limit = 300 * time.Millisecond
	for _, c := range []struct {
		name, response string
		start          func() (context.Context, context.CancelFunc)
		responds       bool
	}{
		{"deadline", "", func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), limit)
		}, false},
		{"client leaves", "", func() (context.Context, context.CancelFunc) {
			x, cancel := context.WithCancel(context.Background())
			time.AfterFunc(limit, cancel)
			return x, cancel
		}, false},
		{"early response", ok, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), time.Minute)
		}, true},
	} {
		x, cancel := c.start()
		start := time.Now()
		r, err := New(time.Now).Do(x, startUnreading(t, c.response), q)
		if (err == nil) != c.responds {
			t.Fatalf("%s: got error %v, want responds %t", c.name, err, c.responds)
		}
		if err == nil {
			if bodyWriters() != 1 {
				t.Errorf("%s: got %d goroutines that write a body before Close, want 1", c.name, bodyWriters())
			}
			r.Close()
		} else if outcome.KindOf(err) != outcome.Unknown {
			t.Errorf("%s: got outcome %v, want Unknown", c.name, outcome.KindOf(err))
		}
		if d := time.Since(start); d > limit+time.Second {
			t.Errorf("%s: got the end after %s, want %s", c.name, d, limit)
		}
		end := time.Now().Add(2 * time.Second)
		for bodyWriters() > 0 && time.Now().Before(end) {
			time.Sleep(5 * time.Millisecond)
		}
		if n := bodyWriters(); n > 0 {
			t.Errorf("%s: got %d goroutines that write a body after the end, want 0", c.name, n)
		}
		cancel()
	}
}
