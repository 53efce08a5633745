package process_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/socket"
)

const (
	// controlDescriptors is how many files the process of fieldvale-control may open, and controlMemory bounds its
	// resident memory in bytes.
	controlDescriptors = 256
	controlMemory      = 256 << 20
	// strangers is the number of clients without a key at each listener; unfinishedBytes is the size of their bodies.
	strangers       = 200
	unfinishedBytes = 100_000
	// callTime is how long an operator waits for an answer before trying again.
	callTime = 5 * time.Second
	// answerTime is within how long one of the attempts must be answered.
	answerTime = 30 * time.Second
)

// startControlProcess starts fieldvale-control as a process of its own.
func (r *testInstance) startControlProcess() *exec.Cmd {
	s := r.control
	for _, a := range []string{s.PeerListen, s.LocalListen, s.AdminListen, s.MetricsListen} {
		socket.Release(a)
	}
	return r.startProcess("fieldvale-control", fmt.Sprintf(`[control]
id = %s
data_centre = %s
peer_listen = %s
peer_addr = %s
local_listen = %s
admin_listen = %s
metrics_listen = %s
fleet_key = %s
stop_within = 1s
[platform]
store = %s
list = %s
[tls]
cert = %s
key = %s
[admin root]
role = platform
key_sha256 = %s
[times]
load = 100ms
list = 100ms
flush = 200ms
`, s.ID, s.DataCentre, s.PeerListen, s.PeerAddr, s.LocalListen, s.AdminListen, s.MetricsListen, s.FleetKey, s.StoreAddr, s.ListAddr, s.TLS.Cert, s.TLS.Key, s.Admins[0].KeyHash), controlDescriptors)
}

// stranger is a kind of client without a key.
type stranger struct {
	name    string
	request string
}

// strangerKinds are requests after which the client keeps its connection.
func strangerKinds() []stranger {
	body := strings.Repeat("x", unfinishedBytes-1)
	return []stranger{
		{"a body that stops short", fmt.Sprintf("POST /fieldvale.v1.Admin/Status HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", unfinishedBytes, body)},
		{"a request and then nothing", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"a head that stops short", "GET / HTTP/1.1\r\nHost: h\r\n"},
	}
}

// stay opens connections to addr and sends the request on each, one connection after another, until ctx ends.
func (s stranger) stay(ctx context.Context, addr string, dial func(context.Context, string, string) (net.Conn, error)) {
	for ctx.Err() == nil {
		c, err := dial(ctx, "tcp", addr)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		end := context.AfterFunc(ctx, func() { _ = c.Close() })
		if _, err = io.WriteString(c, s.request); err == nil {
			_, _ = io.Copy(io.Discard, c)
		}
		end()
		_ = c.Close()
	}
}

// answersWithin repeats f, which may hang, until it returns no error. It fails the test after answerTime.
func (r *testInstance) answersWithin(condition string, f func() error) {
	r.t.Helper()
	answers := make(chan error)
	last := errors.New("no answer")
	start, attempts := time.Now(), 0
	for end := time.After(answerTime); ; {
		attempts++
		go func() {
			err := f()
			select {
			case answers <- err:
			case <-r.t.Context().Done():
			}
		}()
		select {
		case last = <-answers:
		case <-time.After(callTime):
		case <-end:
			r.t.Fatalf("%s: not within %v; last error: %v", condition, answerTime, last)
		}
		if last == nil {
			r.t.Logf("%s: after %v, attempt %d", condition, time.Since(start).Round(time.Millisecond), attempts)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against a process of fieldvale-control whose descriptors clients without a key take, so that operators, other
// instances and its own entry reach it no more.
func TestControlAnswersBesideStrangers(t *testing.T) {
	for _, s := range strangerKinds() {
		t.Run(s.name, func(t *testing.T) {
			r := newTestInstance(t)
			c := r.startControlProcess()
			change := func() error { return r.acceptPolicy("root") }
			r.answersWithin("the policy is accepted", change)
			x, cancel := context.WithCancel(t.Context())
			defer cancel()
			var w sync.WaitGroup
			for range strangers {
				w.Go(func() { s.stay(x, r.control.PeerListen, (&net.Dialer{}).DialContext) })
				w.Go(func() {
					s.stay(x, r.control.AdminListen, (&tls.Dialer{Config: &tls.Config{InsecureSkipVerify: true}}).DialContext)
				})
			}
			most := int64(0)
			for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				most = max(most, residentBytes(c.Process.Pid))
			}
			r.answersWithin("an operator's change is accepted beside the clients", change)
			r.startEntry()
			r.answersWithin("an entry that starts beside the clients answers", func() error {
				s, b := r.sendChat(false)
				if s != 200 {
					return errors.Newf("status %d: %s", s, b)
				}
				return nil
			})
			cancel()
			w.Wait()
			t.Logf("at most %.1f MB resident", float64(most)/(1<<20))
			if err := c.Process.Signal(syscall.Signal(0)); err != nil || residentBytes(c.Process.Pid) == 0 {
				t.Error("the process has ended")
			}
			if most > controlMemory {
				t.Errorf("resident memory: %d bytes, want at most %d", most, controlMemory)
			}
			if d, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.Process.Pid)); err != nil || len(d) > controlDescriptors {
				t.Errorf("open descriptors: %d, %v", len(d), err)
			}
		})
	}
}
