package entry

import "fieldvale/placement"

// estimate is what the request's prompt takes to read, in milliseconds.
type estimate struct {
	// key names all that is shared; empty for nothing.
	key string
	// own is the time for what nobody shares, shared for the rest by part.
	own    float64
	shared []placement.PrefixPart
	// speed is the time for a token.
	speed float64
}

// estimate returns the prompt's times at the model's speed. Parts are kept by
// model.
func (w *forwarding) estimate() estimate {
	p := w.q.Prompt
	s := w.r.speeds.MsPerToken(w.speedKey(), max(0, w.model))
	e := estimate{own: float64(p.In-p.SharedTokens()) * s, speed: s}
	for _, x := range p.Shared() {
		e.key = w.modelName() + "/" + x.ID
		e.shared = append(e.shared, placement.PrefixPart{Key: e.key, PrefillMs: float64(x.Tokens) * s, ReprefillPenaltyMs: readAgain(x.Tokens, s)})
	}
	return e
}

// speedKey names what reads at one speed.
func (w *forwarding) speedKey() string { return w.f.Service + "/" + w.modelName() }

// holdKey names what holds its slot for one time on average.
func (w *forwarding) holdKey() string { return w.q.Route.Name + "/" + w.modelName() }
