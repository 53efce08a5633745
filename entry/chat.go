package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/bill"
	"fieldvale/outcome"
	"fieldvale/policy"
	"fieldvale/pool"
	"fieldvale/session"
	"fieldvale/version"
)

// cascadeRun is the state of a chat request while the steps of its plan run.
type cascadeRun struct {
	session      session.Session
	sessionMoved bool
	spent        bill.Amount
	// best is the last complete answer that was rated below the step's threshold.
	best    *Answer
	version version.ID
	// slow is set if the last answer's latency counts against its version.
	slow bool
	// bestStream holds the chunks of best if the request is streamed.
	bestStream *collector
	// mayHaveRun is set if a step failed that may have run.
	mayHaveRun bool
}

// maxRepicks bounds how often a step picks another version because its version was withdrawn
// meanwhile.
const maxRepicks = 3

// Chat answers a request with one complete answer.
func (r *Router) Chat(ctx context.Context, q Request) (Answer, Result, error) {
	v := r.view.Get()
	if v.Active == nil {
		return Answer{}, Result{}, notRun(NotReady, "no configuration is in force yet")
	}
	x, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	p, err := r.plan(v, q)
	if err != nil {
		return Answer{}, Result{}, err
	}
	c := &cascadeRun{session: q.Session}
	for i, s := range p {
		a, ok, err := r.step(x, q, c, s)
		if err != nil && i == len(p)-1 {
			return r.finishWithBest(q, c, err)
		}
		if ok {
			return a, r.finish(q, c, c.version, false), nil
		}
	}
	return r.finishWithBest(q, c, nil)
}

// finishWithBest ends a cascade whose last step gave no answer. It returns the best answer of the
// earlier steps, or the failure if there is none.
func (r *Router) finishWithBest(q Request, c *cascadeRun, err error) (Answer, Result, error) {
	if c.best != nil {
		return *c.best, r.finish(q, c, c.version, true), nil
	}
	if err == nil {
		err = notRun(ModelNotAllowed, "the plan has no steps")
	}
	f := *failed(err)
	if c.mayHaveRun {
		f.Outcome = outcome.Unknown
	}
	return Answer{}, Result{}, &f
}

// finish bills the request and returns the metadata of its answer.
func (r *Router) finish(q Request, c *cascadeRun, x version.ID, belowTarget bool) Result {
	v := r.view.Get()
	r.bill(v, q, x, c.spent)
	return Result{RequestID: q.ID, Version: x, Revision: v.Active.Revision(), Session: c.session, SessionMoved: c.sessionMoved, BelowTarget: belowTarget}
}

// step runs one step of the plan. ok reports that its answer may be returned.
func (r *Router) step(ctx context.Context, q Request, c *cascadeRun, s policy.Step) (a Answer, ok bool, err error) {
	for range maxRepicks {
		a, err = r.stepOnce(ctx, q, c, s)
		if !errors.Is(err, errWithdrawn) {
			break
		}
	}
	if err != nil {
		c.mayHaveRun = c.mayHaveRun || outcome.KindOf(err) == outcome.Unknown && !isFailure(err)
		return a, false, err
	}
	return a, r.accept(ctx, q, c, s, a), nil
}

func isFailure(err error) bool {
	var f *Failure
	return errors.As(err, &f)
}

func (r *Router) stepOnce(ctx context.Context, q Request, c *cascadeRun, s policy.Step) (Answer, error) {
	v := r.view.Get()
	x, n, moved, err := r.pickVersion(v, q, c.session, s.Model)
	if err != nil {
		return Answer{}, err
	}
	var a Answer
	var sent time.Time
	err = r.runOnVersion(ctx, q, x, func(b *pool.Replica) (err error) {
		sent = r.clock()
		a, err = r.engines.Chat(ctx, b, newAttempt(q, x))
		return err
	})
	if err != nil {
		return a, err
	}
	c.slow = r.answerIsSlow(v, q.Caller, x, a, r.clock().Sub(sent))
	c.version, c.session, c.sessionMoved = x, n, c.sessionMoved || moved
	c.spent = c.spent.Plus(price(v, x, a))
	return a, nil
}

// accept decides whether the answer reaches the step's quality. If the rating fails, the next
// step is run, as quality has priority over cost.
func (r *Router) accept(ctx context.Context, q Request, c *cascadeRun, s policy.Step, a Answer) bool {
	if s.Accept == 0 {
		r.recordUnratedAnswer(r.view.Get(), q, c, a.Body)
		return true
	}
	c.best = &a
	f, err := r.rater.Rate(ctx, q.Body, []byte(a.Text))
	if err != nil {
		r.hooks.ratingFailed(q.ID, err)
		return false
	}
	r.recordRating(c, f)
	r.mu.Lock()
	r.cascadeLearner.RecordRating(learnerKey(q, s), f >= s.Accept)
	r.mu.Unlock()
	return f >= s.Accept
}
