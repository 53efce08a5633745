package exchange

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/entry"
	"fieldvale/outcome"
)

// closes at the end of an answer says that the connection closes after it.
const closes = "\x00"

// scripted answers each connection's requests with the given bytes, one after
// another.
func scripted(t *testing.T, answers ...string) string {
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
				for _, a := range answers {
					if _, err := c.Read(b); err != nil {
						return
					}
					a, end := strings.CutSuffix(a, closes)
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

func get(p *Pool, addr string, mine func(http.Header) bool) (string, error) {
	x, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := p.Do(x, addr, &Request{Method: "GET", Target: "/", Host: "h", Mine: mine})
	if err != nil {
		return "", err
	}
	defer r.Close()
	b, err := io.ReadAll(r)
	return string(b), err
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: a\r\n\r\nok"

func TestAnswersOfOtherRequestsAreSkipped(t *testing.T) {
	stray := strings.ReplaceAll(ok, "Id: a", "Id: b")
	mine := func(h http.Header) bool { return h.Get("Id") == "a" }
	if b, err := get(New(time.Now), scripted(t, stray+ok), mine); err != nil || b != "ok" {
		t.Errorf("%q, %v", b, err)
	}
	if _, err := get(New(time.Now), scripted(t, stray+stray+stray), mine); !errors.Is(err, ErrStray) {
		t.Errorf("strays only: %v", err)
	}
}

func TestConnectionsAreKeptOnlyWhenClean(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		// dialed is how many connections two requests need
		dialed int
	}{
		{"clean", ok, 1},
		{"surplus bytes", ok + "more", 2},
		{"closing", strings.ReplaceAll(ok, "Id:", "Connection: close\r\nId:"), 2},
		{"no time to keep", strings.ReplaceAll(ok, "Id:", "Keep-Alive: timeout=0\r\nId:"), 2},
	} {
		p := New(time.Now)
		a := scripted(t, c.answer, c.answer)
		for range 2 {
			if b, err := get(p, a, nil); err != nil || b != "ok" {
				t.Fatalf("%s: %q, %v", c.name, b, err)
			}
		}
		if p.Dialed() != c.dialed {
			t.Errorf("%s: %d connections, want %d", c.name, p.Dialed(), c.dialed)
		}
	}
}

func TestFailuresSayWhetherBytesWereSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := l.Addr().String()
	_ = l.Close()
	if _, err := get(New(time.Now), a, nil); outcome.Of(err) != outcome.NotRun {
		t.Errorf("nobody listens: %v", err)
	}
	if _, err := get(New(time.Now), scripted(t, closes), nil); outcome.Of(err) != outcome.Unknown {
		t.Errorf("no answer: %v", err)
	}
	if _, err := get(New(time.Now), scripted(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"+closes), nil); err == nil {
		t.Error("half an answer is taken for a whole one")
	}
}

// A server may answer before it has read a long body; the rest of the body
// must not become the next request.
func TestEarlyAnswerToALongBody(t *testing.T) {
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
			t.Fatalf("%q, %v", b, err)
		}
		r.Close()
	}
	if p.Dialed() != 2 {
		t.Errorf("%d connections, want 2: the first one's body was not written whole", p.Dialed())
	}
}

func TestEventsAreWhole(t *testing.T) {
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
	} {
		e := NewEvents(strings.NewReader(c.body))
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
			t.Errorf("%s: %q then %v, want %q then %v", c.name, g, err, c.ids, c.end)
		}
	}
}

// The events and what is left over make up the body, whatever it is.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\n\n"))
	f.Add([]byte("\n\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		e := NewEvents(bytes.NewReader(b))
		var got []byte
		for {
			v, err := e.Next()
			if err != nil {
				if errors.Is(err, io.EOF) && !bytes.Equal(got, b) {
					t.Fatalf("%q ended as whole with %q", b, got)
				}
				break
			}
			got = append(got, v.Data...)
		}
		if !bytes.HasPrefix(b, got) {
			t.Fatalf("%q came as %q", b, got)
		}
	})
}
