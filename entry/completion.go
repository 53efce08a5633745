package entry

import "fieldvale/route"

// placesByCompletion reports whether the request's replica is chosen by the time until
// the whole answer is complete. Callers of a route that allows long pauses between the
// events of a stream wait for the whole answer; for the others the time to the first
// event and an even pace matter more.
func (w *forwarding) placesByCompletion() bool {
	r := w.q.Route
	return w.r.completionPause > 0 && r.Kind == route.Stream && r.PauseTarget >= w.r.completionPause
}

// expectedOutputTokens is the expected number of tokens that are still to be generated.
func (w *forwarding) expectedOutputTokens() float64 {
	p := w.q.Prompt
	n := w.r.outputTokens.Expect(w.slotTimeKey(), p.EstimatedOutputTokens, p.MaxOutputTokens)
	sent := float64(w.result.Events) * w.tokensPerEvent()
	overrun := overrunPart * sent
	if p.MaxOutputTokens > 0 {
		overrun = min(overrun, float64(p.MaxOutputTokens)-sent)
	}
	return max(w.tokensPerEvent(), n-sent, overrun)
}

// overrunPart is the least expected rest of an answer, as a part of what was generated. Lengths vary
// by a factor of three between answers of one kind, so that an answer that has exceeded its expected
// length is rarely at its end.
const overrunPart = 0.25

// tokensPerEvent is the number of tokens in an event of the service's streams.
func (w *forwarding) tokensPerEvent() float64 {
	return float64(max(1, w.q.Table.Service(w.result.Service).TokensPerEvent))
}

// memoryTokens is the number of tokens that the run holds in a replica's memory at its end.
func (w *forwarding) memoryTokens() float64 {
	return float64(w.q.Prompt.InputTokens) + w.expectedOutputTokens()
}

// recordOutput records how many tokens the attempt generated. Answers that were dropped for a
// larger model's count with their first event.
func (a *attempt) recordOutput() {
	w := a.w
	if !w.placesByCompletion() {
		return
	}
	switch {
	case a.escalated:
		w.r.outputTokens.Observe(a.slotTimeKey, w.q.Prompt.EstimatedOutputTokens, w.tokensPerEvent())
	case a.succeeded && a.promptRead:
		w.r.outputTokens.Observe(a.slotTimeKey, w.q.Prompt.EstimatedOutputTokens, float64(w.result.Events)*w.tokensPerEvent())
	}
}
