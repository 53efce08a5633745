package entry

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/outcome"
	"fieldvale/peer"
	"fieldvale/placement"
	"fieldvale/pool"
	"fieldvale/prompt"
	"fieldvale/rollout"
	"fieldvale/route"
)

const (
	sharedCustomers = 24
	// modelEventTokens is the number of tokens in an event.
	modelEventTokens = 9
	// sharedInstances is the number of instances.
	sharedInstances = 5
	hotCustomer     = 0
	// hotFactor times its usual rate is what the hot customer sends from hotFrom on for hotFor.
	hotFactor = 7.5
	hotFrom   = 8 * time.Second
	hotFor    = 6500 * time.Millisecond
	playFor   = 24 * time.Second
	// usualRate is the usual number of requests per second. Their prefill keeps six replicas
	// busy; with the hot customer, twelve.
	usualRate = 51.4
	// modelPace is the time to prefill a token.
	modelPace = 20 * time.Microsecond
	// usualStalled is the usual part of the pace of generation during prefill.
	usualStalled = 0.3
	// maxReturns bounds how often a refused client returns.
	maxReturns = 3
)

// sharedKinds are the kinds of request: their prompts and answers, and the time that they have.
var sharedKinds = []struct {
	prompt, answer int
	limit, target  time.Duration
}{{12_000, 42 * modelEventTokens, 20 * time.Second, 3 * time.Second}, {830, 32 * modelEventTokens, 15 * time.Second, 2 * time.Second}, {2_400, 3 * modelEventTokens, 5 * time.Second, 1500 * time.Millisecond}}

// customerWeight is the customer's part of the usual requests: four customers are large.
func customerWeight(c int) float64 {
	if c < 4 {
		return []float64{0.20, 0.12, 0.09, 0.07}[c]
	}
	return 0.52 / (sharedCustomers - 4)
}

// customerTally is what became of a customer's requests.
type customerTally struct {
	sent, done, late, refused, overShare, demoted int
	took                                          time.Duration
}

func (y customerTally) mean() time.Duration { return y.took / time.Duration(max(1, y.done)) }

// sharedLoad plays the load of customers on the replicas of one service.
type sharedLoad struct {
	replicas int
	hot      bool
	// stalled is the part of the pace of generation that a replica has during prefill.
	stalled float64
	// cut are the instances that reach no other one.
	cut map[string]bool

	t       *testing.T
	nodes   map[string]*placement.Node
	routers []*Router
	routes  []route.Route
	mu      sync.Mutex
	tallies [sharedCustomers]customerTally
	// returns are the times since the start at which refused clients are asked to return.
	start   time.Time
	returns []time.Duration
	clients sync.WaitGroup
}

// loopback delivers datagrams after a millisecond.
type loopback struct {
	l    *sharedLoad
	from string
}

func (b loopback) Send(to string, m []byte) error {
	if !b.l.cut[b.from] && !b.l.cut[to] {
		time.AfterFunc(time.Millisecond, func() { b.l.nodes[to].Receive(b.from, m) })
	}
	return nil
}

// play plays the load and returns what became of it.
func (l *sharedLoad) play(t *testing.T) *sharedLoad {
	synctest.Test(t, func(t *testing.T) {
		l.t, l.nodes = t, map[string]*placement.Node{}
		l.build()
		u := rand.New(rand.NewPCG(5, 8))
		l.start = time.Now()
		for at := time.Duration(0); at < playFor; {
			rate, weights := usualRate, customerWeight
			if l.hot && at >= hotFrom && at < hotFrom+hotFor {
				more := (hotFactor - 1) * customerWeight(hotCustomer)
				rate *= 1 + more
				weights = func(c int) float64 {
					if c == hotCustomer {
						return hotFactor * customerWeight(c) / (1 + more)
					}
					return customerWeight(c) / (1 + more)
				}
			}
			at += time.Duration(u.ExpFloat64() / rate * float64(time.Second))
			time.Sleep(time.Until(l.start.Add(at)))
			c, x := 0, u.Float64()
			for ; c < sharedCustomers-1 && x >= weights(c); c++ {
				x -= weights(c)
			}
			i, k := u.IntN(sharedInstances), u.IntN(len(sharedKinds))
			l.clients.Go(func() { l.request(i, c, k) })
		}
		l.clients.Wait()
	})
	return l
}

func (l *sharedLoad) build() {
	m := &modelReplicas{pace: modelPace, stalled: l.stalled, queues: map[string][]*modelRun{}, streams: map[string]int{}}
	var replicas []pool.Replica
	for i := range l.replicas {
		replicas = append(replicas, pool.Replica{ID: fmt.Sprint("r", i), Kind: pool.Service, Service: "s", Slots: 64})
	}
	for k, x := range sharedKinds {
		l.routes = append(l.routes, route.Route{Name: fmt.Sprint("k", k), Kind: route.Stream, Split: []route.WeightedService{{Service: "s"}}, MaxAttempts: 1, Target: x.target, PauseTarget: 2 * time.Second, Priority: 4})
	}
	v := NewCurrentView()
	v.Put(NewView(nil, replicas, nil, nil).WithRoutes(route.New(1, nil, map[string]route.Service{"s": {TokensPerEvent: modelEventTokens}}, nil, route.Limits{}), map[string]rollout.Release{}))
	var members []peer.Member
	for i := range sharedInstances {
		id := fmt.Sprint("e", i)
		members = append(members, peer.Member{ID: id, Addr: id})
		l.nodes[id] = placement.NewNode(id, uint64(i)<<32, loopback{l, id}, time.Now, func(string, ...any) {})
		l.routers = append(l.routers, NewRouter(Ports{
			View: v, Clock: time.Now, Rand: rand.NewPCG(uint64(i), 1), Upstream: m, Retries: retryBurst(1e6), FleetSize: func() int { return sharedInstances },
			Placer: l.nodes[id], CompletionPause: time.Second, Hooks: &Hooks{ShareDecided: l.decided},
		}))
	}
	for _, r := range l.routers {
		// The instances have learned how long a token takes.
		for r.prefillTimes.MsPerToken("s/m", 0) < 0.99*modelPace.Seconds()*1000 {
			r.prefillTimes.Observe("s/m", 1000*modelPace, 1000)
		}
	}
	for id, n := range l.nodes {
		if !l.cut[id] {
			n.SetMembers(members)
			continue
		}
		// The instance knows only members that don't answer.
		n.SetMembers([]peer.Member{{ID: "gone", Addr: "gone"}})
	}
}

func (l *sharedLoad) decided(d ShareDecision) {
	var c int
	_, _ = fmt.Sscanf(d.Customer, "c%d", &c)
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.Outcome == ShareRefused {
		l.tallies[c].overShare++
		l.returns = append(l.returns, time.Since(l.start)+d.RetryIn)
	} else {
		l.tallies[c].demoted++
	}
	if d.Used <= d.Fair {
		l.t.Errorf("%s is over its share with %.3f of %.3f", d.Customer, d.Used, d.Fair)
	}
}

// request sends a request of the customer, and again if the client is asked to retry.
func (l *sharedLoad) request(instance, customer, kind int) {
	for n := 0; ; n++ {
		k, now := sharedKinds[kind], time.Now()
		q := &OpaqueRequest{
			ID: fmt.Sprint(now.UnixNano(), customer, kind), Route: &l.routes[kind], Table: l.routers[instance].view.Get().Table, Customer: route.Customer{Name: fmt.Sprint("c", customer)},
			Prompt: prompt.Prompt{Model: "m", InputTokens: k.prompt, EstimatedOutputTokens: k.answer, MaxOutputTokens: k.answer}, ArrivedAt: now, Deadline: now.Add(k.limit), TimeoutAt: now.Add(k.limit),
		}
		_, err := l.routers[instance].Forward(l.t.Context(), q, &clientSink{})
		var f *Failure
		isRefused := errors.As(err, &f) && f.Outcome == outcome.NotRun
		l.count(customer, time.Since(now), err, isRefused, n == 0)
		if !isRefused || n == maxReturns {
			return
		}
		time.Sleep(time.Until(f.RetryAt))
	}
}

func (l *sharedLoad) count(customer int, took time.Duration, err error, isRefused, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	y := &l.tallies[customer]
	if first {
		y.sent++
	}
	switch {
	case err == nil:
		y.done++
		y.took += took
	case isRefused:
		y.refused++
	default:
		y.late++
	}
}

// others sums the tallies of all customers but the hot one.
func (l *sharedLoad) others() customerTally {
	var o customerTally
	for c, y := range l.tallies {
		if c != hotCustomer {
			o.sent, o.done, o.late, o.refused = o.sent+y.sent, o.done+y.done, o.late+y.late, o.refused+y.refused
			o.overShare, o.demoted, o.took = o.overShare+y.overShare, o.demoted+y.demoted, o.took+y.took
		}
	}
	return o
}

// minServed returns the least part of the requests that was served of any customer, including those
// that were refused at first.
func (l *sharedLoad) minServed() float64 {
	least := 1.0
	for _, y := range l.tallies {
		least = min(least, float64(y.done)/float64(y.sent))
	}
	return least
}

// Guards against a customer whose load takes the replicas from the others, and against refusals of
// others. Capacity is short by a third.
func TestHotCustomerLeavesOthersTheirShares(t *testing.T) {
	usual := (&sharedLoad{stalled: usualStalled, replicas: 8}).play(t).others()
	l := (&sharedLoad{stalled: usualStalled, replicas: 8, hot: true}).play(t)
	o, hot := l.others(), l.tallies[hotCustomer]
	if o.refused > 0 || float64(o.done) < 0.995*float64(o.sent) {
		t.Errorf("others: %d refused and %d served of %d, want none refused and 0.995 served", o.refused, o.done, o.sent)
	}
	if m := o.mean(); m > 2*usual.mean() {
		t.Errorf("others got their last event after %s on average, want at most twice the %s without the hot customer", m, usual.mean())
	}
	if hot.overShare == 0 || hot.demoted == 0 {
		t.Errorf("hot customer: %d refused and %d demoted, want some of both", hot.overShare, hot.demoted)
	}
	if equal := float64(o.done+hot.done) / sharedCustomers; float64(hot.done) < equal {
		t.Errorf("hot customer: %d served, want at least its equal share of %.0f", hot.done, equal)
	}
	l.checkReturns(t)
}

// Guards against streams that stall at all replicas, as they generate little during prefill, until
// the answers of all customers are late.
func TestHotCustomerDoesNotStallOthers(t *testing.T) {
	l := (&sharedLoad{stalled: usualStalled / 2, replicas: 8, hot: true}).play(t)
	if o := l.others(); float64(o.done) < 0.95*float64(o.sent) {
		t.Errorf("others: %d served of %d, want 0.95", o.done, o.sent)
	}
}

// checkReturns guards against refused clients that return together, and against customers whose
// clients return in vain.
func (l *sharedLoad) checkReturns(t *testing.T) {
	const bin = 250 * time.Millisecond
	bins := map[time.Duration]int{}
	for _, at := range l.returns {
		bins[at/bin]++
	}
	for at, n := range bins {
		if n > len(l.returns)/10 {
			t.Errorf("%d of %d refused clients return within %s at %s, want at most a tenth", n, len(l.returns), bin, at*bin)
		}
	}
	if p := l.minServed(); p < 0.75 {
		t.Errorf("%.2f of the requests of some customer were served, want at least 0.75", p)
	}
}

// Guards against demotion and refusal where the replicas serve all, as a customer may use what the
// others leave.
func TestHotCustomerMayUseFreeCapacity(t *testing.T) {
	l := (&sharedLoad{stalled: usualStalled, replicas: 18, hot: true}).play(t)
	for c, y := range l.tallies {
		if y.done != y.sent || y.demoted > 0 || y.refused > 0 {
			t.Errorf("customer %d: %d of %d served, %d demoted and %d refused, want all served at once", c, y.done, y.sent, y.demoted, y.refused)
		}
	}
}

// Guards against refusals of customers within their shares by instances that can't reach the owner,
// which see a small part of the load, and against a hot customer that they don't hold to its share.
func TestInstancesWithoutOwnerShareByTheirOwnRequests(t *testing.T) {
	all := map[string]bool{"e0": true, "e1": true, "e2": true, "e3": true, "e4": true}
	for _, cut := range []map[string]bool{{"e1": true}, all} {
		l := (&sharedLoad{stalled: usualStalled, replicas: 8, hot: true, cut: cut}).play(t)
		o, hot := l.others(), l.tallies[hotCustomer]
		if o.overShare > o.sent/100 || float64(o.done) < 0.98*float64(o.sent) {
			t.Errorf("%d instances cut off: others: %d refused and %d served of %d, want at most 0.01 refused and 0.98 served", len(cut), o.overShare, o.done, o.sent)
		}
		if hot.overShare == 0 {
			t.Errorf("%d instances cut off: no request of the hot customer was refused", len(cut))
		}
	}
}
