package reply_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"fieldvale/reply"
)

// longTimeout bounds a wait that is expected to end immediately.
const longTimeout = 10 * time.Second

// Responses must reach the request with their id, and only the first one counts.
func TestDeliverMatchesRequestID(t *testing.T) {
	w := reply.New[string](7)
	a, ok := w.Call(t.Context(), longTimeout, func(id uint64) error {
		if w.Deliver(id+1, "other") {
			t.Error("Deliver accepted a response with an unknown id")
		}
		if !w.Deliver(id, "first") || !w.Deliver(id, "second") {
			t.Error("Deliver reported a pending request as not pending")
		}
		return nil
	})
	if !ok || a != "first" {
		t.Errorf("got response %q, %t, want \"first\", true", a, ok)
	}
}

// A request that fails must end without a response and leave nothing pending, or late
// responses would be taken for it and the set would grow.
func TestFailedRequestIsRemoved(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name   string
		ctx    context.Context
		within time.Duration
		err    error
	}{
		{"send fails", t.Context(), longTimeout, errors.New("link down")},
		{"out of time", t.Context(), time.Millisecond, nil},
		{"context cancelled", cancelled, longTimeout, nil},
	} {
		w := reply.New[string](0)
		var id uint64
		_, ok := w.Call(c.ctx, c.within, func(n uint64) error {
			id = n
			return c.err
		})
		if ok {
			t.Errorf("%s: got a response, want none", c.name)
		}
		if w.Deliver(id, "late") {
			t.Errorf("%s: Deliver accepted a late response", c.name)
		}
	}
}

// On a busy machine, a response and the timeout can become ready at the same time. Select
// then chooses at random, so that a response that had arrived could be lost: a granted permit
// stayed unused, and simulations with immediate responses were not reproducible.
func TestResponseAtTimeoutIsReturned(t *testing.T) {
	for i := range 50 {
		w := reply.New[string](0)
		_, ok := w.Call(t.Context(), time.Nanosecond, func(id uint64) error {
			time.Sleep(time.Millisecond)
			w.Deliver(id, "response")
			return nil
		})
		if !ok {
			t.Fatalf("request %d: got no response, want the one delivered before the timeout was noticed", i)
		}
	}
}
