package state

import (
	"context"
	"time"
)

// maxFirstConfigWait bounds how long a request waits at an instance that has just started
// for its first configuration. A client that is refused there loses an attempt, and may
// meet other instances that are starting as well: of 2,643 requests in the two seconds
// after all of 295 instances lost power, 358 were refused on every attempt. Nine in ten
// instances had their configuration 0.35 s after they accepted connections, the last one
// after 0.46 s.
const maxFirstConfigWait = 500 * time.Millisecond

// maxFirstConfigPart bounds the wait as a part of the request's remaining time, so that
// enough is left for an attempt at another instance.
const maxFirstConfigPart = 0.25

// firstConfig has the signals for requests that wait for the first configuration:
// confirmed is closed when it is confirmed, disconnected when the store can't be reached.
type firstConfig struct {
	confirmed    chan struct{}
	disconnected chan struct{}
}

func newFirstConfig() *firstConfig {
	return &firstConfig{confirmed: make(chan struct{}), disconnected: make(chan struct{})}
}

// AwaitFirstConfig waits until the first configuration is confirmed. It returns false at
// once if the store can't be reached, and after the wait that a request with the deadline
// can afford.
func (s *State) AwaitFirstConfig(ctx context.Context, deadline time.Time) bool {
	s.mu.Lock()
	confirmed, disconnected := s.firstConfig.confirmed, s.firstConfig.disconnected
	s.mu.Unlock()
	select {
	case <-confirmed:
		return true
	case <-disconnected:
		return false
	default:
	}
	left := time.Duration(maxFirstConfigPart * float64(deadline.Sub(s.clock())))
	t := time.NewTimer(min(maxFirstConfigWait, left))
	defer t.Stop()
	select {
	case <-confirmed:
		return true
	case <-disconnected:
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// signalFirstConfig wakes the requests that wait for the first configuration; s.mu is held.
func (s *State) signalFirstConfig() {
	if s.table == nil {
		return
	}
	select {
	case <-s.firstConfig.confirmed:
	default:
		close(s.firstConfig.confirmed)
	}
}
