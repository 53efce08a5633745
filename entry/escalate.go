package entry

import (
	"context"
	"time"
)

const (
	// surelyWrong is the confidence, out of 100, below which a model's answer
	// is wrong as a rule; between it and what is accepted the chance falls
	// evenly.
	surelyWrong = 30
	// wrongPart and doubtfulPart of the time left to the route's target are
	// how late a larger model's first event may be for an answer that is
	// surely wrong and for one just below what is accepted. When replicas are
	// short, those who gain most are served by the larger model in time,
	// instead of all too late.
	wrongPart    = 0.9
	doubtfulPart = 0.45
	// escalateReserve is the part of the allowed repeats that larger models
	// leave for requests that failed.
	escalateReserve = 0.25
	// middleFrom is the confidence from which the next larger model is likely
	// enough to do when the largest has no time.
	middleFrom = 25
)

// doubt drops the answer of a small model that does not trust it itself, as
// long as a larger one may be asked and would answer in time.
func (a *attempt) doubt(ctx context.Context, reply Reply) error {
	w := a.w
	c, ok := reply.Confidence()
	if ok {
		w.f.Confidence = c
	}
	last := len(w.q.Route.Models) - 1
	if !ok || w.model < 0 || w.model >= last || w.started || c >= w.r.acceptConfidence {
		return nil
	}
	if w.f.Runs >= w.q.Route.MaxAttempts || !w.escalate(ctx, c) {
		return nil
	}
	a.served, a.escalated = true, true
	return errPaid
}

// escalate moves the request to a larger model, if one can answer in time and
// the budget allows the repeat. It places the request there.
func (w *forwarding) escalate(ctx context.Context, confidence float64) bool {
	last := len(w.q.Route.Models) - 1
	if w.move(ctx, last, confidence) {
		return true
	}
	return w.model+1 < last && confidence >= middleFrom && w.move(ctx, w.model+1, confidence)
}

// move places the request with the model, if it will answer in time.
func (w *forwarding) move(ctx context.Context, model int, confidence float64) bool {
	from, tried := w.model, w.tried
	w.model, w.tried = model, nil
	p := w.take(ctx)
	if p != nil && w.inTime(p, confidence) && w.r.mayRepeat(w.f.Service, escalateReserve) {
		w.next = p
		return true
	}
	if p != nil {
		w.unplace(p)
		w.r.backends.release(p.replica.ID)
	}
	w.model, w.tried = from, tried
	return false
}

// inTime reports whether the first event will come soon enough for what there
// is to gain.
func (w *forwarding) inTime(p *placed, confidence float64) bool {
	if p.ready == 0 || w.q.Route.Target <= 0 {
		return true
	}
	left := w.q.Arrived.Add(w.q.Route.Target).Sub(w.r.clock())
	gain := min(1, max(0, (w.r.acceptConfidence-confidence)/(w.r.acceptConfidence-surelyWrong)))
	part := doubtfulPart + gain*(wrongPart-doubtfulPart)
	return w.r.delays.expect(w.f.Service, p.ready) <= time.Duration(part*float64(left))
}
