package httpconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fieldvale/adapter/httpconn"
	"fieldvale/outcome"
)

// startServer calls f with the number of each connection and the connection, until the test
// ends, and returns the server's address.
func startServer(t *testing.T, f func(n int, c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(n, c)
		}
	}()
	return l.Addr().String()
}

func do(c *httpconn.Client, addr string, body string) (string, error) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	q.Header.SetMethod("POST")
	q.SetRequestURI("http://" + addr + "/")
	q.SetBodyString(body)
	x, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := c.Do(x, addr, q, p)
	return string(p.Body()), err
}

// ok is the header of a response with a body of two bytes.
const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"

func readRequest(r *bufio.Reader) bool {
	var q fasthttp.Request
	return q.Read(r) == nil
}

// A refused connection must be NotRun, or the request could not be sent to another server.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := l.Addr().String()
	_ = l.Close()
	if _, err := do(httpconn.New(), a, "x"); outcome.KindOf(err) != outcome.NotRun {
		t.Errorf("no listener: got error %v, want outcome NotRun", err)
	}
}

// A failure after bytes were sent must be Unknown: the server may have run the request, and a
// retry would run it twice.
func TestFailureAfterBytesWereSentIsUnknown(t *testing.T) {
	for name, f := range map[string]func(int, net.Conn){
		"closed after the request": func(_ int, c net.Conn) { readRequest(bufio.NewReader(c)); _ = c.Close() },
		"reset after a byte": func(_ int, c net.Conn) {
			_, _ = c.Read(make([]byte, 1))
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		},
		"truncated header": func(_ int, c net.Conn) {
			readRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.")
			_ = c.Close()
		},
		"truncated body": func(_ int, c net.Conn) {
			readRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, ok+"a")
			_ = c.Close()
		},
		"no response": func(_ int, c net.Conn) { readRequest(bufio.NewReader(c)) },
	} {
		if _, err := do(httpconn.New(), startServer(t, f), "x"); err == nil || outcome.KindOf(err) != outcome.Unknown {
			t.Errorf("%s: got error %v, want outcome Unknown", name, err)
		}
	}
}

// A second or late response on a connection must not be returned as the response to the next
// request.
func TestSecondResponseIsDiscarded(t *testing.T) {
	a := startServer(t, func(n int, c net.Conn) {
		r := bufio.NewReader(c)
		for readRequest(r) {
			body := "a" + string(rune('0'+n))
			_, _ = io.WriteString(c, ok+body)
			_, _ = io.WriteString(c, ok+"!!")
		}
	})
	c := httpconn.New()
	for range 20 {
		g, err := do(c, a, "x")
		if err != nil || g == "!!" {
			t.Fatalf("got body %q and error %v, want the first response's body and no error", g, err)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// A request over an idle connection that the server has closed would fail with an unknown
// outcome.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	a := startServer(t, func(_ int, c net.Conn) {
		readRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, ok+"ok")
		_ = c.Close()
	})
	c := httpconn.New()
	for range 10 {
		if _, err := do(c, a, "x"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// A stream whose context is cancelled must end with an error, not as if it were complete, and
// close its connection, so that the server stops.
func TestCancelledStream(t *testing.T) {
	ended := make(chan struct{})
	a := startServer(t, func(_ int, c net.Conn) {
		readRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		_, _ = c.Read(make([]byte, 1))
		close(ended)
	})
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	q.SetRequestURI("http://" + a + "/")
	x, cancel := context.WithCancel(context.Background())
	l, err := httpconn.New().Stream(x, a, q, p)
	if err != nil {
		t.Fatal(err)
	}
	go cancel()
	if _, err := io.ReadAll(l.Body()); err == nil {
		t.Error("cancelled stream: got no error, want one")
	}
	l.Close()
	<-ended
}
