package entry

import "fieldvale/admission"

// countRequest counts an opaque request for the bound on its service's repeats.
func (r *Router) countRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryWindow(service).Request(r.clock())
}

// fleetRequestRate estimates how many requests a second the whole fleet gets for the
// service, by this instance's own.
func (r *Router) fleetRequestRate(service string) float64 {
	n := r.fleetSizeOrDefault()
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(n) * r.retryWindow(service).Rate(r.clock())
}

// defaultFleetSize is how many instances there are taken to be as long as that is
// not known; more than are usual where few of them are.
const defaultFleetSize = 12

// takeOpaqueRetry takes one repeat of a service's request if there is one left.
// reserve is the part that is to be left for repeats after failures.
func (r *Router) takeOpaqueRetry(service string, reserve float64) bool {
	n := r.fleetSizeOrDefault()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryWindow(service).Repeat(r.clock(), 1/float64(n), reserve)
}

// fleetSizeOrDefault is how many instances there are.
func (r *Router) fleetSizeOrDefault() int {
	if r.fleetSize == nil {
		return defaultFleetSize
	}
	if n := r.fleetSize(); n > 0 {
		return n
	}
	return defaultFleetSize
}

// retryWindow counts the service's requests and repeats; r.mu is held.
func (r *Router) retryWindow(service string) *admission.Window {
	w, ok := r.retryWindows[service]
	if !ok {
		w = admission.NewWindow(r.retries)
		r.retryWindows[service] = w
	}
	return w
}
