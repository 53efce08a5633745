package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/bill"
	"fieldvale/outcome"
	"fieldvale/policy"
	"fieldvale/pool"
)

// Sink writes a stream to the caller.
type Sink interface {
	// Head is called once, before the first chunk.
	Head(Result) error
	// Chunk writes one chunk. An error means that the caller disconnected.
	Chunk(b []byte) error
}

// Stream answers a request in chunks. The last step's chunks are relayed on arrival; a rated step
// is collected first and reaches the caller only if it is accepted, or if the last step fails.
// Stream returns nil only if the complete answer was written to the sink and billed.
func (r *Router) Stream(ctx context.Context, q Request, s Sink) error {
	v := r.view.Get()
	if v.Active == nil {
		return notRun(NotReady, "no configuration is in force yet")
	}
	x, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	p, err := r.plan(v, q)
	if err != nil {
		return err
	}
	c := &cascadeRun{session: q.Session}
	l := len(p) - 1
	for _, y := range p[:l] {
		n := &collector{}
		ok, err := r.collect(x, q, c, y, n)
		if err == nil && ok {
			return r.replay(q, c, s, n, false)
		}
		if err == nil {
			n.best = true
		}
		c.bestStream = keepBest(c.bestStream, n)
	}
	return r.streamLastStep(x, q, c, p[l], s)
}

// collector buffers a stream that must be rated before the caller receives it.
type collector struct {
	chunks [][]byte
	best   bool
}

func keepBest(o, n *collector) *collector {
	if n.best {
		return n
	}
	return o
}

func (c *collector) add(b []byte) error {
	c.chunks = append(c.chunks, append([]byte(nil), b...))
	return nil
}

// collect runs a rated step of a streamed request.
func (r *Router) collect(ctx context.Context, q Request, c *cascadeRun, y policy.Step, n *collector) (bool, error) {
	a, err := r.streamStep(ctx, q, c, y, func(Result) error { n.chunks = nil; return nil }, n.add)
	if err != nil {
		return false, err
	}
	return r.accept(ctx, q, c, y, a), nil
}

// replay writes a collected answer to the caller.
func (r *Router) replay(q Request, c *cascadeRun, s Sink, n *collector, belowTarget bool) error {
	f := r.finish(q, c, c.version, belowTarget)
	if err := s.Head(f); err != nil {
		return callerGone(err)
	}
	for _, b := range n.chunks {
		if err := s.Chunk(b); err != nil {
			return callerGone(err)
		}
	}
	return nil
}

// streamLastStep runs the last step, whose chunks are relayed on arrival.
func (r *Router) streamLastStep(ctx context.Context, q Request, c *cascadeRun, y policy.Step, s Sink) error {
	started := false
	head := func(f Result) error {
		started = true
		return s.Head(f)
	}
	a, err := r.streamStep(ctx, q, c, y, head, s.Chunk)
	if err != nil && !started && c.bestStream != nil {
		return r.replay(q, c, s, c.bestStream, true)
	}
	if err != nil {
		r.billEarlierSteps(q, c)
		return r.streamFailure(c, err, started)
	}
	r.recordUnratedAnswer(r.view.Get(), q, c, []byte(a.Text))
	r.finish(q, c, c.version, false)
	return nil
}

// billEarlierSteps bills the earlier steps of a request whose last step failed.
func (r *Router) billEarlierSteps(q Request, c *cascadeRun) {
	if c.spent != (bill.Amount{}) {
		r.bill(r.view.Get(), q, c.version, c.spent)
	}
}

func (r *Router) streamFailure(c *cascadeRun, err error, started bool) error {
	f := *failed(err)
	if c.mayHaveRun || started {
		f.Outcome = outcome.Unknown
	}
	return &f
}

func callerGone(err error) error {
	return outcome.New(outcome.Unknown, "caller", "caller", errors.Mark(err, errCallerGone))
}

// streamStep streams one step, trying replicas in turn. A stream that breaks off is resumed on
// another replica from the next chunk.
func (r *Router) streamStep(ctx context.Context, q Request, c *cascadeRun, y policy.Step, head func(Result) error, chunk func([]byte) error) (a Answer, err error) {
	sent := 0
	for range maxRepicks {
		a, err = r.streamOnce(ctx, q, c, y, head, chunk, &sent)
		if !errors.Is(err, errWithdrawn) || sent > 0 {
			break
		}
	}
	return a, err
}

func (r *Router) streamOnce(ctx context.Context, q Request, c *cascadeRun, y policy.Step, head func(Result) error, chunk func([]byte) error, sent *int) (Answer, error) {
	v := r.view.Get()
	x, n, moved, err := r.pickVersion(v, q, c.session, y.Model)
	if err != nil {
		return Answer{}, err
	}
	sink := func(b []byte) error {
		if *sent == 0 {
			f := Result{RequestID: q.ID, Version: x, Revision: v.Active.Revision(), Session: n, SessionMoved: c.sessionMoved || moved}
			if err := head(f); err != nil {
				return callerGone(err)
			}
		}
		*sent++
		if err := chunk(b); err != nil {
			return callerGone(err)
		}
		return nil
	}
	var a Answer
	var began time.Time
	err = r.runOnVersion(ctx, q, x, func(b *pool.Replica) (err error) {
		began = r.clock()
		t := newAttempt(q, x)
		t.ResumeChunks = *sent
		a, err = r.engines.Stream(ctx, b, t, sink)
		return err
	})
	if err != nil {
		c.mayHaveRun = c.mayHaveRun || outcome.KindOf(err) == outcome.Unknown && !isFailure(err)
		return a, err
	}
	c.slow = r.answerIsSlow(v, q.Caller, x, a, r.clock().Sub(began))
	c.version, c.session, c.sessionMoved = x, n, c.sessionMoved || moved
	c.spent = c.spent.Plus(price(v, x, a))
	return a, nil
}
