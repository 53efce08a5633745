package measure

import (
	"fmt"
	"math/rand/v2"

	"fieldvale/admission"
	"fieldvale/pool"
)

// Times are in seconds.
const (
	overloadReplicas = 20
	overloadTime     = 120.0
	requestTimeout   = 4.0
	queueLimit       = 32
	reportInterval   = 1.0
	largeCustomers   = 2
	smallCustomers   = 8
	// largeShare is the share of requests that the large customers send.
	largeShare = 0.8
	maxRetries = 2
)

// overloadRule is a combination of overload protections to compare.
type overloadRule struct {
	name string
	// limits enables the real limiter and deadlines at the engines.
	limits bool
	// bounded limits the engines' queues to queueLimit; without it they are unbounded.
	bounded bool
	// budget limits retries by the real retry budget.
	budget bool
}

// Overload measures useful answers, fairness and retries at several loads, and when
// the pool loses half of its replicas halfway through the run.
func Overload(r *Report, seed uint64) {
	for _, rule := range []overloadRule{
		{name: "no-limits"},
		{name: "bounded-queues", bounded: true},
		{name: "fieldvale", limits: true, bounded: true, budget: true},
	} {
		for _, load := range []float64{1, 1.5, 3} {
			simulateOverload(r, fmt.Sprintf("%s/%gx", rule.name, load), rule, load, false, seed)
		}
		simulateOverload(r, rule.name+"/half-lost", rule, 1, true, seed)
	}
}

// overloadSimulation is the state of one overload simulation. Maps are keyed by
// whether the customer is a large one.
type overloadSimulation struct {
	simulation
	rule     overloadRule
	rng      *rand.Rand
	replicas []*simulatedReplica
	// lost is the number of replicas that are lost, the first ones of replicas.
	lost     int
	limiters []*admission.Limiter
	budgets  []*admission.RetryBudget
	choosers []*pool.Chooser[pool.TwoChoices]
	// reported holds the replicas by router, with the load of the router's last report;
	// local holds the number of the router's own requests on each replica.
	reported [][]pool.Replica
	local    [][]int

	sent, useful, late, refused, attempts int
	refusalTimes                          []float64
	requested, answered                   map[bool]int
}

// overloadRequest is a simulated request. share is its customer's share in the
// limiter, work its time on a replica in seconds.
type overloadRequest struct {
	router   int
	customer string
	large    bool
	share    int
	deadline float64
	start    float64
	work     float64
	retries  int
}

// simulateOverload runs one simulation and adds its figures to the report. load is
// relative to the capacity of the pool; loseHalf removes half of the replicas
// halfway through the run.
func simulateOverload(r *Report, variant string, rule overloadRule, load float64, loseHalf bool, seed uint64) {
	o := &overloadSimulation{rule: rule, rng: rand.New(rand.NewPCG(seed, 3)), requested: map[bool]int{}, answered: map[bool]int{}}
	o.build(seed)
	capacity := float64(overloadReplicas*slotsPerReplica) / meanServiceTime
	for t := 0.0; t < overloadTime; t += o.rng.ExpFloat64() / (capacity * load) {
		q := o.drawRequest(t)
		o.at(t, func() { o.arrive(q) })
	}
	for n := range routerCount {
		o.every(reportInterval, overloadTime*1.5, func() { o.after(reportInterval*float64(n)/routerCount, func() { o.refreshReports(n) }) })
	}
	possible := capacity * overloadTime
	if loseHalf {
		o.at(overloadTime/2, func() { o.lost = overloadReplicas / 2 })
		possible *= 0.75
	}
	o.run()
	achievable := min(possible, float64(o.sent))
	r.Add("overload", variant, "useful_of_possible", float64(o.useful)/achievable, "ratio")
	r.Add("overload", variant, "late_of_taken", float64(o.late)/float64(max(1, o.useful+o.late)), "share")
	small, large := ratio(o.answered[false], o.requested[false]), ratio(o.answered[true], o.requested[true])
	r.Add("overload", variant, "small_customers_answered", small, "share")
	r.Add("overload", variant, "large_customers_answered", large, "share")
	r.Add("overload", variant, "attempts_a_request", float64(o.attempts)/float64(max(1, o.sent)), "count")
	r.Add("overload", variant, "time_to_refusal_p99", quantile(o.refusalTimes, 0.99), "s")
}

// ratio returns n divided by of, or by 1 if of is 0.
func ratio(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// build creates the replicas and the state of each router.
func (o *overloadSimulation) build(seed uint64) {
	for n := range overloadReplicas {
		o.replicas = append(o.replicas, &simulatedReplica{replica: pool.Replica{ID: fmt.Sprint("replica-", n), Slots: slotsPerReplica}})
	}
	for n := range routerCount {
		o.limiters = append(o.limiters, admission.NewLimiter())
		o.budgets = append(o.budgets, admission.NewRetryBudget())
		o.choosers = append(o.choosers, pool.NewChooser(pool.TwoChoices{}, rand.NewPCG(seed, uint64(n))))
		reports := make([]pool.Replica, len(o.replicas))
		for i := range reports {
			reports[i] = o.replicas[i].replica
		}
		o.reported = append(o.reported, reports)
		o.local = append(o.local, make([]int, len(o.replicas)))
	}
}

// drawRequest draws a request that arrives at the given time.
func (o *overloadSimulation) drawRequest(at float64) *overloadRequest {
	q := &overloadRequest{router: o.rng.IntN(routerCount), start: at, deadline: at + requestTimeout, work: meanServiceTime * logNormalNoise(o.rng), share: 1}
	if o.rng.Float64() < largeShare {
		q.large, q.customer, q.share = true, fmt.Sprint("large", o.rng.IntN(largeCustomers)), 4
		return q
	}
	q.customer = fmt.Sprint("small", o.rng.IntN(smallCustomers))
	return q
}

// refreshReports updates the loads that one router uses until its next report.
func (o *overloadSimulation) refreshReports(router int) {
	for n, f := range o.replicas {
		o.reported[router][n].Load = pool.Load{Running: f.running, Waiting: len(f.queue), Local: o.local[router][n]}
	}
}

// candidates returns the replicas that are not lost, with the load that the router
// last received. Routers stop using a lost replica at once.
func (o *overloadSimulation) candidates(router int) []pool.Candidate {
	var candidates []pool.Candidate
	for n := o.lost; n < len(o.replicas); n++ {
		candidates = append(candidates, pool.Candidate{Replica: &o.reported[router][n], Local: o.local[router][n]})
	}
	return candidates
}

// arrive admits or refuses a request.
func (o *overloadSimulation) arrive(q *overloadRequest) {
	o.sent++
	o.requested[q.large]++
	if o.rule.limits {
		waiting, slots := 0, 0
		for _, c := range o.candidates(q.router) {
			waiting += max(0, -c.FreeSlots())
			slots += c.Replica.Slots
		}
		o.budgets[q.router].RecordRequest()
		if refusal := o.limiters[q.router].Admit(q.customer, q.share, float64(waiting)/float64(slots), o.wallTime(), epoch.Add(seconds(q.deadline))); refusal != nil {
			o.refuse(q)
			return
		}
	}
	o.dispatch(q)
}

// refuse records a refusal and the time until it.
func (o *overloadSimulation) refuse(q *overloadRequest) {
	o.refused++
	o.refusalTimes = append(o.refusalTimes, o.now-q.start)
}

// dispatch queues a request at a replica. If the replica's queue is full, it retries
// within the limits on retries and refuses the request after that.
func (o *overloadSimulation) dispatch(q *overloadRequest) {
	o.attempts++
	candidates := o.candidates(q.router)
	n := o.choosers[q.router].Choose(pool.Request{}, candidates) + o.lost
	f := o.replicas[n]
	if o.rule.bounded && len(f.queue) >= queueLimit {
		q.retries++
		if q.retries <= maxRetries && (!o.rule.budget || o.budgets[q.router].TakeRetry()) {
			o.dispatch(q)
			return
		}
		o.release(q, 0, true)
		o.refuse(q)
		return
	}
	o.local[q.router][n]++
	f.queue = append(f.queue, func() { o.startWork(q, f, n) })
	o.startQueued(f)
}

// release reports the end of an admitted request to the limiter.
func (o *overloadSimulation) release(q *overloadRequest, took float64, overload bool) {
	if o.rule.limits {
		o.limiters[q.router].Release(q.customer, took, overload, o.wallTime())
	}
}

// startWork runs a request in a slot. An engine that receives deadlines drops a
// request whose deadline has passed and stops one at its deadline; an engine that
// does not receive them runs each request to its end.
func (o *overloadSimulation) startWork(q *overloadRequest, f *simulatedReplica, n int) {
	f.running++
	work := q.work
	if o.rule.limits && o.now >= q.deadline {
		work = 0
	}
	end := o.now + work
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
			o.answered[q.large]++
		}
		o.release(q, o.now-q.start, late)
		o.startQueued(f)
	})
}

// startQueued starts queued requests while the replica has free slots.
func (o *overloadSimulation) startQueued(f *simulatedReplica) {
	for f.running < slotsPerReplica && len(f.queue) > 0 {
		start := f.queue[0]
		f.queue = f.queue[1:]
		start()
	}
}
