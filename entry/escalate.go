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
	// leave for requests that failed. An answer that is wrong is worth little
	// more than none, so it is small.
	escalateReserve = 0.1
	// nextAccepts is the confidence from which the next model's answer is passed
	// on.
	nextAccepts = evenOdds
)

// What became of an answer that its model doubts, for the log.
const (
	doubtMoved    = "asked a larger model"
	doubtAttempts = "kept: attempts used"
	doubtBudget   = "kept: no budget"
	doubtLate     = "kept: no larger model in time"
	doubtTrial    = "kept: sent on trial"
)

// doubt drops the answer of a small model that does not trust it itself, as
// long as a larger one may be asked and would answer in time.
func (a *attempt) doubt(ctx context.Context, reply Reply) error {
	w := a.w
	c, ok := reply.Confidence()
	if ok {
		w.learnLead(c)
		w.f.Confidence = c
	}
	last := len(w.q.Route.Models) - 1
	if !ok || w.model < 0 || w.model >= last || w.started || c >= w.accepts() {
		return nil
	}
	if w.watch.onTrial {
		// An answer that is cut says nothing of what the content does to replicas.
		w.f.Escalation = doubtTrial
		return nil
	}
	w.f.Escalation = w.escalate(ctx, c)
	if w.f.Escalation != doubtMoved {
		return nil
	}
	a.served, a.escalated = true, true
	w.f.Dropped = append(w.f.Dropped, DroppedAnswer{Model: w.f.Model, Confidence: c})
	return errPaid
}

// accepts is the confidence from which the model's answer is passed on.
func (w *forwarding) accepts() float64 {
	if w.model > 0 {
		return min(nextAccepts, w.r.acceptConfidence)
	}
	return w.r.acceptConfidence
}

// escalate moves the request to a larger model, if one can answer in time and
// the budget allows the repeat. It places the request there, and says what
// became of it.
func (w *forwarding) escalate(ctx context.Context, confidence float64) string {
	if w.f.Runs >= w.q.Route.MaxAttempts {
		return doubtAttempts
	}
	why := doubtLate
	for _, m := range w.larger(confidence) {
		if why = w.move(ctx, m, confidence); why != doubtLate {
			return why
		}
	}
	return why
}

// larger returns the models to ask for an answer of that confidence, the
// preferred first.
func (w *forwarding) larger(confidence float64) []int {
	m := w.q.Route.Models
	next, last := w.model+1, len(m)-1
	if next == last {
		return []int{last}
	}
	b := bounds(w.r.leads.of(w.leadKey(next)), costShare(w.q.Table.Service(w.f.Service), m[next], m[last]))
	switch {
	case confidence < b.atAll:
		return []int{last}
	case confidence >= b.first:
		return []int{next, last}
	}
	return []int{last, next}
}

// leadKey names the model whose lead over the next smaller one is learnt.
func (w *forwarding) leadKey(model int) string { return w.f.Service + "/" + w.q.Route.Models[model] }

// learnLead learns from an answer that comes after the next smaller model's,
// once.
func (w *forwarding) learnLead(confidence float64) {
	if w.model > 0 && w.askedBy == w.model-1 {
		w.r.leads.saw(w.leadKey(w.model), w.f.Confidence, confidence)
	}
	w.askedBy = -1
}

// move places the request with the model, if it will answer in time.
func (w *forwarding) move(ctx context.Context, model int, confidence float64) string {
	from, tried := w.model, w.tried
	w.model, w.tried = model, nil
	p := w.take(ctx)
	why := doubtLate
	if p != nil && w.inTime(p, confidence) {
		if w.r.mayRepeat(w.f.Service, escalateReserve) {
			w.next, w.askedBy = p, from
			return doubtMoved
		}
		why = doubtBudget
	}
	if p != nil {
		w.giveBack(p)
	}
	w.model, w.tried = from, tried
	return why
}

// inTime reports whether the first event will come soon enough for what there
// is to gain.
func (w *forwarding) inTime(p *placed, confidence float64) bool {
	if p.ready == 0 || w.q.Route.Target <= 0 {
		return true
	}
	left := w.q.ArrivedAt.Add(w.q.Route.Target).Sub(w.r.clock())
	gain := min(1, max(0, (w.r.acceptConfidence-confidence)/(w.r.acceptConfidence-surelyWrong)))
	part := doubtfulPart + gain*(wrongPart-doubtfulPart)
	return w.r.delays.Expect(w.f.Service, p.ready) <= time.Duration(part*float64(left))
}
