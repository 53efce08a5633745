package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fieldvale/admission"
	"fieldvale/load"
	"fieldvale/notice"
	"fieldvale/outcome"
	"fieldvale/pool"
)

// sessionPolicy is the policy for choosing replicas (docs/MEASURES.md).
type sessionPolicy = pool.BoundedAffinity[pool.TwoChoices]

// sessionLoadFactor is the multiple of the mean load that a session's replica may have.
const sessionLoadFactor = 1.5

// backends holds this instance's own state for each replica.
type backends struct {
	mu             sync.Mutex
	state          map[string]*backend
	sessionChooser *pool.Chooser[sessionPolicy]
	prefixChooser  *pool.Chooser[pool.PrefixAffinity]
	reportChooser  *pool.Chooser[pool.ReportedWork]
	scratch        []pool.Candidate
	// reports are the reports that may count for the candidates in scratch.
	reports []load.Drawn
	// rand draws which reports count. It shares its source with the choosers.
	rand *rand.Rand
	// notices holds the drain and backoff notices of replicas, which every choice obeys.
	notices *notice.Tracker
	// loads holds the load reports of replicas; nil for none.
	loads *load.Tracker
}

type backend struct {
	running int
	// pendingMs is the estimated time for the prompts sent and not read yet, in milliseconds.
	pendingMs float64
	breaker   admission.Breaker
	// service is the replica's plain service; empty for engines.
	service string
}

// serviceFailureRate is the median failure rate of the service's other replicas. It excludes x so
// that one bad replica can't raise its own threshold.
func (b *backends) serviceFailureRate(x *backend) float64 {
	var l []float64
	for _, s := range b.state {
		if s.service == x.service && s != x {
			l = append(l, s.breaker.FailureRate())
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
		rand:           rand.New(s),
		reportChooser:  pool.NewChooser(pool.ReportedWork{SlackMs: affinitySlackMs}, s),
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

// take chooses a replica and counts the request there; nil if none is left.
func (b *backends) take(r []*pool.Replica, a pool.Request, tried []string, now time.Time) *pool.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range []notice.Availability{notice.Available, notice.LastResort} {
		b.gather(r, tried, now, func(x *backend, y notice.Availability) bool { return y == v && x.breaker.Allows(now) })
		if len(b.scratch) > 0 {
			break
		}
	}
	b.addReports(now)
	i := b.sessionChooser.Choose(a, b.scratch)
	if i < 0 {
		return nil
	}
	c := b.scratch[i].Replica
	s := b.stateOf(c.ID)
	s.running++
	s.breaker.RecordAttempt(now)
	return c
}

// done ends a request at the replica and records its outcome in the breaker. A refusal is a
// correct answer and does not count as a failure.
func (b *backends) done(id string, err error, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id)
	s.running--
	if err == nil || isRefusal(err) {
		s.breaker.RecordSuccess()
		return
	}
	s.breaker.RecordFailure(now, b.serviceFailureRate(s))
}

func isRefusal(err error) bool {
	o, ok := asOutcome(err)
	return ok && o.Kind == outcome.NotRun && o.Status != 0
}

// queuedPerSlot is the number of waiting requests per slot of the replicas.
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

// running returns this instance's requests in flight by replica.
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

// maxStates is the number of states above which idle ones are deleted, as replicas are replaced
// as long as the process runs.
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
