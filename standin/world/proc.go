// Package world puts real nodes and routers together within one process,
// over fakes at their ports: processes that can be killed and paused, links
// that can be cut one way or both, a store, engines and plain services with
// faults. Under testing/synctest its hours pass in milliseconds. It is no
// simulator of a cluster: it has no model of time, load or network.
package world

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Proc is a process that can be killed and paused.
type Proc struct {
	Name string
	// Site is the data centre.
	Site string

	mu     sync.Mutex
	dead   bool
	paused chan struct{}
}

// Kill ends the process: nothing that it was about to do happens.
func (p *Proc) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// Pause stops the process until Resume.
func (p *Proc) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil && !p.dead {
		p.paused = make(chan struct{})
	}
}

// Resume lets a paused process go on where it stood.
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
	return !p.dead
}

var errDead = errors.New("world: process is dead")

// gate waits while the process is paused and fails once it is dead.
func (p *Proc) gate() error {
	for {
		p.mu.Lock()
		d, c := p.dead, p.paused
		p.mu.Unlock()
		if d {
			return errDead
		}
		if c == nil {
			return nil
		}
		<-c
	}
}

// LinkError is a call that failed between two processes. Sent says that the
// request may have arrived.
type LinkError struct {
	Sent  bool
	Cause error
}

// Error returns the cause.
func (e *LinkError) Error() string { return e.Cause.Error() }

// dialTimeout is how long a cut link is tried.
const dialTimeout = 500 * time.Millisecond

// hop is the time of one way between two processes.
const hop = time.Millisecond

// invoke calls f in the process to on behalf of the process from. The call
// goes through kills, pauses and cuts of both as bytes on a network would:
// what has arrived is worked on even if nobody waits for the answer.
func invoke[T any](ctx context.Context, w *World, from, to *Proc, f func(context.Context) (T, error)) (T, error) {
	var z T
	if err := from.gate(); err != nil {
		return z, &LinkError{Cause: err}
	}
	if err := w.dial(ctx, from, to); err != nil {
		return z, &LinkError{Cause: err}
	}
	type reply struct {
		v   T
		err error
	}
	c := make(chan reply, 1)
	x, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if to.gate() != nil {
			return
		}
		v, err := f(x)
		if to.gate() == nil && !w.isCut(to, from) {
			c <- reply{v, err}
		}
	}()
	var r reply
	got := false
	t := time.NewTicker(dialTimeout)
	defer t.Stop()
	for !got {
		select {
		case r = <-c:
			got = true
		case <-ctx.Done():
			return z, &LinkError{Sent: true, Cause: ctx.Err()}
		case <-t.C:
			if !to.Alive() {
				return z, &LinkError{Sent: true, Cause: errors.Newf("world: connection to %s broke", to.Name)}
			}
		}
	}
	if err := from.gate(); err != nil {
		return z, &LinkError{Sent: true, Cause: err}
	}
	return r.v, r.err
}

// dial reaches the process or fails with nothing sent.
func (w *World) dial(ctx context.Context, from, to *Proc) error {
	if err := pause(ctx, hop); err != nil {
		return err
	}
	if !to.Alive() {
		return errors.Newf("world: %s refused", to.Name)
	}
	if w.isCut(from, to) || w.isCut(to, from) {
		if err := pause(ctx, dialTimeout); err != nil {
			return err
		}
		return errors.Newf("world: %s is not reached", to.Name)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
