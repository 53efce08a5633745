package entry

import (
	"context"
	"time"

	"fieldvale/budget"
	"fieldvale/cascade"
	"fieldvale/route"
)

const (
	// certainlyWrongConfidence is the confidence, from 0 to 100, below which a model's answer is
	// almost always wrong. Between it and the accepted confidence the chance of a wrong answer
	// falls linearly.
	certainlyWrongConfidence = 30
	// wrongTimePart and borderlineTimePart are the parts of the time left to the route's target
	// within which a larger model's first event has to arrive, for a certainly wrong answer and
	// for one just below the accepted confidence. If replicas are short, the requests that gain
	// most get a timely answer from the larger model; otherwise all of them would be late.
	wrongTimePart      = 0.9
	borderlineTimePart = 0.45
	// nextModelAcceptConfidence is the confidence from which the answer of a model after the
	// smallest is passed on.
	nextModelAcceptConfidence = cascade.EvenOdds
	// defaultCostShare is the cost of the next model relative to the largest one's where the
	// configuration has none.
	defaultCostShare = 0.5
)

// Results of an escalation decision, for the log.
const (
	escalated      = "asked a larger model"
	keptNoAttempts = "kept: attempts used"
	keptNoBudget   = "kept: no budget"
	keptTooLate    = "kept: no larger model in time"
	keptIncomplete = "kept: no larger model complete in time"
	keptOnTrial    = "kept: sent on trial"
	keptOverShare  = "kept: customer over its share"
)

// maybeEscalate drops the answer of a small model with a low confidence, provided that a larger
// model may be used and would answer in time.
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
	if w.guard.IsOnTrial() {
		// Cutting the answer off would prevent the trial from showing whether the content crashes
		// replicas.
		w.result.Escalation = keptOnTrial
		return nil
	}
	if a.assignment.share.over {
		w.result.Escalation = keptOverShare
		w.reportShare(a.assignment, ShareNotEscalated)
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

// acceptConfidence is the confidence from which the current model's answer is passed on.
func (w *forwarding) acceptConfidence() float64 {
	if w.modelIndex > 0 {
		return min(nextModelAcceptConfidence, w.r.acceptConfidence)
	}
	return w.r.acceptConfidence
}

// escalate moves the request to a larger model if one can answer in time and the budget allows
// the retry. It assigns the request to a replica of that model and returns the result for the
// log.
func (w *forwarding) escalate(ctx context.Context, confidence float64) string {
	if w.result.Runs >= w.q.Route.MaxAttempts {
		return keptNoAttempts
	}
	result := keptTooLate
	for _, m := range w.largerModels(confidence) {
		if result = w.escalateTo(ctx, m, confidence); result != keptTooLate && result != keptIncomplete {
			return result
		}
	}
	return result
}

// largerModels returns the models to try after an answer of that confidence, in order of
// preference.
func (w *forwarding) largerModels(confidence float64) []int {
	m := w.q.Route.Models
	next, last := w.modelIndex+1, len(m)-1
	if next == last {
		return []int{last}
	}
	b := cascade.NewNextModelBounds(w.r.confidenceGains.Of(w.gainKey(next)), costShare(w.q.Table.Service(w.result.Service), m[next], m[last]))
	switch {
	case confidence < b.AskAtAll:
		return []int{last}
	case confidence >= b.AskFirst:
		return []int{next, last}
	}
	return []int{last, next}
}

// gainKey is the key of the model's confidence gain over the next smaller model.
func (w *forwarding) gainKey(model int) string {
	return w.result.Service + "/" + w.q.Route.Models[model]
}

// learnGain records the confidence gain of an answer that followed the next smaller model's, once
// per answer.
func (w *forwarding) learnGain(confidence float64) {
	if w.modelIndex > 0 && w.escalatedFrom == w.modelIndex-1 {
		w.r.confidenceGains.Observe(w.gainKey(w.modelIndex), w.result.Confidence, confidence)
	}
	w.escalatedFrom = -1
}

// escalateTo assigns the request to a replica of the model if it will answer in time.
func (w *forwarding) escalateTo(ctx context.Context, model int, confidence float64) string {
	from, tried := w.modelIndex, w.tried
	w.modelIndex, w.tried = model, nil
	p := w.assignReplica(ctx)
	result := w.mayEscalateTo(p, confidence)
	if result == escalated {
		w.nextAssignment, w.escalatedFrom = p, from
		return escalated
	}
	if p != nil {
		w.releaseAssignment(p)
	}
	w.modelIndex, w.tried = from, tried
	return result
}

// mayEscalateTo decides whether the assignment's model is asked, and takes the retry if it is. p may
// be nil.
func (w *forwarding) mayEscalateTo(p *assignment, confidence float64) string {
	if p == nil {
		return keptTooLate
	}
	if p.share.over {
		w.reportShare(p, ShareNotEscalated)
		return keptOverShare
	}
	if !w.answersInTime(p, confidence) {
		return keptTooLate
	}
	if inTime, known := w.completesInTime(p); known && !inTime {
		return keptIncomplete
	}
	if !w.takeRetry(budget.LargerModel) {
		return keptNoBudget
	}
	return escalated
}

// answersInTime reports whether the first event is expected early enough for the gain that the
// larger model promises.
func (w *forwarding) answersInTime(p *assignment, confidence float64) bool {
	if p.firstEventMs == 0 || w.q.Route.Target <= 0 {
		return true
	}
	left := w.q.ArrivedAt.Add(w.q.Route.Target).Sub(w.r.clock())
	gain := min(1, max(0, (w.r.acceptConfidence-confidence)/(w.r.acceptConfidence-certainlyWrongConfidence)))
	part := borderlineTimePart + gain*(wrongTimePart-borderlineTimePart)
	return w.r.firstEventDelays.Expect(w.result.Service, p.firstEventMs) <= time.Duration(part*float64(left))
}

// costShare is the cost of a model relative to another's.
func costShare(s route.Service, model, of string) float64 {
	a, b := s.Cost(model), s.Cost(of)
	if a <= 0 || b <= 0 {
		return defaultCostShare
	}
	return a / b
}
