package measure

import (
	"fmt"
	"math/rand/v2"

	"fieldvale/pool"
)

// placementSetting is one replay of placement.
type placementSetting struct {
	name     string
	replicas int
	// load is the mean part of the slots that are busy.
	load float64
	// lag is the age of a load report when it is used, in seconds.
	lag float64
	// cached is the part of the work that is left when the session's prefix
	// is cached on the replica.
	cached float64
}

const (
	routers       = 7
	slotsEach     = 8
	sessions      = 1200
	cacheEach     = 120
	placementTime = 240.0
	serviceMean   = 1.0
)

// chooseFunc picks one of the candidates for a session.
type chooseFunc func(router int, session string, c []pool.Candidate) int

// rules are what is compared; fresh is true for rules that see the true work
// of all replicas at any moment, which no router can.
type placementRule struct {
	name  string
	fresh bool
	make  func(seed uint64) chooseFunc
}

func ruleOf[R pool.Rule](name string, fresh bool, rule func() R) placementRule {
	return placementRule{name, fresh, func(seed uint64) chooseFunc {
		var c []*pool.Chooser[R]
		for n := range routers {
			c = append(c, pool.NewChooser(rule(), rand.NewPCG(seed, uint64(n))))
		}
		return func(router int, session string, x []pool.Candidate) int {
			return c[router].Choose(pool.Request{AffinityKey: session}, x)
		}
	}}
}

func placementRules() []placementRule {
	return []placementRule{
		ruleOf("random", false, func() pool.Random { return pool.Random{} }),
		ruleOf("round-robin", false, func() *pool.RoundRobin { return &pool.RoundRobin{} }),
		ruleOf("least-reported", false, func() pool.LeastReported { return pool.LeastReported{} }),
		ruleOf("least-local", false, func() pool.LeastLocal { return pool.LeastLocal{} }),
		ruleOf("idle-first", false, func() pool.IdleFirst { return pool.IdleFirst{} }),
		ruleOf("two-choices", false, func() pool.TwoChoices { return pool.TwoChoices{} }),
		ruleOf("affine-1.25", false, func() pool.BoundedAffinity[pool.TwoChoices] {
			return pool.BoundedAffinity[pool.TwoChoices]{LoadFactor: 1.25}
		}),
		ruleOf("fieldvale", false, func() pool.BoundedAffinity[pool.TwoChoices] {
			return pool.BoundedAffinity[pool.TwoChoices]{LoadFactor: 1.5}
		}),
		ruleOf("fresh-global", true, func() pool.LeastReported { return pool.LeastReported{} }),
		ruleOf("fresh-global-affine", true, func() pool.BoundedAffinity[pool.LeastReported] {
			return pool.BoundedAffinity[pool.LeastReported]{LoadFactor: 1.5}
		}),
	}
}

// Placement measures latency and cache hits of each rule.
func Placement(r *Report, seed uint64) {
	for _, s := range []placementSetting{
		{"shared-memory", 20, 0.75, 1, 0.6},
		{"maizes-tilts", 12, 0.75, 1, 0.6},
		{"lag-4s", 20, 0.75, 4, 0.6},
	} {
		for _, x := range placementRules() {
			lat, hits := placementRun(s, x, seed)
			v := s.name + "/" + x.name
			r.Add("placement", v, "latency_p50", quantile(lat, 0.5), "s")
			r.Add("placement", v, "latency_p95", quantile(lat, 0.95), "s")
			r.Add("placement", v, "latency_p99", quantile(lat, 0.99), "s")
			r.Add("placement", v, "cache_hits", hits, "share")
		}
	}
}

// fakeReplica is a queue before slots, with a bounded cache of sessions.
type fakeReplica struct {
	replica pool.Replica
	running int
	queue   []func()
	cache   []string
}

func (f *fakeReplica) cached(s string) bool {
	for i, x := range f.cache {
		if x == s {
			f.cache = append(append(f.cache[:i:i], f.cache[i+1:]...), s)
			return true
		}
	}
	f.cache = append(f.cache, s)
	if len(f.cache) > cacheEach {
		f.cache = f.cache[1:]
	}
	return false
}

// placing is the state of one replay.
type placing struct {
	replay
	s      placementSetting
	choose chooseFunc
	fresh  bool
	g      *rand.Rand
	r      []*fakeReplica
	// seen are the replicas as each router knows them; local its own work.
	seen  [][]pool.Replica
	local [][]int
	lat   []float64
	hits  int
	all   int
}

func placementRun(s placementSetting, x placementRule, seed uint64) ([]float64, float64) {
	p := &placing{s: s, choose: x.make(seed), fresh: x.fresh, g: rand.New(rand.NewPCG(seed, 2))}
	for n := range s.replicas {
		p.r = append(p.r, &fakeReplica{replica: pool.Replica{ID: fmt.Sprint("replica-", n), Slots: slotsEach}})
	}
	for range routers {
		l := make([]pool.Replica, s.replicas)
		for n := range l {
			l[n] = p.r[n].replica
		}
		p.seen = append(p.seen, l)
		p.local = append(p.local, make([]int, s.replicas))
	}
	p.schedule()
	p.run()
	return p.lat, float64(p.hits) / float64(max(1, p.all))
}

// schedule draws arrivals: bursts of twice the rate alternate with lulls.
func (p *placing) schedule() {
	rate := p.s.load * float64(p.s.replicas*slotsEach) / serviceMean / 0.8
	for t := 0.0; t < placementTime; {
		f := 0.7
		if int(t/5)%3 == 0 {
			f = 1.3
		}
		t += p.g.ExpFloat64() / (rate * f)
		router, session, work := p.g.IntN(routers), p.session(), serviceMean*noise(p.g)
		p.at(t, func() { p.arrive(router, session, work) })
	}
	for n := range routers {
		o := p.s.lag * float64(n) / routers
		p.every(p.s.lag, placementTime, func() { p.after(o, func() { p.report(n) }) })
	}
}

// session draws one; few are busy, many are not.
func (p *placing) session() string {
	f := p.g.Float64()
	return fmt.Sprint("s", int(f*f*sessions))
}

// report is a reading of all loads by one router, which it uses until the
// next one.
func (p *placing) report(router int) {
	for n, f := range p.r {
		p.seen[router][n].Load = pool.Load{Running: f.running, Waiting: len(f.queue), Local: p.local[router][n]}
	}
}

func (p *placing) arrive(router int, session string, work float64) {
	c := make([]pool.Candidate, len(p.r))
	for n, f := range p.r {
		c[n] = pool.Candidate{Replica: &p.seen[router][n], Local: p.local[router][n]}
		if p.fresh {
			y := f.replica
			y.Load = pool.Load{Running: f.running, Waiting: len(f.queue)}
			c[n] = pool.Candidate{Replica: &y}
		}
	}
	n := p.choose(router, session, c)
	f := p.r[n]
	start := p.now
	p.local[router][n]++
	p.all++
	job := func() {
		if f.cached(session) {
			p.hits++
			work *= p.s.cached
		}
		f.running++
		p.after(work, func() {
			f.running--
			p.local[router][n]--
			p.lat = append(p.lat, p.now-start)
			p.next(f)
		})
	}
	f.queue = append(f.queue, job)
	p.next(f)
}

func (p *placing) next(f *fakeReplica) {
	for f.running < slotsEach && len(f.queue) > 0 {
		j := f.queue[0]
		f.queue = f.queue[1:]
		j()
	}
}
