package measure

import (
	"fmt"
	"math/rand/v2"

	"fieldvale/pool"
)

// placementScenario is the setting of a placement simulation.
type placementScenario struct {
	name     string
	replicas int
	// load is the mean share of busy slots.
	load float64
	// reportInterval is the time between a router's load reports, in seconds. A report
	// is up to that old when it is used.
	reportInterval float64
	// cached is the share of a request's work that remains if the replica has cached
	// the session's prefix.
	cached float64
}

// Times are in seconds.
const (
	routerCount     = 7
	slotsPerReplica = 8
	sessionCount    = 1200
	cacheSessions   = 120
	placementTime   = 240.0
	meanServiceTime = 1.0
)

// chooseFunc returns the index of the candidate that a router chooses for a request
// of the session.
type chooseFunc func(router int, session string, c []pool.Candidate) int

// placementRule is a placement rule to compare. fresh marks rules that see the
// current load of all replicas, which no real router can.
type placementRule struct {
	name       string
	fresh      bool
	newChooser func(seed uint64) chooseFunc
}

// newPlacementRule returns a placementRule that gives each router its own chooser.
func newPlacementRule[R pool.Rule](name string, fresh bool, rule func() R) placementRule {
	return placementRule{name, fresh, func(seed uint64) chooseFunc {
		var choosers []*pool.Chooser[R]
		for n := range routerCount {
			choosers = append(choosers, pool.NewChooser(rule(), rand.NewPCG(seed, uint64(n))))
		}
		return func(router int, session string, candidates []pool.Candidate) int {
			return choosers[router].Choose(pool.Request{AffinityKey: session}, candidates)
		}
	}}
}

// placementRules returns the rules to compare; "fieldvale" is the one in use.
func placementRules() []placementRule {
	return []placementRule{
		newPlacementRule("random", false, func() pool.Random { return pool.Random{} }),
		newPlacementRule("round-robin", false, func() *pool.RoundRobin { return &pool.RoundRobin{} }),
		newPlacementRule("least-reported", false, func() pool.LeastReported { return pool.LeastReported{} }),
		newPlacementRule("least-local", false, func() pool.LeastLocal { return pool.LeastLocal{} }),
		newPlacementRule("idle-first", false, func() pool.IdleFirst { return pool.IdleFirst{} }),
		newPlacementRule("two-choices", false, func() pool.TwoChoices { return pool.TwoChoices{} }),
		newPlacementRule("affine-1.25", false, func() pool.BoundedAffinity[pool.TwoChoices] {
			return pool.BoundedAffinity[pool.TwoChoices]{LoadFactor: 1.25}
		}),
		newPlacementRule("fieldvale", false, func() pool.BoundedAffinity[pool.TwoChoices] {
			return pool.BoundedAffinity[pool.TwoChoices]{LoadFactor: 1.5}
		}),
		newPlacementRule("fresh-global", true, func() pool.LeastReported { return pool.LeastReported{} }),
		newPlacementRule("fresh-global-affine", true, func() pool.BoundedAffinity[pool.LeastReported] {
			return pool.BoundedAffinity[pool.LeastReported]{LoadFactor: 1.5}
		}),
	}
}

// Placement measures latency and cache hits of each rule.
func Placement(r *Report, seed uint64) {
	for _, scenario := range []placementScenario{
		{"shared-memory", 20, 0.75, 1, 0.6},
		{"maizes-tilts", 12, 0.75, 1, 0.6},
		{"lag-4s", 20, 0.75, 4, 0.6},
	} {
		for _, rule := range placementRules() {
			latencies, cacheHits := simulatePlacement(scenario, rule, seed)
			variant := scenario.name + "/" + rule.name
			r.Add("placement", variant, "latency_p50", quantile(latencies, 0.5), "s")
			r.Add("placement", variant, "latency_p95", quantile(latencies, 0.95), "s")
			r.Add("placement", variant, "latency_p99", quantile(latencies, 0.99), "s")
			r.Add("placement", variant, "cache_hits", cacheHits, "share")
		}
	}
}

// simulatedReplica is a replica with a queue, a fixed number of slots and a bounded
// cache of sessions, the least recently used first.
type simulatedReplica struct {
	replica pool.Replica
	running int
	queue   []func()
	cache   []string
}

// useCache marks the session as the most recently used one and reports whether it
// was cached.
func (f *simulatedReplica) useCache(session string) bool {
	for i, cached := range f.cache {
		if cached == session {
			f.cache = append(append(f.cache[:i:i], f.cache[i+1:]...), session)
			return true
		}
	}
	f.cache = append(f.cache, session)
	if len(f.cache) > cacheSessions {
		f.cache = f.cache[1:]
	}
	return false
}

// placementSimulation is the state of one placement simulation.
type placementSimulation struct {
	simulation
	scenario placementScenario
	choose   chooseFunc
	fresh    bool
	rng      *rand.Rand
	replicas []*simulatedReplica
	// reported holds the replicas by router, with the load of the router's last report;
	// local holds the number of the router's own requests on each replica.
	reported  [][]pool.Replica
	local     [][]int
	latencies []float64
	cacheHits int
	requests  int
}

// simulatePlacement returns the latencies and the share of requests with a cache hit.
func simulatePlacement(s placementScenario, rule placementRule, seed uint64) ([]float64, float64) {
	p := &placementSimulation{scenario: s, choose: rule.newChooser(seed), fresh: rule.fresh, rng: rand.New(rand.NewPCG(seed, 2))}
	for n := range s.replicas {
		p.replicas = append(p.replicas, &simulatedReplica{replica: pool.Replica{ID: fmt.Sprint("replica-", n), Slots: slotsPerReplica}})
	}
	for range routerCount {
		reports := make([]pool.Replica, s.replicas)
		for n := range reports {
			reports[n] = p.replicas[n].replica
		}
		p.reported = append(p.reported, reports)
		p.local = append(p.local, make([]int, s.replicas))
	}
	p.schedule()
	p.run()
	return p.latencies, float64(p.cacheHits) / float64(max(1, p.requests))
}

// schedule schedules the arrivals, in which bursts of about twice the rate alternate
// with lulls, and the load reports, at a different offset for each router.
func (p *placementSimulation) schedule() {
	rate := p.scenario.load * float64(p.scenario.replicas*slotsPerReplica) / meanServiceTime / 0.8
	for t := 0.0; t < placementTime; {
		factor := 0.7
		if int(t/5)%3 == 0 {
			factor = 1.3
		}
		t += p.rng.ExpFloat64() / (rate * factor)
		router, session, work := p.rng.IntN(routerCount), p.drawSession(), meanServiceTime*logNormalNoise(p.rng)
		p.at(t, func() { p.arrive(router, session, work) })
	}
	for n := range routerCount {
		offset := p.scenario.reportInterval * float64(n) / routerCount
		p.every(p.scenario.reportInterval, placementTime, func() { p.after(offset, func() { p.refreshReports(n) }) })
	}
}

// drawSession draws a session. A few sessions have many requests, most have few.
func (p *placementSimulation) drawSession() string {
	f := p.rng.Float64()
	return fmt.Sprint("s", int(f*f*sessionCount))
}

// refreshReports updates the loads that one router uses until its next report.
func (p *placementSimulation) refreshReports(router int) {
	for n, f := range p.replicas {
		p.reported[router][n].Load = pool.Load{Running: f.running, Waiting: len(f.queue), Local: p.local[router][n]}
	}
}

// arrive places a request on a replica and queues it there.
func (p *placementSimulation) arrive(router int, session string, work float64) {
	candidates := make([]pool.Candidate, len(p.replicas))
	for n, f := range p.replicas {
		candidates[n] = pool.Candidate{Replica: &p.reported[router][n], Local: p.local[router][n]}
		if p.fresh {
			fresh := f.replica
			fresh.Load = pool.Load{Running: f.running, Waiting: len(f.queue)}
			candidates[n] = pool.Candidate{Replica: &fresh}
		}
	}
	n := p.choose(router, session, candidates)
	f := p.replicas[n]
	start := p.now
	p.local[router][n]++
	p.requests++
	run := func() {
		if f.useCache(session) {
			p.cacheHits++
			work *= p.scenario.cached
		}
		f.running++
		p.after(work, func() {
			f.running--
			p.local[router][n]--
			p.latencies = append(p.latencies, p.now-start)
			p.startQueued(f)
		})
	}
	f.queue = append(f.queue, run)
	p.startQueued(f)
}

// startQueued starts queued requests while the replica has free slots.
func (p *placementSimulation) startQueued(f *simulatedReplica) {
	for f.running < slotsPerReplica && len(f.queue) > 0 {
		start := f.queue[0]
		f.queue = f.queue[1:]
		start()
	}
}
