package budget

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"fieldvale/fleetsize"
	"fieldvale/peer"
)

// dayLength is the length of a simulated day in seconds.
const dayLength = 36

// fleetSpec is a fleet of the simulation. requestRate is in requests per second of the whole fleet.
type fleetSpec struct {
	size        int
	requestRate float64
	limit       Limit
}

// fleets are fleets of the sizes that are in use.
var fleets = map[int]fleetSpec{
	7:   {7, 105, Limit{Ratio: 0.9, Burst: 54}},
	65:  {65, 600, Limit{Ratio: 0.9, Burst: 170}},
	133: {133, 256, Limit{Ratio: 0.9, Burst: 330}},
	300: {300, 870, Limit{Ratio: 0.9, Burst: 630}},
	985: {985, 535, Limit{Ratio: 0.9, Burst: 1040}},
}

// span is a period in which something holds for a fraction of the fleet or of the replicas, in
// seconds of the day.
type span struct{ fraction, from, to float64 }

func (s span) contains(t float64) bool { return t >= s.from && t < s.to }

// day is what happens in a simulated day.
type day struct {
	// kills end a fraction of the instances; they start again half a second after from.
	kills []span
	// failures are the replicas' failures: the fraction is that of failed requests.
	failures []span
	// lapses are outages of the store in which all registrations lapse, and cuts and freezes are of
	// single instances.
	lapses, cuts, freezes []span
	// shifts move the fraction of the clients of the first half of the instances to the others.
	shifts []span
	// holes are periods in which no client reaches an instance.
	holes []span
	// additions are instances that join at from, as a fraction of the fleet.
	additions []span
}

// simulation plays one day of a fleet on a virtual clock.
type simulation struct {
	fleetSpec
	day    day
	rand   *rand.Rand
	now    float64
	events eventQueue
	nodes  []*simNode
	byAddr map[string]*simNode
	// sent are the times at which clients sent requests, and extra those at which replicas got
	// arrivals beyond the first of a request.
	sent, extra []float64
	// recorded is the number of instances that is recorded in the store.
	recorded int
	// wanted and denied count retries.
	wanted, denied int
}

// simNode is one instance of a simulation.
type simNode struct {
	addr string
	life *life
	// registeredAt is when the instance registers; it is a member of the fleet from then on.
	registeredAt                        float64
	mayRegister                         bool
	cutFrom, cutTo, frozenFrom, thawsAt float64
}

func (n *simNode) isCut(t float64) bool    { return t >= n.cutFrom && t < n.cutTo }
func (n *simNode) isFrozen(t float64) bool { return t >= n.frozenFrom && t < n.thawsAt }

// life is one run of an instance's process.
type life struct {
	budget  *Budget
	started float64
	// known is the list of members as the instance last received it.
	known int
	// members is the length of the list of members that the budget has.
	members int
	// size is the fleet's size as the life knows it.
	size fleetsize.Record
}

type event struct {
	at  float64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	o := *q
	e := o[len(o)-1]
	*q = o[:len(o)-1]
	return e
}

func (s *simulation) after(d float64, run func()) { heap.Push(&s.events, event{s.now + d, run}) }

// clock is the virtual time.
func (s *simulation) clock() time.Time {
	return noon.Add(time.Duration(s.now * float64(time.Second)))
}

// maxMembers is how many instances register in a large fleet.
const maxMembers = 48

// play plays the day.
func play(f fleetSpec, d day, seed uint64) *simulation {
	s := &simulation{byAddr: map[string]*simNode{}, fleetSpec: f, day: d, rand: rand.New(rand.NewPCG(seed, 1))}
	// All instances have started 14 s before the first request.
	s.now = -14
	for i := range f.size {
		s.addNode(i < maxMembers)
	}
	for _, n := range s.nodes {
		n.registeredAt = s.now + 1.5 + 2*s.rand.Float64()
	}
	s.schedule()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > dayLength {
			break
		}
		s.now = e.at
		e.run()
	}
	return s
}

func (s *simulation) addNode(mayRegister bool) *simNode {
	n := &simNode{addr: fmt.Sprint("n", len(s.nodes)), mayRegister: mayRegister, registeredAt: s.now + 1.5 + 2*s.rand.Float64()}
	s.nodes = append(s.nodes, n)
	s.byAddr[n.addr] = n
	s.start(n, len(s.nodes) <= s.size)
	return n
}

// at schedules what happens at the given second of the day.
func (s *simulation) at(t float64, run func()) { s.after(t-s.now, run) }

// schedule schedules the events of the day and the first request.
func (s *simulation) schedule() {
	for _, k := range s.day.kills {
		s.at(k.from, func() { s.forSome(k.fraction, s.kill) })
	}
	for _, l := range s.day.lapses {
		s.at(l.from, func() { s.lapse(l.to) })
	}
	for _, c := range s.day.cuts {
		s.at(c.from, func() { s.forSome(c.fraction, func(n *simNode) { n.cutFrom, n.cutTo = c.from, c.to }) })
	}
	for _, z := range s.day.freezes {
		s.at(z.from, func() { s.forSome(z.fraction, func(n *simNode) { n.frozenFrom, n.thawsAt = z.from, z.to }) })
	}
	for _, x := range s.day.additions {
		s.at(x.from, func() {
			for range int(x.fraction * float64(s.size)) {
				s.addNode(false)
			}
		})
	}
	s.at(0, s.nextRequest)
}

// forSome calls f for a random fraction of the instances.
func (s *simulation) forSome(fraction float64, f func(*simNode)) {
	for _, i := range s.rand.Perm(len(s.nodes))[:int(fraction*float64(len(s.nodes))+0.5)] {
		f(s.nodes[i])
	}
}

// restartDelay is how long a killed process is down, in seconds.
const restartDelay = 0.5

func (s *simulation) kill(n *simNode) {
	n.life = nil
	s.after(restartDelay, func() {
		if n.life == nil {
			s.start(n, false)
		}
	})
}

// lapse ends all registrations until the members have registered again.
func (s *simulation) lapse(back float64) {
	for _, n := range s.nodes {
		n.registeredAt = back + 6*s.rand.Float64()
	}
}

// isStoreDown reports whether the store can't be reached.
func (s *simulation) isStoreDown() bool { return inAny(s.day.lapses, s.now) }

func inAny(l []span, t float64) bool {
	return slices.ContainsFunc(l, func(x span) bool { return x.contains(t) })
}

// registered is the number of members on the list of the store.
func (s *simulation) registered() int {
	n := 0
	for _, x := range s.nodes {
		if x.mayRegister && x.registeredAt <= s.now {
			n++
		}
	}
	return n
}

// members returns the members on the list of the store.
func (s *simulation) members() []peer.Member {
	var l []peer.Member
	for _, x := range s.nodes {
		if x.mayRegister && x.registeredAt <= s.now {
			l = append(l, peer.Member{ID: x.addr, Addr: x.addr})
		}
	}
	return l
}

// hasConnection reports whether the instance can receive the list of members.
func (s *simulation) hasConnection(n *simNode) bool { return !n.isCut(s.now) && !s.isStoreDown() }

// estimate is the number of instances that the life would count at this moment: the members
// times one plus the followers of one member.
func (s *simulation) estimate(n *simNode, l *life) int {
	if s.hasConnection(n) && s.now-l.started > 0.2 {
		l.known = s.registered()
	}
	if n.isCut(s.now) || s.now-l.started < 0.9 {
		return l.known
	}
	followers := 0.0
	if members := min(s.size, maxMembers); members > 0 {
		followers = float64(len(s.nodes)-members) / float64(members)
	}
	return int(float64(l.known)*(1+followers) + 0.5)
}

// nextRequest sends the requests of the clients one after another.
func (s *simulation) nextRequest() {
	s.sent = append(s.sent, s.now)
	if n := s.pick(); n != nil {
		s.receive(n)
	}
	s.after(s.rand.ExpFloat64()/s.requestRate, s.nextRequest)
}

// pick returns the instance that gets the request; nil if none does.
func (s *simulation) pick() *simNode {
	if inAny(s.day.holes, s.now) {
		return nil
	}
	half := len(s.nodes) / 2
	for range 20 {
		i := s.rand.IntN(len(s.nodes))
		for _, x := range s.day.shifts {
			if x.contains(s.now) && i < half && s.rand.Float64() < x.fraction {
				i = half + s.rand.IntN(len(s.nodes)-half)
			}
		}
		if n := s.nodes[i]; n.life != nil {
			return n
		}
	}
	return nil
}

// receive has the instance read the request, after a freeze only if its client still waits.
func (s *simulation) receive(n *simNode) {
	if !n.isFrozen(s.now) {
		s.serve(n)
		return
	}
	const patience = 2
	if wait := n.thawsAt - s.now; wait < patience {
		s.after(wait, func() {
			if n.life != nil {
				s.serve(n)
			}
		})
	}
}

// service is the service of all requests of a simulation.
const service = "s"

func (s *simulation) serve(n *simNode) {
	n.life.budget.RecordRequest(service)
	s.attempt(n, n.life, 1)
}

// largerModelPart is the fraction of answers that a larger model should replace: on average 0.6
// retries a request.
const largerModelPart = 0.43

// maxRuns is the number of attempts that a request may use.
const maxRuns = 3

// attempt runs the attempt with the given number. The replica's answer follows a random delay.
func (s *simulation) attempt(n *simNode, l *life, number int) {
	s.after(0.05+0.3*s.rand.ExpFloat64(), func() {
		if n.life != l || number >= maxRuns {
			return
		}
		if n.isFrozen(s.now) {
			s.after(n.thawsAt-s.now, func() { s.answered(n, l, number) })
			return
		}
		s.answered(n, l, number)
	})
}

// answered decides after an attempt whether another one is made.
func (s *simulation) answered(n *simNode, l *life, number int) {
	if n.life != l {
		return
	}
	p := Failure
	failed := 0.01
	for _, x := range s.day.failures {
		if x.contains(s.now) {
			failed = max(failed, x.fraction)
		}
	}
	if s.rand.Float64() >= failed {
		if s.rand.Float64() >= largerModelPart {
			return
		}
		p = LargerModel
	}
	s.wanted++
	if !l.budget.TakeRetry(service, p) {
		s.denied++
		return
	}
	s.after(s.dispatchDelay(), func() {
		s.extra = append(s.extra, s.now)
		s.attempt(n, l, number+1)
	})
}

// dispatchDelay is the time from the grant of a retry to its arrival, in seconds.
func (s *simulation) dispatchDelay() float64 {
	if s.rand.IntN(20) == 0 {
		return 0.4 * s.rand.Float64()
	}
	return 0.01 * s.rand.Float64()
}

// worstWindow returns the largest number of extra arrivals in a window as a fraction of the allowed
// number, and when that window begins. The requests count of the window, of the one before it or of
// the one half a window before it, whichever has most.
func (s *simulation) worstWindow() (fraction, from float64) {
	const length = 10
	for i, a := range s.extra {
		n := sort.SearchFloat64s(s.extra, a+length) - i
		r := max(count(s.sent, a, a+length), count(s.sent, a-length, a), count(s.sent, a-length/2, a+length/2))
		if f := float64(n) / (s.limit.Ratio*float64(r) + s.limit.Burst); f > fraction {
			fraction, from = f, a
		}
	}
	return fraction, from
}

// count returns how many of the sorted times are from a to before b.
func count(times []float64, a, b float64) int {
	return sort.SearchFloat64s(times, b) - sort.SearchFloat64s(times, a)
}
