package quota_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fieldvale/peer"
	"fieldvale/quota"
)

// fragileReplica works on a few requests at a time, lets a few wait and rejects the others.
type fragileReplica struct {
	id             string
	limit          string
	slots, waiting int

	mu         sync.Mutex
	present    int
	served     int
	rejections []time.Time
}

// workTime is how long the replica works on a request.
const workTime = 30 * time.Millisecond

// serve returns false if the replica rejects the request.
func (r *fragileReplica) serve() bool {
	r.mu.Lock()
	if r.present >= r.slots+r.waiting {
		r.rejections = append(r.rejections, time.Now())
		r.mu.Unlock()
		return false
	}
	r.present++
	wait := workTime * time.Duration(1+max(0, r.present-r.slots)/r.slots)
	r.mu.Unlock()
	time.Sleep(wait)
	r.mu.Lock()
	r.present--
	r.served++
	r.mu.Unlock()
	return true
}

// mostRejections returns the largest number of rejections within a second from the time on.
func (r *fragileReplica) mostRejections(from time.Time) int {
	most, first := 0, 0
	for i, t := range r.rejections {
		for t.Sub(r.rejections[first]) >= time.Second || r.rejections[first].Before(from) && first < i {
			first++
		}
		if !t.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// fragileCase is a line of testdata/fragile.jsonl.
type fragileCase struct {
	Name string
	// Size is the number of instances; Rejections is what each replica bears in a second.
	Size, Rejections int
	// Load is the offered load as a multiple of what the replicas can serve.
	Load float64
	Loss float64
	// LoseOwner is when the owner dies, in seconds; 0 for never.
	LoseOwner float64
}

// readFragileCases reads the scripted loads.
func readFragileCases(t *testing.T) []fragileCase {
	f, err := os.Open("testdata/fragile.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var l []fragileCase
	for b := bufio.NewScanner(f); b.Scan(); {
		var c fragileCase
		if err := json.Unmarshal(b.Bytes(), &c); err != nil {
			t.Fatal(err)
		}
		l = append(l, c)
	}
	return l
}

// fragileFleet is a fleet before three fragile replicas.
type fragileFleet struct {
	*simulation
	replicas []*fragileReplica
}

// request sends a request, up to three times while replicas reject it.
func (f *fragileFleet) request() {
	f.fleet.mu.Lock()
	id, first := f.ids[f.rand.IntN(f.size)], f.rand.IntN(len(f.replicas))
	n := f.fleet.nodes[id]
	up := !f.dead[id]
	f.fleet.mu.Unlock()
	tried := 0
	for up && tried < len(f.replicas) {
		q := quota.PermitRequest{Service: "s", OnlyBounded: true}
		l := f.replicas[tried:]
		for i := range l {
			r := f.replicas[(first+tried+i)%len(f.replicas)]
			q.Candidates = append(q.Candidates, quota.Candidate{Replica: r.id, Bound: n.Bound(r.id, 0, false)})
		}
		v := quota.PermitResult{}
		if q.Candidates[0].Bound.IsBounded() {
			v = n.AcquirePermit(context.Background(), q)
		}
		if v.Index < 0 || f.send(n, f.replicas[(first+tried+v.Index)%len(f.replicas)], v.Ticket) {
			return
		}
		tried++
	}
}

// send sends a request to the replica and reports its answer to the node.
func (f *fragileFleet) send(n *quota.Node, r *fragileReplica, t quota.Ticket) bool {
	sent := time.Now()
	time.Sleep(transitTime)
	ok := r.serve()
	time.Sleep(transitTime)
	w, err := quota.ParseLimitReport([]string{r.limit}, sent, time.Now())
	if err != nil {
		panic(err)
	}
	n.ObserveRejectionLimit("s", r.id, w)
	n.ReportEnd(t, !ok)
	return ok
}

// run offers the load for the time d.
func (f *fragileFleet) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end, i := time.Now().Add(d), 0; time.Now().Before(end); i++ {
		for range f.arrivalsDue(step) {
			go f.request()
		}
		if i%10 == 0 {
			for _, id := range f.ids {
				if f.isUp(id) {
					f.fleet.nodes[id].Tick()
				}
			}
		}
		time.Sleep(step)
	}
}

// graceTime is how long after a replica says that it is fragile it must not be made to crash.
const graceTime = 3 * time.Second

// Guards against replicas that crash because all instances together make them reject more requests in
// a second than they bear.
func TestFragileReplicasRejectFew(t *testing.T) {
	for _, c := range readFragileCases(t) {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFragileFleet(c)
				began := time.Now()
				f.run(graceTime)
				for _, r := range f.replicas {
					r.mu.Lock()
					r.waiting = 1
					r.mu.Unlock()
				}
				if c.LoseOwner > 0 {
					f.run(time.Duration(c.LoseOwner * float64(time.Second)))
					f.fleet.mu.Lock()
					f.dead[f.owner()] = true
					f.fleet.mu.Unlock()
				}
				f.run(8 * time.Second)
				time.Sleep(2 * time.Second)
				served := 0
				for _, r := range f.replicas {
					if k := r.mostRejections(began.Add(graceTime)); k > c.Rejections {
						t.Errorf("replica %s rejected %d requests in a second, want at most %d", r.id, k, c.Rejections)
					}
					served += r.served
				}
				t.Logf("served %d", served)
			})
		})
	}
}

// newFragileFleet starts the fleet of the case; the replicas are fragile from the start.
func newFragileFleet(c fragileCase) *fragileFleet {
	const slots, replicas = 6, 3
	perSecond := c.Load * replicas * slots / workTime.Seconds()
	d := scenario{size: c.Size, perSecond: perSecond, loss: c.Loss, seed: 5}
	x := &fleet{nodes: map[string]*quota.Node{}, frozen: map[string]bool{}, dead: map[string]bool{}, queued: map[string][]func(){}, loss: c.Loss, rand: rand.New(rand.NewPCG(5, 8))}
	f := &fragileFleet{simulation: &simulation{scenario: d, fleet: x, rand: x.rand, service: "s", nextStartID: 5}}
	f.registered = min(c.Size, 48)
	for i := range c.Size {
		id := fmt.Sprint("n", i)
		f.ids = append(f.ids, id)
		if i < f.registered {
			f.members = append(f.members, peer.Member{ID: id, Addr: id})
		}
	}
	for _, id := range f.ids {
		f.startNode(id)
	}
	f.perSecond = 0
	f.run(6 * time.Second)
	f.perSecond = perSecond
	for i := range replicas {
		f.replicas = append(f.replicas, &fragileReplica{id: fmt.Sprint("r", i), limit: fmt.Sprint(c.Rejections), slots: slots, waiting: 12})
	}
	return f
}
