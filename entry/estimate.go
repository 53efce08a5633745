package entry

// estimate is what the request's prompt takes to read, in milliseconds.
type estimate struct {
	// key names the shared part; empty for none.
	key string
	// own is the time for what nobody shares, shared for the rest.
	own    float64
	shared float64
	// speed is the time for a token.
	speed float64
}

// estimate returns the prompt's times at the model's speed.
func (w *forwarding) estimate() estimate {
	p := w.q.Prompt
	s := w.r.speeds.of(w.speedKey(), max(0, w.model))
	return estimate{key: w.partsKey(), own: float64(p.In-p.SharedTokens()) * s, shared: float64(p.SharedTokens()) * s, speed: s}
}

// partsKey names what the request would find kept: parts are kept by model.
func (w *forwarding) partsKey() string {
	k := w.q.Prompt.SharedKey()
	if k == "" {
		return ""
	}
	return w.modelName() + "/" + k
}

// speedKey names what reads at one speed.
func (w *forwarding) speedKey() string { return w.f.Service + "/" + w.modelName() }

// holdKey names what holds its slot for one time on average.
func (w *forwarding) holdKey() string { return w.q.Route.Name + "/" + w.modelName() }
