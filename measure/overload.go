package measure

import (
	"fmt"
	"math/rand/v2"

	"fieldvale/admission"
	"fieldvale/pool"
)

const (
	overloadReplicas = 20
	overloadTime     = 120.0
	patience         = 4.0
	queueEach        = 32
	loadLag          = 1.0
	largeCustomers   = 2
	smallCustomers   = 8
	// largePart is the part of requests that the large customers send.
	largePart = 0.8
	maxRetry  = 2
)

// overloadRule is what stands before the pool.
type overloadRule struct {
	name string
	// limits says that the real limiter decides; queues that engines queue
	// without any bound.
	limits  bool
	bounded bool
	budget  bool
}

// Overload measures useful answers, fairness and retries at several loads,
// and when the pool loses half of its replicas in the middle.
func Overload(r *Report, seed uint64) {
	for _, x := range []overloadRule{
		{name: "no-limits"},
		{name: "bounded-queues", bounded: true},
		{name: "fieldvale", limits: true, bounded: true, budget: true},
	} {
		for _, load := range []float64{1, 1.5, 3} {
			overloadRun(r, fmt.Sprintf("%s/%gx", x.name, load), x, load, false, seed)
		}
		overloadRun(r, x.name+"/half-lost", x, 1, true, seed)
	}
}

// overloading is the state of one replay.
type overloading struct {
	replay
	rule     overloadRule
	g        *rand.Rand
	r        []*fakeReplica
	lost     int
	limiters []*admission.Limiter
	budgets  []*admission.RetryBudget
	choosers []*pool.Chooser[pool.TwoChoices]
	seen     [][]pool.Replica
	local    [][]int

	sent, useful, late, refused, attempts int
	wait                                  []float64
	asked, got                            map[bool]int
}

type overloadRequest struct {
	router   int
	customer string
	large    bool
	share    int
	deadline float64
	start    float64
	work     float64
	tries    int
}

func overloadRun(r *Report, variant string, x overloadRule, load float64, lose bool, seed uint64) {
	o := &overloading{rule: x, g: rand.New(rand.NewPCG(seed, 3)), asked: map[bool]int{}, got: map[bool]int{}}
	o.build(seed)
	capacity := float64(overloadReplicas*slotsEach) / serviceMean
	for t := 0.0; t < overloadTime; t += o.g.ExpFloat64() / (capacity * load) {
		q := o.draw(t)
		o.at(t, func() { o.arrive(q) })
	}
	for n := range routers {
		o.every(loadLag, overloadTime*1.5, func() { o.after(loadLag*float64(n)/routers, func() { o.report(n) }) })
	}
	can := capacity * overloadTime
	if lose {
		o.at(overloadTime/2, func() { o.lost = overloadReplicas / 2 })
		can *= 0.75
	}
	o.run()
	offered := min(can, float64(o.sent))
	r.Add("overload", variant, "useful_of_possible", float64(o.useful)/offered, "ratio")
	r.Add("overload", variant, "late_of_taken", float64(o.late)/float64(max(1, o.useful+o.late)), "share")
	small, large := rate(o.got[false], o.asked[false]), rate(o.got[true], o.asked[true])
	r.Add("overload", variant, "small_customers_answered", small, "share")
	r.Add("overload", variant, "large_customers_answered", large, "share")
	r.Add("overload", variant, "attempts_a_request", float64(o.attempts)/float64(max(1, o.sent)), "count")
	r.Add("overload", variant, "time_to_refusal_p99", quantile(o.wait, 0.99), "s")
}

func rate(n, of int) float64 { return float64(n) / float64(max(1, of)) }

func (o *overloading) build(seed uint64) {
	for n := range overloadReplicas {
		o.r = append(o.r, &fakeReplica{replica: pool.Replica{ID: fmt.Sprint("replica-", n), Slots: slotsEach}})
	}
	for n := range routers {
		o.limiters = append(o.limiters, admission.NewLimiter())
		o.budgets = append(o.budgets, admission.NewRetryBudget())
		o.choosers = append(o.choosers, pool.NewChooser(pool.TwoChoices{}, rand.NewPCG(seed, uint64(n))))
		l := make([]pool.Replica, len(o.r))
		for i := range l {
			l[i] = o.r[i].replica
		}
		o.seen = append(o.seen, l)
		o.local = append(o.local, make([]int, len(o.r)))
	}
}

func (o *overloading) draw(t float64) *overloadRequest {
	q := &overloadRequest{router: o.g.IntN(routers), start: t, deadline: t + patience, work: serviceMean * noise(o.g), share: 1}
	if o.g.Float64() < largePart {
		q.large, q.customer, q.share = true, fmt.Sprint("large", o.g.IntN(largeCustomers)), 4
		return q
	}
	q.customer = fmt.Sprint("small", o.g.IntN(smallCustomers))
	return q
}

func (o *overloading) report(router int) {
	for n, f := range o.r {
		o.seen[router][n].Load = pool.Load{Running: f.running, Waiting: len(f.queue), Local: o.local[router][n]}
	}
}

// live are the candidates that a router knows of; lost replicas show as such
// in the next report.
func (o *overloading) live(router int) []pool.Candidate {
	var c []pool.Candidate
	for n := o.lost; n < len(o.r); n++ {
		c = append(c, pool.Candidate{Replica: &o.seen[router][n], Local: o.local[router][n]})
	}
	return c
}

func (o *overloading) arrive(q *overloadRequest) {
	o.sent++
	o.asked[q.large]++
	if o.rule.limits {
		w, n := 0, 0
		for _, c := range o.live(q.router) {
			w += max(0, -c.FreeSlots())
			n += c.Replica.Slots
		}
		o.budgets[q.router].Request()
		if f := o.limiters[q.router].Admit(q.customer, q.share, float64(w)/float64(n), o.time(), epoch.Add(seconds(q.deadline))); f != nil {
			o.refuse(q)
			return
		}
	}
	o.dispatch(q)
}

func (o *overloading) refuse(q *overloadRequest) {
	o.refused++
	o.wait = append(o.wait, o.now-q.start)
}

func (o *overloading) dispatch(q *overloadRequest) {
	o.attempts++
	c := o.live(q.router)
	n := o.choosers[q.router].Choose(pool.Request{}, c) + o.lost
	f := o.r[n]
	if o.rule.bounded && len(f.queue) >= queueEach {
		q.tries++
		if q.tries <= maxRetry && (!o.rule.budget || o.budgets[q.router].Retry()) {
			o.dispatch(q)
			return
		}
		o.leave(q, 0, true)
		o.refuse(q)
		return
	}
	o.local[q.router][n]++
	f.queue = append(f.queue, func() { o.work(q, f, n) })
	o.next(f)
}

func (o *overloading) leave(q *overloadRequest, took float64, overload bool) {
	if o.rule.limits {
		o.limiters[q.router].Done(q.customer, took, overload, o.time())
	}
}

// work is one request in a slot. A request whose deadline has passed by then
// is dropped by an engine that is told of deadlines, and worked on by one
// that is not.
func (o *overloading) work(q *overloadRequest, f *fakeReplica, n int) {
	f.running++
	w := q.work
	if o.rule.limits && o.now >= q.deadline {
		w = 0
	}
	end := o.now + w
	if o.rule.limits {
		end = min(end, max(o.now, q.deadline))
	}
	o.at(end, func() {
		f.running--
		o.local[q.router][n]--
		late := o.now >= q.deadline || n < o.lost
		if late {
			o.late++
		} else {
			o.useful++
			o.got[q.large]++
		}
		o.leave(q, o.now-q.start, late)
		o.next(f)
	})
}

func (o *overloading) next(f *fakeReplica) {
	for f.running < slotsEach && len(f.queue) > 0 {
		j := f.queue[0]
		f.queue = f.queue[1:]
		j()
	}
}
