package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fieldvale/admission"
	"fieldvale/notice"
	"fieldvale/outcome"
	"fieldvale/pool"
)

// sessionPolicy is the rule by which replicas are chosen (docs/MEASURES.md).
type sessionPolicy = pool.BoundedAffinity[pool.TwoChoices]

// sessionLoadFactor is how far above the mean load a session's replica may be.
const sessionLoadFactor = 1.5

// backends keeps what this entry knows of each replica from its own calls.
type backends struct {
	mu             sync.Mutex
	state          map[string]*backend
	sessionChooser *pool.Chooser[sessionPolicy]
	prefixChooser  *pool.Chooser[pool.PrefixAffinity]
	scratch        []pool.Candidate
	// notices is what replicas said of themselves: no choice goes against it.
	notices *notice.Tracker
}

type backend struct {
	running int
	// pendingMs is the estimated milliseconds of prompts sent and not yet read.
	pendingMs float64
	breaker   admission.Breaker
	// service is the plain service of the replica, empty for others.
	service string
}

// serviceFailureRate is the rate of failures of the service's replicas: the middle one of
// all, so that one bad replica does not excuse itself.
func (b *backends) serviceFailureRate(x *backend) float64 {
	var l []float64
	for _, s := range b.state {
		if s.service == x.service && s != x {
			l = append(l, s.breaker.Rate())
		}
	}
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[len(l)/2]
}

func newBackends(s rand.Source, n *notice.Tracker) *backends {
	return &backends{
		state:          map[string]*backend{},
		notices:        n,
		sessionChooser: pool.NewChooser(sessionPolicy{LoadFactor: sessionLoadFactor}, s),
		prefixChooser:  pool.NewChooser(pool.PrefixAffinity{SlackMs: affinitySlackMs}, s),
	}
}

func (b *backends) stateOf(id string) *backend {
	x, ok := b.state[id]
	if !ok {
		x = &backend{}
		b.state[id] = x
	}
	return x
}

// take chooses a replica and counts the request on it; nil if none is left.
func (b *backends) take(r []*pool.Replica, a pool.Request, tried []string, now time.Time) *pool.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range []notice.Availability{notice.Available, notice.LastResort} {
		b.gather(r, tried, now, func(x *backend, y notice.Availability) bool { return y == v && x.breaker.Allows(now) })
		if len(b.scratch) > 0 {
			break
		}
	}
	i := b.sessionChooser.Choose(a, b.scratch)
	if i < 0 {
		return nil
	}
	c := b.scratch[i].Replica
	s := b.stateOf(c.ID)
	s.running++
	s.breaker.Tried(now)
	return c
}

// done gives the replica back and learns from the result. A refusal is the
// replica's sound answer and does not count against it.
func (b *backends) done(id string, err error, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id)
	s.running--
	if err == nil || isRefusal(err) {
		s.breaker.Succeeded()
		return
	}
	s.breaker.Failed(now, b.serviceFailureRate(s))
}

func isRefusal(err error) bool {
	o, ok := asOutcome(err)
	return ok && o.Kind == outcome.NotRun && o.Status != 0
}

// queuedPerSlot is the work waiting at the replicas, by slot.
func (b *backends) queuedPerSlot(r []*pool.Replica) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, n := 0, 0
	for _, x := range r {
		c := pool.Candidate{Replica: x, Local: b.stateOf(x.ID).running}
		w += max(0, -c.FreeSlots())
		n += max(1, x.Slots)
	}
	if n == 0 {
		return 0
	}
	return float64(w) / float64(n)
}

// running returns this entry's requests on each replica.
func (b *backends) running() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := map[string]int{}
	for k, s := range b.state {
		if s.running > 0 {
			r[k] = s.running
		}
	}
	return r
}

// maxStates is how many replicas are known before those are forgotten that
// have nothing running: replicas come and go for as long as the process runs.
const maxStates = 2000

func (b *backends) forgetIdle() {
	if len(b.state) <= maxStates {
		return
	}
	for id, s := range b.state {
		if s.running == 0 {
			delete(b.state, id)
		}
	}
}
