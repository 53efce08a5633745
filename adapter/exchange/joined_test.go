package exchange

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// answerTo returns what the pool makes of the bytes that a server sends after a request: the status of the answer,
// whether it says that it did not run, or an error.
func answerTo(t *testing.T, sent []byte) (status int, notRun bool, err error) {
	p := New(time.Now).WithDialer(DialFunc(func(context.Context, string) (net.Conn, error) {
		c, s := net.Pipe()
		go func() {
			defer s.Close()
			if _, err := s.Read(make([]byte, 4<<10)); err != nil {
				return
			}
			_, _ = s.Write(sent)
		}()
		return c, nil
	}))
	r, err := p.Do(t.Context(), "server", &Request{Method: "GET", Target: "/", Host: "h", ID: "a", Attribute: func(h http.Header) Attribution {
		if l := h["Id"]; len(l) != 1 {
			return Unattributed
		} else if l[0] != "a" {
			return Other
		}
		return Own
	}})
	if err != nil {
		return 0, false, err
	}
	defer r.Close()
	return r.Status, r.Header.Get("Not-Run") != "", nil
}

// For any bytes in front of an answer, a refusal is taken from them only if they are a whole refusal by themselves.
func FuzzJoinedAnswers(f *testing.F) {
	const answer = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
	for _, id := range []string{"", "Id: a\r\n", "Id: b\r\n"} {
		for _, framing := range []string{"Content-Length: 0\r\n", "Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n", ""} {
			f.Add([]byte(fmt.Sprintf("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n%s%sX-Note: ab\r\n\r\n", id, framing)), 60)
		}
	}
	f.Fuzz(func(t *testing.T, first []byte, cut int) {
		first = first[:min(len(first), max(0, cut))]
		status, notRun, err := answerTo(t, append(first, answer...))
		if err != nil || status == http.StatusOK && !notRun {
			return
		}
		alone, aloneNotRun, err := answerTo(t, first)
		if err != nil || alone != status || aloneNotRun != notRun {
			t.Errorf("%q before an answer: got status %d, not run %t; alone status %d, not run %t, error %v", first, status, notRun, alone, aloneNotRun, err)
		}
	})
}
