package entry

import "fieldvale/placement"

// estimate is what the request's prompt takes to read, in milliseconds.
type promptEstimate struct {
	// key names all that is shared; empty for nothing.
	affinityKey string
	// own is the time for what nobody shares, shared for the rest by part.
	unsharedMs float64
	shared     []placement.PrefixPart
	// speed is the time for a token.
	msPerToken float64
}

// estimate returns the prompt's times at the model's speed. Parts are kept by
// model.
func (w *forwarding) estimatePrompt() promptEstimate {
	p := w.q.Prompt
	s := w.r.prefillTimes.MsPerToken(w.prefillKey(), max(0, w.modelIndex))
	e := promptEstimate{unsharedMs: float64(p.In-p.SharedTokens()) * s, msPerToken: s}
	for _, x := range p.Shared() {
		e.affinityKey = w.modelName() + "/" + x.ID
		e.shared = append(e.shared, placement.PrefixPart{Key: e.affinityKey, PrefillMs: float64(x.Tokens) * s, ReprefillPenaltyMs: reprefillPenaltyMs(x.Tokens, s)})
	}
	return e
}

// speedKey names what reads at one speed.
func (w *forwarding) prefillKey() string { return w.result.Service + "/" + w.modelName() }

// holdKey names what holds its slot for one time on average.
func (w *forwarding) slotTimeKey() string { return w.q.Route.Name + "/" + w.modelName() }
