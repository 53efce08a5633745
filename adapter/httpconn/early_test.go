package httpconn_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fieldvale/adapter/httpconn"
	"fieldvale/outcome"
	"fieldvale/standin/early"
)

// earlyRequests is how many requests are sent in each case, as the order of a connection's events differs.
const earlyRequests = 20

// Guards against an answer without a length that broke off during the upload and is taken for whole.
func TestResetDuringUploadIsNoEndOfAnswer(t *testing.T) {
	const unframed, framed = "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
	body := strings.Repeat("x", 1000)
	for _, c := range []struct {
		name, sent string
		end        early.End
		// read is the part of the request that the server reads before it closes the connection.
		read float64
		// mayBeWhole and mayBreak say what may become of the answer. One with a length is lost if the request could not
		// be written.
		mayBeWhole, mayBreak bool
	}{
		{"no length, reset", unframed + body, early.Reset, 0, false, true},
		{"no length, closed with the request unread", unframed + body, early.Close, 0, false, true},
		{"no length, closed after half of the request", unframed + body, early.ReadAndClose, 0.5, false, true},
		{"no length, closed after the request", unframed + body, early.ReadAndClose, 1, true, false},
		{"no length, ended before the request was read", unframed + body, early.HalfClose, 1, true, false},
		{"no length, ended and closed with the request unread", unframed + body, early.HalfCloseUnread, 0, false, true},
		{"length, reset", framed + body, early.Reset, 0, true, true},
		{"length, closed after the request", framed + body, early.ReadAndClose, 1, true, false},
		{"part of the length, closed after the request", framed + body[:900], early.ReadAndClose, 1, false, true},
	} {
		for _, length := range []int{16 << 10, 64 << 10, 1 << 20, 16 << 20} {
			if c.end == early.HalfCloseUnread && length < 1<<20 {
				continue // the server's system has taken all of the request
			}
			for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d kB, after %s", c.name, length>>10, delay), func(t *testing.T) {
					e, err := early.Listen(early.Answer{Sent: c.sent, Delay: delay, End: c.end, Read: c.read})
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(e.Close)
					sent, whole, broken := strings.Repeat("y", length), 0, 0
					for range earlyRequests {
						switch b, err := do(httpconn.New(), e.Addr(), sent); {
						case err == nil && b == body:
							whole++
						case outcome.KindOf(err) == outcome.Unknown:
							broken++
						default:
							t.Errorf("got body %.40q and error %v, want all or an error of kind unknown", b, err)
						}
					}
					if whole > 0 && !c.mayBeWhole || broken > 0 && !c.mayBreak {
						t.Errorf("%d answers were taken for whole and %d for broken; may be whole: %t, may be broken: %t", whole, broken, c.mayBeWhole, c.mayBreak)
					}
				})
			}
		}
	}
}
