package notice_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/notice"
)

// The fleet of these tests is instances that each keep a book, before replicas that rest and leave,
// on a virtual clock.
const (
	simReplicas = 18
	// simFor is how long requests come, each second simPerReplica for each replica.
	simFor        = 16 * time.Second
	simPerReplica = 30
	// restWithin is how soon after its word a rest binds, inRestMost what it may get all the
	// same, and drainFor how long after its word a leaving replica may get requests.
	restWithin = 500 * time.Millisecond
	inRestMost = 2
	drainFor   = 2 * time.Second
)

// event is something that happens at a moment.
type event struct {
	at time.Time
	do func()
}

// events are those to come.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// need is a replica's wish for rest in some time: it turns all away and asks for rest.
type need struct {
	from, to time.Time
	rest     time.Duration
}

// asked is a rest that a replica asked an instance for.
type asked struct{ from, to time.Time }

type simulated struct {
	rand    *rand.Rand
	now     time.Time
	queue   events
	books   []*notice.Tracker
	needs   map[int]need
	leaves  map[int]time.Time
	told    map[[2]int]time.Time
	asked   map[[2]int][]asked
	arrived map[[2]int][]time.Time
	// perReplica are arrivals by replica and tenth of a second.
	perReplica map[int]map[int]int
	served     int
	turned     int
	unserved   int
	frozen     map[int]time.Time
}

func newSimulated(seed uint64, instances int) *simulated {
	s := &simulated{rand: rand.New(rand.NewPCG(seed, 0)), now: noon, needs: map[int]need{}, leaves: map[int]time.Time{}, told: map[[2]int]time.Time{}, asked: map[[2]int][]asked{}, arrived: map[[2]int][]time.Time{}, perReplica: map[int]map[int]int{}, frozen: map[int]time.Time{}}
	for range instances {
		s.books = append(s.books, notice.NewTracker(func() time.Time { return s.now }, drainFor, func(string, ...any) {}))
	}
	return s
}

func (s *simulated) after(d time.Duration, f func()) { heap.Push(&s.queue, event{s.now.Add(d), f}) }

// trip is how long a message takes.
func (s *simulated) trip() time.Duration {
	return time.Millisecond + time.Duration(s.rand.ExpFloat64()*float64(2*time.Millisecond))
}

func id(replica int) string { return fmt.Sprint("r", replica) }

// request has the instance send a request, and again elsewhere if it is turned away, to replicas that it may go to.
func (s *simulated) request(instance int, tried map[int]bool) {
	if t, ok := s.frozen[instance]; ok && s.now.Before(t) {
		s.after(t.Sub(s.now), func() { s.request(instance, tried) })
		return
	}
	var l []int
	for _, v := range []notice.Availability{notice.Available, notice.LastResort} {
		for r := range simReplicas {
			if !tried[r] && s.books[instance].Availability(id(r), s.now) == v {
				l = append(l, r)
			}
		}
		if len(l) > 0 {
			break
		}
	}
	if len(l) == 0 || len(tried) >= 3 {
		s.unserved++
		return
	}
	r := l[s.rand.IntN(len(l))]
	if !s.books[instance].AdmitRequest(id(r), s.now) {
		s.request(instance, tried)
		return
	}
	sentAt := s.now
	tried[r] = true
	s.after(s.trip(), func() { s.arrive(instance, r, sentAt, tried) })
}

func (s *simulated) arrive(instance, r int, sentAt time.Time, tried map[int]bool) {
	k := [2]int{instance, r}
	s.arrived[k] = append(s.arrived[k], s.now)
	if s.perReplica[r] == nil {
		s.perReplica[r] = map[int]int{}
	}
	s.perReplica[r][int(s.now.Sub(noon)/(100*time.Millisecond))]++
	n := notice.Notice{Replica: id(r), SentAt: sentAt}
	at, leaves := s.leaves[r]
	n.Draining = leaves && !s.now.Before(at)
	took := time.Duration(0)
	if x, ok := s.needs[r]; ok && !s.now.Before(x.from) && s.now.Before(x.to) {
		n.Refused = true
		n.BackoffUntil = s.now.Add(x.rest)
		s.asked[k] = append(s.asked[k], asked{s.now, n.BackoffUntil})
	} else {
		took = time.Duration(5+s.rand.IntN(40)) * time.Millisecond
	}
	s.after(took+s.trip(), func() {
		n.ReceivedAt = s.now
		if n.Refused {
			n.BackoffUntil = n.BackoffUntil.Add(s.trip())
		}
		s.books[instance].Observe(n)
		if _, known := s.told[k]; n.Draining && !known {
			s.told[k] = s.now
		}
		if n.Refused {
			s.turned++
			s.request(instance, tried)
			return
		}
		s.served++
	})
}

// run has requests come at all instances alike until the time is over.
func (s *simulated) run() {
	for range simReplicas * simPerReplica {
		var next func()
		next = func() {
			if s.now.Sub(noon) < simFor {
				s.request(s.rand.IntN(len(s.books)), map[int]bool{})
				s.after(time.Duration(s.rand.ExpFloat64()*float64(time.Second)), next)
			}
		}
		s.after(time.Duration(s.rand.ExpFloat64()*float64(time.Second)), func() { next() })
	}
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// check checks the two promises for each instance and replica.
func (s *simulated) check(t *testing.T) {
	t.Helper()
	for k, l := range s.asked {
		for _, a := range l {
			n := 0
			for _, x := range s.arrived[k] {
				if x.After(a.from.Add(restWithin)) && x.Before(a.to) {
					n++
				}
			}
			if n > inRestMost {
				t.Errorf("%d requests of one instance reached %s in a rest of %s", n, id(k[1]), a.to.Sub(a.from))
			}
		}
	}
	for k, told := range s.told {
		for _, x := range s.arrived[k] {
			if x.After(told.Add(drainFor)) {
				t.Errorf("a request reached %s %s after it had said that it leaves", id(k[1]), x.Sub(told))
			}
		}
	}
}

// arrivals is what the replica got from one moment to another.
func (s *simulated) arrivals(r int, from, to time.Duration) int {
	n := 0
	for t, k := range s.perReplica[r] {
		if at := time.Duration(t) * 100 * time.Millisecond; at >= from && at < to {
			n += k
		}
	}
	return n
}

// Drawn days: several replicas rest, in needs that overlap and differ, some leave, instances are frozen.
func TestFleetKeepsOffReplicasThatRestOrLeaveOnDrawnDays(t *testing.T) {
	for seed := range uint64(200) {
		s := newSimulated(seed, 7)
		for r := range simReplicas {
			switch s.rand.IntN(4) {
			case 0:
				from := noon.Add(time.Duration(s.rand.IntN(10000)) * time.Millisecond)
				s.needs[r] = need{from, from.Add(time.Duration(s.rand.IntN(8000)) * time.Millisecond), time.Duration(1+s.rand.IntN(4000)) * time.Millisecond}
			case 1:
				s.leaves[r] = noon.Add(time.Duration(s.rand.IntN(16000)) * time.Millisecond)
			}
		}
		for i := range s.books {
			if s.rand.IntN(4) == 0 {
				s.after(time.Duration(s.rand.IntN(10000))*time.Millisecond, func() { s.frozen[i] = s.now.Add(3 * time.Second) })
			}
		}
		s.run()
		s.check(t)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// A replica that asks for 3 s of rest for 8 s: what it gets meanwhile, and how soon it is used again.
func TestRestingReplicaIsUsedAgainAfterItsRest(t *testing.T) {
	for _, instances := range []int{7, 65, 300, 1000} {
		s := newSimulated(1, instances)
		s.needs[0] = need{noon.Add(2 * time.Second), noon.Add(10 * time.Second), 3 * time.Second}
		s.run()
		s.check(t)
		before := s.arrivals(0, 0, 2*time.Second) / 2
		during := float64(s.arrivals(0, 2*time.Second, 10*time.Second)) / 8
		rested := s.arrivals(0, 13*time.Second, 16*time.Second) / 3
		t.Logf("%d instances: %d a second before, %.1f in need, %d from 3 s after it, %d turned away, %d not served", instances, before, during, rested, s.turned, s.unserved)
		if s.unserved > 0 {
			t.Errorf("%d instances: %d requests were not served while 17 replicas were fit", instances, s.unserved)
		}
		if rested < simPerReplica*4/5 {
			t.Errorf("%d instances: %d requests a second when all have rested, %d as a rule", instances, rested, simPerReplica)
		}
	}
}

// All replicas ask for rest at once: nothing is kept waiting, and the end is no herd.
func TestAllReplicasRestAtOnce(t *testing.T) {
	s := newSimulated(1, 7)
	for r := range simReplicas {
		s.needs[r] = need{noon.Add(2 * time.Second), noon.Add(4 * time.Second), time.Second}
	}
	s.run()
	s.check(t)
	most := 0
	for r := range simReplicas {
		for tenth := 40; tenth < 80; tenth++ {
			most = max(most, s.perReplica[r][tenth])
		}
	}
	t.Logf("%d served, %d turned away, %d not served; most at one replica in 0.1 s after it %d", s.served, s.turned, s.unserved, most)
	if most > 5*simPerReplica/10 {
		t.Errorf("%d requests at one replica in 0.1 s as the rest ended, %d as a rule", most, simPerReplica/10)
	}
}
