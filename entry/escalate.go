package entry

import (
	"context"
	"sync"
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
	// leave for requests that failed.
	escalateReserve = 0.25
	// middleFrom is the confidence from which the next larger model is likely
	// enough to do when the largest has no time.
	middleFrom = 25
)

// escalate moves the request to a larger model, if one can answer in time and
// the budget allows the repeat. It places the request there.
func (w *forwarding) escalate(ctx context.Context, confidence float64) bool {
	last := len(w.q.Route.Models) - 1
	if w.move(ctx, last, confidence) {
		return true
	}
	return w.model+1 < last && confidence >= middleFrom && w.move(ctx, w.model+1, confidence)
}

// move places the request with the model, if it will answer in time.
func (w *forwarding) move(ctx context.Context, model int, confidence float64) bool {
	from, tried := w.model, w.tried
	w.model, w.tried = model, nil
	p := w.take(ctx)
	if p != nil && w.inTime(p, confidence) && w.r.mayRepeat(w.f.Service, escalateReserve) {
		w.next = p
		return true
	}
	if p != nil {
		w.unplace(p)
		w.r.backends.release(p.replica.ID)
	}
	w.model, w.tried = from, tried
	return false
}

// inTime reports whether the first event will come soon enough for what there
// is to gain.
func (w *forwarding) inTime(p *placed, confidence float64) bool {
	if p.ready == 0 || w.q.Route.Target <= 0 {
		return true
	}
	left := w.q.Arrived.Add(w.q.Route.Target).Sub(w.r.clock())
	gain := min(1, max(0, (w.r.acceptConfidence-confidence)/(w.r.acceptConfidence-surelyWrong)))
	part := doubtfulPart + gain*(wrongPart-doubtfulPart)
	return w.r.delays.expect(w.f.Service, p.ready) <= time.Duration(part*float64(left))
}

const (
	// delayWeight is of one prompt in the running mean.
	delayWeight = 0.05
	// minDelayRatio and maxDelayRatio bound what one prompt shows.
	minDelayRatio, maxDelayRatio = 0.3, 5
	// minReady is the least estimate in milliseconds that says something of
	// how estimates compare with what comes.
	minReady = 100
)

// delays learns by how much first events come later than the work before
// them says: replicas make tokens of other streams in between.
type delays struct {
	mu sync.Mutex
	m  map[string]float64
}

func newDelays() *delays { return &delays{m: map[string]float64{}} }

// expect returns the time to the first event for an estimate in milliseconds.
func (d *delays) expect(service string, ready float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.m[service]
	if !ok {
		r = 1
	}
	return time.Duration(r * ready * float64(time.Millisecond))
}

// saw learns from a prompt whose first event came.
func (d *delays) saw(service string, ready float64, took time.Duration) {
	if ready < minReady {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.m[service]
	if !ok {
		r = 1
	}
	x := min(maxDelayRatio, max(minDelayRatio, took.Seconds()*1000/ready))
	d.m[service] = r + delayWeight*(x-r)
}
