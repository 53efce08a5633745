package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fieldvale/platform/sitetest"
)

const (
	// earlyUpload is the length of a request that is answered before it was read, in bytes. It is longer than the
	// buffers of a loopback connection.
	earlyUpload = 8 << 20
	// earlyRequests is how many requests are sent in each case, as the order of a connection's events differs.
	earlyRequests = 10
)

// resetEarly returns a handler that sends the status and the bytes without a length, and resets the connection after
// the delay.
func resetEarly(r *sitetest.Replica, status, sent string, delay time.Duration) func(net.Conn, sitetest.Request) {
	return func(k net.Conn, q sitetest.Request) {
		_, _ = io.WriteString(k, r.ResponseHead(q, status)+sent)
		time.Sleep(delay)
		_ = k.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against the beginning of an answer that reaches the client as a whole one, or against a second run of its
// request, where the replica reset the connection during the upload.
func TestAnswerResetDuringUploadReachesNoClientAsWhole(t *testing.T) {
	for _, c := range []struct{ name, path, status, sent string }{
		{"answer", "/once/x", "200 OK", strings.Repeat("x", 1000)},
		{"failure", "/once/x", "500 Internal Server Error", strings.Repeat("x", 1000)},
		{"stream", "/stream/x", "200 OK", unframedEvents[:oneEvent]},
	} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(c.name+" after "+delay.String(), func(t *testing.T) {
				s := newTestEnv(t)
				s.store.PutConfigWithLimits(1, map[string]any{"max_body_bytes": 2 * earlyUpload}, 100, "k1")
				for _, id := range []string{"r1", "r2"} {
					r := s.startReplica(id, "v1")
					r.EarlyHandler = resetEarly(r, c.status, c.sent, delay)
				}
				s.startWithRetries()
				body, whole := strings.Repeat("y", earlyUpload), 0
				for range earlyRequests {
					a := s.send("POST", c.path, body, apiKeyHeader)
					if a.err == nil && a.body == c.sent {
						whole++
					}
					if a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable {
						t.Errorf("status %d, want another one: the request may have run", a.status)
					}
				}
				if whole > 0 {
					t.Errorf("%d of %d answers that broke off reached the client as whole", whole, earlyRequests)
				}
				runs := len(s.replicas["r1"].Requests()) + len(s.replicas["r2"].Requests())
				if c.path == "/once/x" && runs != earlyRequests {
					t.Errorf("%d requests that may run once reached replicas %d times", earlyRequests, runs)
				}
			})
		}
	}
}

// Guards against a request that may be repeated and gets the beginning of an answer, although another replica has a
// whole one.
func TestAnswerResetDuringUploadIsReplaced(t *testing.T) {
	s := newTestEnv(t)
	s.store.PutConfigWithLimits(1, map[string]any{"max_body_bytes": 2 * earlyUpload}, 100, "k1")
	broken := s.startReplica("r1", "v1")
	broken.EarlyHandler = resetEarly(broken, "200 OK", "part", 0)
	s.startReplica("r2", "v1")
	s.startWithRetries()
	for range earlyRequests {
		a := s.send("POST", "/again/x", strings.Repeat("y", earlyUpload), apiKeyHeader)
		if a.status != http.StatusOK || a.body != "ok" || a.err != nil {
			t.Errorf("got status %d, body %q and error %v, want 200 and ok", a.status, a.body, a.err)
		}
	}
}
