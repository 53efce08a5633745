package handover_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/handover"
)

// state is passed on after any revision but 7.
type state string

var errNone = errors.New("nothing yet")

func (s state) Serve(_ context.Context, after int64, write func([]byte) error) error {
	if after == 7 {
		return errNone
	}
	return write([]byte(s))
}

func TestStateIsHandedOver(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	want := strings.Repeat("state ", 100_000)
	go func() { _ = handover.Serve(l, state(want)) }()
	c := handover.NewClient(time.Now)
	for _, after := range []int64{-1, 0, 12} {
		if b, err := c.Fetch(t.Context(), l.Addr().String(), after); err != nil || string(b) != want {
			t.Errorf("after %d: %d bytes, %v", after, len(b), err)
		}
	}
	if _, err := c.Fetch(t.Context(), l.Addr().String(), 7); err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("where there is nothing to hand over: %v", err)
	}
}

// An instance that takes the question and says nothing is given up.
func TestASilentInstanceIsGivenUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	x, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := handover.NewClient(time.Now).Fetch(x, l.Addr().String(), -1); err == nil || x.Err() != nil {
		t.Errorf("%v, %v", err, x.Err())
	}
}
