package exchange

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/entry"
	"fieldvale/outcome"
)

// closeMark at the end of a scripted response makes the server close the connection
// after it.
const closeMark = "\x00"

// startScripted starts a server that sends the given responses, one for each request of
// a connection, and returns its address.
func startScripted(t *testing.T, responses ...string) string {
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
			go func() {
				defer c.Close()
				b := make([]byte, 64<<10)
				for _, a := range responses {
					if _, err := c.Read(b); err != nil {
						return
					}
					a, end := strings.CutSuffix(a, closeMark)
					_, _ = io.WriteString(c, a)
					if end {
						return
					}
				}
				_, _ = c.Read(b)
			}()
		}
	}()
	return l.Addr().String()
}

func get(p *Pool, addr string, mine func(http.Header) Attribution) (string, error) {
	x, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := p.Do(x, addr, &Request{Method: "GET", Target: "/", Host: "h", Attribute: mine})
	if err != nil {
		return "", err
	}
	defer r.Close()
	b, err := io.ReadAll(r)
	return string(b), err
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: a\r\n\r\nok"

// A response to another request, left on a reused connection, must not be returned as
// the response to this one.
func TestSkipsResponsesToOtherRequests(t *testing.T) {
	stray := strings.ReplaceAll(ok, "Id: a", "Id: b")
	mine := func(h http.Header) Attribution {
		if h.Get("Id") == "a" {
			return Own
		}
		return Other
	}
	if b, err := get(New(time.Now), startScripted(t, stray+ok), mine); err != nil || b != "ok" {
		t.Errorf("got body %q and error %v, want body ok and no error", b, err)
	}
	if _, err := get(New(time.Now), startScripted(t, stray+stray+stray), mine); !errors.Is(err, ErrUnmatched) {
		t.Errorf("only responses to other requests: got error %v, want ErrUnmatched", err)
	}
}

// A connection must not be reused if the server closes it or if bytes follow the
// response, since the next request would then fail or get a wrong response.
func TestReusesOnlyCleanConnections(t *testing.T) {
	for _, c := range []struct {
		name, response string
		// dialed is how many connections two requests need.
		dialed int
	}{
		{"clean", ok, 1},
		{"surplus bytes", ok + "more", 2},
		{"closing", strings.ReplaceAll(ok, "Id:", "Connection: close\r\nId:"), 2},
		{"idle timeout of zero", strings.ReplaceAll(ok, "Id:", "Keep-Alive: timeout=0\r\nId:"), 2},
	} {
		p := New(time.Now)
		a := startScripted(t, c.response, c.response)
		for range 2 {
			if b, err := get(p, a, nil); err != nil || b != "ok" {
				t.Fatalf("%s: got body %q and error %v, want body ok and no error", c.name, b, err)
			}
		}
		if p.Dialed() != c.dialed {
			t.Errorf("%s: got %d connections opened, want %d", c.name, p.Dialed(), c.dialed)
		}
	}
}

// A failure must be NotRun only if no byte was sent: a caller retries NotRun failures
// elsewhere, which would run a request twice if the server had received it.
func TestFailuresReportWhetherBytesWereSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := l.Addr().String()
	_ = l.Close()
	if _, err := get(New(time.Now), a, nil); outcome.KindOf(err) != outcome.NotRun {
		t.Errorf("no listener: got error %v, want outcome NotRun", err)
	}
	if _, err := get(New(time.Now), startScripted(t, closeMark), nil); outcome.KindOf(err) != outcome.Unknown {
		t.Errorf("no response: got error %v, want outcome Unknown", err)
	}
	if _, err := get(New(time.Now), startScripted(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"+closeMark), nil); err == nil {
		t.Error("truncated response: got no error, want one")
	}
}

// A server may respond before it has read a long request body. If the connection were
// reused, the server would read the rest of that body as the next request.
func TestEarlyResponseToLongBody(t *testing.T) {
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
			b := make([]byte, 100)
			_, _ = c.Read(b)
			_, _ = io.WriteString(c, ok)
		}
	}()
	p := New(time.Now)
	q := &Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 16<<20)}
	for range 2 {
		r, err := p.Do(t.Context(), l.Addr().String(), q)
		if err != nil {
			t.Fatal(err)
		}
		if b, err := io.ReadAll(r); err != nil || string(b) != "ok" {
			t.Fatalf("got body %q and error %v, want body ok and no error", b, err)
		}
		r.Close()
	}
	if p.Dialed() != 2 {
		t.Errorf("got %d connections opened, want 2: the first request's body was not written completely", p.Dialed())
	}
}

// lateConn returns from writing a long body some time after the bytes have left.
type lateConn struct{ net.Conn }

func (c lateConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if len(b) > maxInlineBody {
		time.Sleep(2 * time.Millisecond)
	}
	return n, err
}

// Guards against a new connection for each long body where the response is read before the writer of the
// body has returned.
func TestConnectionIsKeptWhereWritingTheBodyReturnsLate(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "ok")
	}))
	t.Cleanup(s.Close)
	p := New(time.Now).WithDialer(DialFunc(func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := DialDirect(ctx, addr)
		return lateConn{c}, err
	}))
	for range 2 {
		r, err := p.Do(t.Context(), s.Listener.Addr().String(), &Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 4<<10)})
		if err != nil {
			t.Fatal(err)
		}
		if b, err := io.ReadAll(r); err != nil || string(b) != "ok" {
			t.Fatalf("got body %q and error %v, want body ok and no error", b, err)
		}
		r.Close()
		time.Sleep(5 * time.Millisecond)
	}
	if p.Dialed() != 1 {
		t.Errorf("got %d connections opened, want 1", p.Dialed())
	}
}

// unbounded is memory without a bound.
type unbounded struct{}

func (unbounded) Grow(int64) error { return nil }
func (unbounded) Release()         {}

// A stream that is cut within an event must not yield the partial event, nor end as if it
// were complete. Nor may an event be split where a line fills the read buffer: if the stream is
// resumed after the first part, the rest of the event is lost.
func TestEventsAreComplete(t *testing.T) {
	fullLine := "data: " + strings.Repeat(".", readBufferSize-len("data: "))
	for _, c := range []struct {
		name, body string
		ids        string
		end        error
	}{
		{"two", "id: 1\ndata: x\n\nid: 2\n\n", "1 2", io.EOF},
		{"carriage returns", "id: 1\r\ndata: x\r\n\r\n", "1", io.EOF},
		{"cut in a line", "id: 1\n\nid: 2\nda", "1", io.ErrUnexpectedEOF},
		{"cut between lines", "id: 1\n\nid: 2\n", "1", io.ErrUnexpectedEOF},
		{"none", "", "", io.EOF},
		{"a line as long as the read buffer", "id: 1\n" + fullLine + "\n\nid: 2\n\n", "1 2", io.EOF},
		{"a line as long as the read buffer, with CRLF", "id: 1\r\n" + fullLine + "\r\n\r\nid: 2\r\n\r\n", "1 2", io.EOF},
		{"an id in the middle of a long line", "id: 1\n" + fullLine + "id: 9\n\n", "1", io.EOF},
	} {
		e := NewEventReader(strings.NewReader(c.body), unbounded{})
		var l []string
		var v entry.Event
		var err error
		for {
			if v, err = e.Next(); err != nil {
				break
			}
			l = append(l, v.ID)
		}
		if g := strings.Join(l, " "); g != c.ids || !errors.Is(err, c.end) {
			t.Errorf("%s: got ids %q then %v, want %q then %v", c.name, g, err, c.ids, c.end)
		}
	}
}

// Guards against comments that count as progress of a stream, and events that don't.
func TestCommentsAreNoEvents(t *testing.T) {
	for block, want := range map[string]bool{
		"\n": true, ": busy\n\n": true, "retry: 9\n\n": true, "identity: 1\n\n": true, ":\r\n\r\n": true,
		"data: x\n\n": false, "data\n\n": false, "id: 1\n\n": false, ": busy\nid:1\r\n\r\n": false, "event: x\ndata:\n\n": false,
	} {
		e, err := NewEventReader(strings.NewReader(block), unbounded{}).Next()
		if e.IsComment != want || err != nil {
			t.Errorf("%q: got comment %t and error %v, want %t", block, e.IsComment, err, want)
		}
	}
}

// For any body, the returned events together must be a prefix of it, and all of it if the
// body ends at an event's end.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\n\n"))
	f.Add([]byte("\n\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		e := NewEventReader(bytes.NewReader(b), unbounded{})
		var got []byte
		for {
			v, err := e.Next()
			if err != nil {
				if errors.Is(err, io.EOF) && !bytes.Equal(got, b) {
					t.Fatalf("body %q: got io.EOF after events %q, want all of the body", b, got)
				}
				break
			}
			got = append(got, v.Data...)
		}
		if !bytes.HasPrefix(b, got) {
			t.Fatalf("body %q: got events %q, want a prefix of the body", b, got)
		}
	})
}

// Guards against idle connections that hold descriptors when there are none left, and against their reuse.
func TestCloseIdleClosesAndForgets(t *testing.T) {
	p := New(time.Now)
	addr := startScripted(t, ok, ok)
	if b, err := get(p, addr, nil); err != nil || b != "ok" {
		t.Fatalf("got body %q and error %v, want body ok and no error", b, err)
	}
	if n := p.CloseIdle(); n != 1 {
		t.Errorf("%d connections closed, want 1", n)
	}
	if n := p.CloseIdle(); n != 0 {
		t.Errorf("%d connections closed again, want 0", n)
	}
	if b, err := get(p, addr, nil); err != nil || b != "ok" || p.Dialed() != 2 {
		t.Errorf("got body %q, error %v and %d connections opened, want body ok on a second connection", b, err, p.Dialed())
	}
}
