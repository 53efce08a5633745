package entry

import "fieldvale/placement"

// promptEstimate is the estimated time for reading a prompt, in milliseconds.
type promptEstimate struct {
	// affinityKey identifies the whole shared prefix; empty if nothing is shared.
	affinityKey string
	// unsharedMs is the time for the part that no other request shares; shared has the times of
	// the other parts.
	unsharedMs float64
	shared     []placement.PrefixPart
	// msPerToken is the time for reading one token.
	msPerToken float64
}

// estimatePrompt estimates the prompt's reading times at the model's speed. Part keys include the
// model, as each model has its own prefix cache.
func (w *forwarding) estimatePrompt() promptEstimate {
	p := w.q.Prompt
	s := w.r.prefillTimes.MsPerToken(w.prefillKey(), max(0, w.modelIndex))
	e := promptEstimate{unsharedMs: float64(p.InputTokens-p.SharedTokens()) * s, msPerToken: s}
	for _, x := range p.SharedParts() {
		e.affinityKey = w.modelName() + "/" + x.ID
		e.shared = append(e.shared, placement.PrefixPart{Key: e.affinityKey, PrefillMs: float64(x.Tokens) * s, ReprefillPenaltyMs: reprefillPenaltyMs(x.Tokens, s)})
	}
	return e
}

// prefillKey is the key under which the prompt reading speed is averaged.
func (w *forwarding) prefillKey() string { return w.result.Service + "/" + w.modelKey() }

// slotTimeKey is the key under which the time for which a run holds its slot is averaged.
func (w *forwarding) slotTimeKey() string { return w.q.Route.Name + "/" + w.modelKey() }

// unlistedModel stands for all models that the configuration doesn't list. Clients may name any number of them.
const unlistedModel = "unlisted"

// modelKey is the model as a part of keys that are kept.
func (w *forwarding) modelKey() string {
	m := w.modelName()
	if m == "" || w.modelIndex >= 0 || w.q.Table.Services[w.result.Service].Lists(m) {
		return m
	}
	return unlistedModel
}
