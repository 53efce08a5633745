// Package world runs real nodes and routers of several instances within one OS
// process, with fakes behind their interfaces: processes that can be killed and
// paused, network partitions in one or both directions, a store, and engines and
// plain services with faults. Under testing/synctest hours of simulated time take
// milliseconds. The package has no model of time, load or network.
package world

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Proc is a simulated process that can be killed and paused.
type Proc struct {
	Name       string
	DataCentre string

	mu     sync.Mutex
	killed bool
	// paused is closed when the process resumes or is killed, and nil while it runs.
	paused chan struct{}
}

// Kill ends the process. Calls that it makes or serves have no further effect
// once they check its state.
func (p *Proc) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// Pause stops the process until Resume.
func (p *Proc) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil && !p.killed {
		p.paused = make(chan struct{})
	}
}

// Resume continues a paused process.
func (p *Proc) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// Alive reports whether the process was not killed.
func (p *Proc) Alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.killed
}

var errKilled = errors.New("world: process was killed")

// waitWhilePaused blocks while the process is paused and returns errKilled once it
// was killed.
func (p *Proc) waitWhilePaused() error {
	for {
		p.mu.Lock()
		killed, paused := p.killed, p.paused
		p.mu.Unlock()
		if killed {
			return errKilled
		}
		if paused == nil {
			return nil
		}
		<-paused
	}
}

// CallError is the failure of a call between two processes. Sent reports whether
// the request may have reached the other process.
type CallError struct {
	Sent  bool
	Cause error
}

// Error returns the message of the cause.
func (e *CallError) Error() string { return e.Cause.Error() }

// dialTimeout is the time after which a dial over a partitioned link fails.
const dialTimeout = 500 * time.Millisecond

// oneWayLatency is the latency from one process to another.
const oneWayLatency = time.Millisecond

// invoke calls f in process `to` on behalf of process `from`. Kills, pauses and
// partitions of both processes affect the call as they affect a network call: a
// request that was delivered is handled even if the caller no longer waits for the
// response.
func invoke[T any](ctx context.Context, w *World, from, to *Proc, f func(context.Context) (T, error)) (T, error) {
	var z T
	if err := from.waitWhilePaused(); err != nil {
		return z, &CallError{Cause: err}
	}
	if err := w.dial(ctx, from, to); err != nil {
		return z, &CallError{Cause: err}
	}
	type reply struct {
		v   T
		err error
	}
	c := make(chan reply, 1)
	x, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if to.waitWhilePaused() != nil {
			return
		}
		v, err := f(x)
		if to.waitWhilePaused() == nil && !w.isPartitioned(to, from) {
			c <- reply{v, err}
		}
	}()
	var r reply
	received := false
	t := time.NewTicker(dialTimeout)
	defer t.Stop()
	for !received {
		select {
		case r = <-c:
			received = true
		case <-ctx.Done():
			return z, &CallError{Sent: true, Cause: ctx.Err()}
		case <-t.C:
			if !to.Alive() {
				return z, &CallError{Sent: true, Cause: errors.Newf("world: connection to %s was lost: process was killed", to.Name)}
			}
		}
	}
	if err := from.waitWhilePaused(); err != nil {
		return z, &CallError{Sent: true, Cause: err}
	}
	return r.v, r.err
}

// dial connects to a process. If it fails, nothing was sent.
func (w *World) dial(ctx context.Context, from, to *Proc) error {
	if err := sleep(ctx, oneWayLatency); err != nil {
		return err
	}
	if !to.Alive() {
		return errors.Newf("world: %s refused the connection", to.Name)
	}
	if w.isPartitioned(from, to) || w.isPartitioned(to, from) {
		if err := sleep(ctx, dialTimeout); err != nil {
			return err
		}
		return errors.Newf("world: dial %s: timeout after %s", to.Name, dialTimeout)
	}
	return nil
}

// sleep waits for d or until the context ends, whose error it returns.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
