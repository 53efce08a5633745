package entry

import (
	"math"
	"sync"
	"time"

	"fieldvale/route"
)

const (
	// slowTimes is how many times the usual time makes an answer slow: the
	// platform's slow releases take several times as long.
	slowTimes = 3
	// paceWeight is of one answer in the running means.
	paceWeight = 0.03
	// minPaced is how many answers must be known before one is called slow.
	minPaced = 8
	// leastTime bounds the ratios of very quick answers, in milliseconds.
	leastTime = 5
)

// paces learns how long answers take, by what kind of answer they are.
type paces struct {
	mu sync.Mutex
	m  map[string]usualPace
}

// usualPace is a running mean of the logarithms of times in milliseconds.
type usualPace struct {
	n   int
	log float64
}

func newPaces() *paces { return &paces{m: map[string]usualPace{}} }

// slow compares an answer's time by event to the usual one of its kind, and
// learns from it if it may.
func (p *paces) slow(kind string, took time.Duration, events int, learn bool) (slow, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.m[kind]
	t := math.Max(leastTime, took.Seconds()*1000) / (1 + float64(events))
	x := math.Log(t)
	known = u.n >= minPaced
	slow = known && x > u.log+math.Log(slowTimes)
	if learn {
		w := math.Max(paceWeight, 1/float64(u.n+1))
		u.log += w * (x - u.log)
		u.n++
		p.m[kind] = u
	}
	return slow, known
}

// pace reports whether the answer was several times slower than usual; known
// is false if that can't be told. learn says that it tells what is usual.
func (a *attempt) pace(learn bool) (slow, known bool) {
	if !a.served || a.escalated {
		return false, false
	}
	w := a.w
	took := w.r.clock().Sub(a.sent)
	if w.q.Route.Kind != route.Stream {
		return w.r.paces.slow(w.q.Route.Name, took, 0, learn)
	}
	if a.placed.ready > 0 {
		// Time that the prompt waits and is read is known beforehand.
		took -= w.r.delays.expect(w.f.Service, a.placed.ready)
	}
	return w.r.paces.slow(w.q.Route.Name+"/"+w.modelName(), max(0, took), a.events, learn)
}
