package entry

import (
	"context"
	"time"
)

const (
	// certainlyWrongConfidence is the confidence, out of 100, below which a model's answer
	// is wrong as a rule; between it and what is accepted the chance falls
	// evenly.
	certainlyWrongConfidence = 30
	// wrongTimePart and doubtfulPart of the time left to the route's target are
	// how late a larger model's first event may be for an answer that is
	// surely wrong and for one just below what is accepted. When replicas are
	// short, those who gain most are served by the larger model in time,
	// instead of all too late.
	wrongTimePart      = 0.9
	borderlineTimePart = 0.45
	// escalationReserve is the part of the allowed repeats that larger models
	// leave for requests that failed. An answer that is wrong is worth little
	// more than none, so it is small.
	escalationReserve = 0.1
	// nextModelAcceptConfidence is the confidence from which the next model's answer is passed
	// on.
	nextModelAcceptConfidence = evenOdds
)

// What became of an answer that its model doubts, for the log.
const (
	escalated      = "asked a larger model"
	keptNoAttempts = "kept: attempts used"
	keptNoBudget   = "kept: no budget"
	keptTooLate    = "kept: no larger model in time"
	keptOnTrial    = "kept: sent on trial"
)

// maybeEscalate drops the answer of a small model that does not trust it itself, as
// long as a larger one may be asked and would answer in time.
func (a *attempt) maybeEscalate(ctx context.Context, reply Reply) error {
	w := a.w
	c, ok := reply.Confidence()
	if ok {
		w.learnGain(c)
		w.result.Confidence = c
	}
	last := len(w.q.Route.Models) - 1
	if !ok || w.modelIndex < 0 || w.modelIndex >= last || w.answerStarted || c >= w.acceptConfidence() {
		return nil
	}
	if w.quarantineCheck.onTrial {
		// An answer that is cut says nothing of what the content does to replicas.
		w.result.Escalation = keptOnTrial
		return nil
	}
	w.result.Escalation = w.escalate(ctx, c)
	if w.result.Escalation != escalated {
		return nil
	}
	a.succeeded, a.escalated = true, true
	w.result.Dropped = append(w.result.Dropped, DroppedAnswer{Model: w.result.Model, Confidence: c})
	return errRetryGranted
}

// acceptConfidence is the confidence from which the model's answer is passed on.
func (w *forwarding) acceptConfidence() float64 {
	if w.modelIndex > 0 {
		return min(nextModelAcceptConfidence, w.r.acceptConfidence)
	}
	return w.r.acceptConfidence
}

// escalate moves the request to a larger model, if one can answer in time and
// the budget allows the repeat. It places the request there, and says what
// became of it.
func (w *forwarding) escalate(ctx context.Context, confidence float64) string {
	if w.result.Runs >= w.q.Route.MaxAttempts {
		return keptNoAttempts
	}
	why := keptTooLate
	for _, m := range w.largerModels(confidence) {
		if why = w.escalateTo(ctx, m, confidence); why != keptTooLate {
			return why
		}
	}
	return why
}

// largerModels returns the models to ask for an answer of that confidence, the
// preferred first.
func (w *forwarding) largerModels(confidence float64) []int {
	m := w.q.Route.Models
	next, last := w.modelIndex+1, len(m)-1
	if next == last {
		return []int{last}
	}
	b := nextModelBoundsFor(w.r.confidenceGains.of(w.gainKey(next)), costShare(w.q.Table.Service(w.result.Service), m[next], m[last]))
	switch {
	case confidence < b.askAtAll:
		return []int{last}
	case confidence >= b.askFirst:
		return []int{next, last}
	}
	return []int{last, next}
}

// gainKey names the model whose lead over the next smaller one is learnt.
func (w *forwarding) gainKey(model int) string {
	return w.result.Service + "/" + w.q.Route.Models[model]
}

// learnGain learns from an answer that comes after the next smaller model's,
// once.
func (w *forwarding) learnGain(confidence float64) {
	if w.modelIndex > 0 && w.escalatedFrom == w.modelIndex-1 {
		w.r.confidenceGains.observe(w.gainKey(w.modelIndex), w.result.Confidence, confidence)
	}
	w.escalatedFrom = -1
}

// escalateTo places the request with the model, if it will answer in time.
func (w *forwarding) escalateTo(ctx context.Context, model int, confidence float64) string {
	from, tried := w.modelIndex, w.tried
	w.modelIndex, w.tried = model, nil
	p := w.assignReplica(ctx)
	why := keptTooLate
	if p != nil && w.answersInTime(p, confidence) {
		if w.r.takeOpaqueRetry(w.result.Service, escalationReserve) {
			w.nextAssignment, w.escalatedFrom = p, from
			return escalated
		}
		why = keptNoBudget
	}
	if p != nil {
		w.releaseAssignment(p)
	}
	w.modelIndex, w.tried = from, tried
	return why
}

// answersInTime reports whether the first event will come soon enough for what there
// is to gain.
func (w *forwarding) answersInTime(p *assignment, confidence float64) bool {
	if p.firstEventMs == 0 || w.q.Route.Target <= 0 {
		return true
	}
	left := w.q.ArrivedAt.Add(w.q.Route.Target).Sub(w.r.clock())
	gain := min(1, max(0, (w.r.acceptConfidence-confidence)/(w.r.acceptConfidence-certainlyWrongConfidence)))
	part := borderlineTimePart + gain*(wrongTimePart-borderlineTimePart)
	return w.r.firstEventDelays.Expect(w.result.Service, p.firstEventMs) <= time.Duration(part*float64(left))
}
