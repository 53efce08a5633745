package handover_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/handover"
	"fieldvale/connlimit"
	"fieldvale/standin/heads"
)

// state is a Source that writes its text, and fails for the changes after revision 7.
type state string

var errNone = errors.New("no state yet")

func (s state) Serve(_ context.Context, after int64, write func([]byte) error) error {
	if after == 7 {
		return errNone
	}
	return write([]byte(s))
}

// The state must be transferred completely even if it is large, and a Source that fails must
// give an error instead of an empty state.
func TestStateTransfer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	want := strings.Repeat("state ", 100_000)
	go func() { _ = handover.Serve(l, connlimit.New(time.Now, connlimit.Limits{}, nil, nil), state(want), nil) }()
	c := handover.NewClient(time.Now)
	for _, after := range []int64{-1, 0, 12} {
		if b, err := c.Fetch(t.Context(), l.Addr().String(), after); err != nil || string(b) != want {
			t.Errorf("after revision %d: got %d bytes and error %v, want the complete state and no error", after, len(b), err)
		}
	}
	if _, err := c.Fetch(t.Context(), l.Addr().String(), 7); err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("failing source: got error %v, want one with status 503", err)
	}
}

// A fetch from an instance that accepts the connection but never responds must fail before the
// context's deadline, or no other instance could be tried.
func TestFetchFromSilentInstanceFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	x, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := handover.NewClient(time.Now).Fetch(x, l.Addr().String(), -1); err == nil || x.Err() != nil {
		t.Errorf("got error %v and context error %v, want an error before the context is done", err, x.Err())
	}
}

// Guards against a part of the state that is taken for all of it.
func TestPartOfTheStateIsNone(t *testing.T) {
	for name, c := range map[string]struct {
		head, body string
		want       bool
	}{
		"whole":                        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "state", true},
		"cut":                          {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "sta", false},
		"to the end of the connection": {"HTTP/1.1 200 OK\r\n\r\n", "sta", false},
		"longer than allowed":          {"HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\n", strings.Repeat("x", 40_000_000), false},
		"status 000":                   {"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\n", "state", false},
	} {
		l, err := heads.Serve(c.head + c.body)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		b, err := handover.NewClient(time.Now).Fetch(t.Context(), l.Addr().String(), -1)
		if (err == nil) != c.want || c.want && string(b) != c.body {
			t.Errorf("%s: got %d bytes and error %v, want the state: %t", name, len(b), err, c.want)
		}
	}
}
