package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"fieldvale/bill"
	"fieldvale/claim"
	"fieldvale/outcome"
	"fieldvale/pool"
	"fieldvale/quarantine"
	"fieldvale/version"
)

// finishTimeout bounds the time for recording the end of a claim.
const finishTimeout = 3 * time.Second

// Call answers a call of a plain service.
func (r *Router) Call(ctx context.Context, q ServiceRequest) (ServiceResult, error) {
	v := r.view.Get()
	if v.Active == nil {
		return ServiceResult{}, notRun(NotReady, "no configuration is in force yet")
	}
	s, ok := v.Active.Service(q.Caller.Team, q.Service)
	if !ok {
		return ServiceResult{}, notRun(ServiceNotFound, "service "+q.Service+" does not exist")
	}
	x, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	q.Once = q.Once || s.IsNonIdempotent(q.Call)
	if !q.Once {
		return r.callService(x, q)
	}
	if q.IdempotencyKey == "" {
		return ServiceResult{}, notRun(IdempotencyKeyRequired, q.Service+"/"+q.Call+" may not be repeated: give an Idempotency-Key")
	}
	return r.callOnce(x, q, s.ChecksIdempotencyKey)
}

// callOnce claims the idempotency key, sends the call once and records the result.
func (r *Router) callOnce(ctx context.Context, q ServiceRequest, checksKey bool) (ServiceResult, error) {
	k := q.Caller.Team + "/" + q.Caller.Customer.Name
	c := claim.New(k, q.IdempotencyKey, uuid.NewString(), r.self, q.Deadline)
	d, f, err := r.claims.Claim(ctx, c)
	if err != nil {
		return r.callUnclaimed(ctx, q, checksKey, err)
	}
	if d != claim.Send {
		return r.claimNotGranted(d, f)
	}
	a, err := r.callService(ctx, q)
	r.finishClaim(c, a, err)
	return a, err
}

// callUnclaimed handles a call for which no claim was granted because of an error. It is sent
// only to a service that itself rejects a second call with the same key.
func (r *Router) callUnclaimed(ctx context.Context, q ServiceRequest, checksKey bool, err error) (ServiceResult, error) {
	if checksKey {
		return r.callService(ctx, q)
	}
	f := notRun(ClaimsUnavailable, "the right to run this once can't be had now")
	f.Cause = err
	f.RetryAt = r.clock().Add(time.Second)
	return ServiceResult{}, f
}

func (r *Router) claimNotGranted(d claim.Verdict, f claim.Claim) (ServiceResult, error) {
	switch d {
	case claim.Replay:
		v := r.view.Get()
		return ServiceResult{Answer: ServiceAnswer{Status: f.Status, Body: f.Answer, ContentType: jsonType}, Replayed: true, Revision: v.Active.Revision()}, nil
	case claim.RanBefore:
		return ServiceResult{}, &Failure{Code: AlreadyRan, Outcome: outcome.Ran, Message: "the request ran before; its answer is not kept"}
	case claim.Expired:
		return ServiceResult{}, notRun(DeadlineExceeded, "the deadline passed before the request was sent")
	}
	return ServiceResult{}, &Failure{Code: MayHaveRun, Outcome: outcome.Unknown, Message: "a request with this key may have run"}
}

const jsonType = "application/json"

// finishClaim records the answer, or frees the claim if the call is known not to have run. With
// an unknown outcome the claim stays until it expires.
func (r *Router) finishClaim(c claim.Claim, a ServiceResult, err error) {
	x, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	switch {
	case err == nil:
		err = r.claims.Finish(x, c.WithAnswer(a.Answer.Status, a.Answer.Body))
	case failed(err).Outcome == outcome.NotRun:
		err = r.claims.Finish(x, c.WithNotRun())
	default:
		return
	}
	if err != nil {
		r.hooks.claimNotRecorded(c, err)
	}
}

// callService tries replicas in turn until one answers. A call that may not be repeated is
// retried only if the replica is known not to have run it.
func (r *Router) callService(ctx context.Context, q ServiceRequest) (ServiceResult, error) {
	p := r.view.Get().byService[q.Service]
	if f := r.enterLimiter(q.Service, q.Caller, p, q.Deadline); f != nil {
		return ServiceResult{}, refused(f)
	}
	start := r.clock()
	a, err := r.tryServiceReplicas(ctx, q)
	r.leaveLimiter(q.Service, q.Caller, start, q.Deadline, err)
	if err != nil {
		return ServiceResult{}, failed(err)
	}
	r.billCall(q)
	return ServiceResult{Answer: a, Revision: r.view.Get().Active.Revision()}, nil
}

func (r *Router) tryServiceReplicas(ctx context.Context, q ServiceRequest) (ServiceAnswer, error) {
	var tried []string
	var last error
	var retryAt time.Time
	g := r.newGuard(q.content())
	for range maxAttempts {
		if g.Check(ctx) != nil {
			last = lessCertain(last, quarantined(&g))
			break
		}
		var b *pool.Replica
		if b, retryAt = r.takeReplica(ctx, q.Service, r.view.Get().byService[q.Service], pool.Request{}, tried, 0); b == nil {
			g.CancelTrial()
			break
		}
		a, err := r.callReplica(ctx, b, q)
		g.Report(quarantine.RequestResult{Outcome: r.quarantineOutcomeOf(b, err), Replica: b.ID})
		r.backends.done(b.ID, err, r.clock())
		if err == nil {
			return a, nil
		}
		r.hooks.attemptFailed(FailedAttempt{Request: q.ID, Service: q.Service, Replica: b.ID, Err: err})
		tried, last = append(tried, b.ID), lessCertain(last, err)
		if ctx.Err() != nil || !r.takeRetry(err, q.Once) {
			return a, last
		}
	}
	if last == nil {
		last = r.noReplica(retryAt)
	}
	return ServiceAnswer{}, last
}

// callReplica makes one attempt. It checks the deadline immediately before sending, so that a
// process that was paused after its claim sends nothing.
func (r *Router) callReplica(ctx context.Context, b *pool.Replica, q ServiceRequest) (ServiceAnswer, error) {
	if !r.clock().Before(q.Deadline) {
		return ServiceAnswer{}, outcome.New(outcome.NotRun, "deadline", b.ID, errors.New("the deadline passed before the request was sent"))
	}
	return r.services.Call(ctx, b, ServiceCall{
		Call: q.Call, Body: q.Body, ContentType: q.ContentType, IdempotencyKey: q.IdempotencyKey, Deadline: q.Deadline, Once: q.Once,
	})
}

func (r *Router) billCall(q ServiceRequest) {
	id := q.ID
	if q.IdempotencyKey != "" {
		id = q.IdempotencyKey
	}
	l := bill.Line{Team: q.Caller.Team, Customer: q.Caller.Customer.Name, Version: version.New(q.Service, q.Call)}
	r.biller.Bill(id, l, bill.Amount{Requests: 1})
}
