package entry

import "fieldvale/admission"

// received counts an opaque request for the bound on its service's repeats.
func (r *Router) received(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(service).Request(r.clock())
}

// rate estimates how many requests a second the whole fleet gets for the
// service, by this instance's own.
func (r *Router) rate(service string) float64 {
	n := r.fleet()
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(n) * r.window(service).Rate(r.clock())
}

// unknownFleet is how many instances there are taken to be as long as that is
// not known; more than are usual where few of them are.
const unknownFleet = 12

// mayRepeat takes one repeat of a service's request if there is one left.
// reserve is the part that is to be left for repeats after failures.
func (r *Router) mayRepeat(service string, reserve float64) bool {
	n := r.fleet()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window(service).Repeat(r.clock(), 1/float64(n), reserve)
}

// fleet is how many instances there are.
func (r *Router) fleet() int {
	if r.fleetSize == nil {
		return unknownFleet
	}
	if n := r.fleetSize(); n > 0 {
		return n
	}
	return unknownFleet
}

// window counts the service's requests and repeats; r.mu is held.
func (r *Router) window(service string) *admission.Window {
	w, ok := r.windows[service]
	if !ok {
		w = admission.NewWindow(r.repeats)
		r.windows[service] = w
	}
	return w
}
