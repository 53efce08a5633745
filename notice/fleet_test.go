package notice_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/notice"
)

// These tests simulate instances with one tracker each, in front of replicas that request backoffs
// and drain, on a virtual clock.
const (
	replicaCount = 18
	// trafficDuration is how long requests arrive, at requestsPerReplica requests a second for each
	// replica.
	trafficDuration    = 16 * time.Second
	requestsPerReplica = 30
	// backoffGrace is how long after a backoff request it must be in force at the instance,
	// maxDuringBackoff how many requests the replica may get in spite of it after that, and
	// drainFor how long after its report a draining replica may get requests.
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
	drainFor         = 2 * time.Second
)

// event is a function to run at a point in time.
type event struct {
	at  time.Time
	run func()
}

// events is a heap of the scheduled events, ordered by time.
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

// overload is a span of time in which a replica refuses all requests and asks for a backoff.
type overload struct {
	from, to time.Time
	backoff  time.Duration
}

// backoffSpan is a backoff that a replica requested from an instance.
type backoffSpan struct{ from, to time.Time }

type simulation struct {
	rand              *rand.Rand
	now               time.Time
	queue             events
	trackers          []*notice.Tracker
	overloads         map[int]overload
	drainingFrom      map[int]time.Time
	drainingSeenAt    map[[2]int]time.Time
	requestedBackoffs map[[2]int][]backoffSpan
	arrivalTimes      map[[2]int][]time.Time
	// perReplica counts arrivals by replica and tenth of a second.
	perReplica  map[int]map[int]int
	served      int
	rejected    int
	unserved    int
	frozenUntil map[int]time.Time
}

func newSimulation(seed uint64, instances int) *simulation {
	s := &simulation{rand: rand.New(rand.NewPCG(seed, 0)), now: noon, overloads: map[int]overload{}, drainingFrom: map[int]time.Time{}, drainingSeenAt: map[[2]int]time.Time{}, requestedBackoffs: map[[2]int][]backoffSpan{}, arrivalTimes: map[[2]int][]time.Time{}, perReplica: map[int]map[int]int{}, frozenUntil: map[int]time.Time{}}
	for range instances {
		s.trackers = append(s.trackers, notice.NewTracker(func() time.Time { return s.now }, drainFor, func(string, ...any) {}))
	}
	return s
}

func (s *simulation) after(d time.Duration, f func()) { heap.Push(&s.queue, event{s.now.Add(d), f}) }

// transitTime returns a random network delay for one message.
func (s *simulation) transitTime() time.Duration {
	return time.Millisecond + time.Duration(s.rand.ExpFloat64()*float64(2*time.Millisecond))
}

func replicaID(replica int) string { return fmt.Sprint("r", replica) }

// request has the instance send a request to an available replica. If the replica refuses it, the
// request is retried at other replicas, up to three in all.
func (s *simulation) request(instance int, tried map[int]bool) {
	if t, ok := s.frozenUntil[instance]; ok && s.now.Before(t) {
		s.after(t.Sub(s.now), func() { s.request(instance, tried) })
		return
	}
	var l []int
	for _, v := range []notice.Availability{notice.Available, notice.LastResort} {
		for r := range replicaCount {
			if !tried[r] && s.trackers[instance].Availability(replicaID(r), s.now) == v {
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
	if !s.trackers[instance].AdmitRequest(replicaID(r), s.now) {
		s.request(instance, tried)
		return
	}
	sentAt := s.now
	tried[r] = true
	s.after(s.transitTime(), func() { s.arrive(instance, r, sentAt, tried) })
}

func (s *simulation) arrive(instance, r int, sentAt time.Time, tried map[int]bool) {
	k := [2]int{instance, r}
	s.arrivalTimes[k] = append(s.arrivalTimes[k], s.now)
	if s.perReplica[r] == nil {
		s.perReplica[r] = map[int]int{}
	}
	s.perReplica[r][int(s.now.Sub(noon)/(100*time.Millisecond))]++
	n := notice.Notice{Replica: replicaID(r), SentAt: sentAt}
	at, drains := s.drainingFrom[r]
	n.Draining = drains && !s.now.Before(at)
	took := time.Duration(0)
	if x, ok := s.overloads[r]; ok && !s.now.Before(x.from) && s.now.Before(x.to) {
		n.Refused = true
		n.BackoffUntil = s.now.Add(x.backoff)
		s.requestedBackoffs[k] = append(s.requestedBackoffs[k], backoffSpan{s.now, n.BackoffUntil})
	} else {
		took = time.Duration(5+s.rand.IntN(40)) * time.Millisecond
	}
	s.after(took+s.transitTime(), func() {
		n.ReceivedAt = s.now
		if n.Refused {
			n.BackoffUntil = n.BackoffUntil.Add(s.transitTime())
		}
		s.trackers[instance].Observe(n)
		if _, known := s.drainingSeenAt[k]; n.Draining && !known {
			s.drainingSeenAt[k] = s.now
		}
		if n.Refused {
			s.rejected++
			s.request(instance, tried)
			return
		}
		s.served++
	})
}

// run generates requests at random instances until trafficDuration has passed, and processes all
// events.
func (s *simulation) run() {
	for range replicaCount * requestsPerReplica {
		var next func()
		next = func() {
			if s.now.Sub(noon) < trafficDuration {
				s.request(s.rand.IntN(len(s.trackers)), map[int]bool{})
				s.after(time.Duration(s.rand.ExpFloat64()*float64(time.Second)), next)
			}
		}
		s.after(time.Duration(s.rand.ExpFloat64()*float64(time.Second)), func() { next() })
	}
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

// checkBounds checks both guarantees for each instance and replica: at most maxDuringBackoff
// requests arrive during a backoff, and none arrives more than drainFor after the instance learned
// that the replica is draining.
func (s *simulation) checkBounds(t *testing.T) {
	t.Helper()
	for k, l := range s.requestedBackoffs {
		for _, a := range l {
			n := 0
			for _, x := range s.arrivalTimes[k] {
				if x.After(a.from.Add(backoffGrace)) && x.Before(a.to) {
					n++
				}
			}
			if n > maxDuringBackoff {
				t.Errorf("got %d requests of one instance at %s during a backoff of %s, want at most %d", n, replicaID(k[1]), a.to.Sub(a.from), maxDuringBackoff)
			}
		}
	}
	for k, seenAt := range s.drainingSeenAt {
		for _, x := range s.arrivalTimes[k] {
			if x.After(seenAt.Add(drainFor)) {
				t.Errorf("%s got a request %s after it had reported that it is draining, want none after %s", replicaID(k[1]), x.Sub(seenAt), drainFor)
			}
		}
	}
}

// arrivals returns how many requests the replica got in a span of time.
func (s *simulation) arrivals(r int, from, to time.Duration) int {
	n := 0
	for t, k := range s.perReplica[r] {
		if at := time.Duration(t) * 100 * time.Millisecond; at >= from && at < to {
			n += k
		}
	}
	return n
}

// Guards against requests that reach a replica during its backoff, or too long after it reported
// that it is draining. In each random run several replicas are overloaded in overlapping spans of
// different lengths, some drain, and some instances are frozen for three seconds.
func TestFleetAvoidsUnavailableReplicasInRandomRuns(t *testing.T) {
	for seed := range uint64(200) {
		s := newSimulation(seed, 7)
		for r := range replicaCount {
			switch s.rand.IntN(4) {
			case 0:
				from := noon.Add(time.Duration(s.rand.IntN(10000)) * time.Millisecond)
				s.overloads[r] = overload{from, from.Add(time.Duration(s.rand.IntN(8000)) * time.Millisecond), time.Duration(1+s.rand.IntN(4000)) * time.Millisecond}
			case 1:
				s.drainingFrom[r] = noon.Add(time.Duration(s.rand.IntN(16000)) * time.Millisecond)
			}
		}
		for i := range s.trackers {
			if s.rand.IntN(4) == 0 {
				s.after(time.Duration(s.rand.IntN(10000))*time.Millisecond, func() { s.frozenUntil[i] = s.now.Add(3 * time.Second) })
			}
		}
		s.run()
		s.checkBounds(t)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// One replica requests backoffs of 3 s over a span of 8 s. Guards against requests that fail
// although all other replicas are available, and against a replica that stays unused after its
// backoff.
func TestReplicaIsUsedAgainAfterBackoff(t *testing.T) {
	for _, instances := range []int{7, 65, 300, 1000} {
		s := newSimulation(1, instances)
		s.overloads[0] = overload{noon.Add(2 * time.Second), noon.Add(10 * time.Second), 3 * time.Second}
		s.run()
		s.checkBounds(t)
		before := s.arrivals(0, 0, 2*time.Second) / 2
		during := float64(s.arrivals(0, 2*time.Second, 10*time.Second)) / 8
		after := s.arrivals(0, 13*time.Second, 16*time.Second) / 3
		t.Logf("%d instances: %d requests a second before the overload, %.1f during it, %d from 3 s after it; %d refused, %d not served", instances, before, during, after, s.rejected, s.unserved)
		if s.unserved > 0 {
			t.Errorf("%d instances: %d requests were not served while 17 replicas were available, want 0", instances, s.unserved)
		}
		if after < requestsPerReplica*4/5 {
			t.Errorf("%d instances: got %d requests a second after the backoffs, want at least %d", instances, after, requestsPerReplica*4/5)
		}
	}
}

// All replicas request a backoff at the same time. Guards against a burst at one replica when the
// backoffs end together.
func TestAllReplicasBackOffAtOnce(t *testing.T) {
	s := newSimulation(1, 7)
	for r := range replicaCount {
		s.overloads[r] = overload{noon.Add(2 * time.Second), noon.Add(4 * time.Second), time.Second}
	}
	s.run()
	s.checkBounds(t)
	most := 0
	for r := range replicaCount {
		for tenth := 40; tenth < 80; tenth++ {
			most = max(most, s.perReplica[r][tenth])
		}
	}
	t.Logf("%d served, %d refused, %d not served; at most %d requests at one replica in 0.1 s after the backoffs", s.served, s.rejected, s.unserved, most)
	if most > 5*requestsPerReplica/10 {
		t.Errorf("got %d requests at one replica in 0.1 s after the backoffs, want at most %d", most, 5*requestsPerReplica/10)
	}
}
