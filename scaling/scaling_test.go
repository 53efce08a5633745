package scaling_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/scaling"
)

var noon = time.Unix(1_700_000_000, 0)

var bounds = scaling.Bounds{Min: 1, Max: 46, Slots: 32}

// fleet simulates a service's replicas by data centre. Ordered replicas start after
// startDuration.
type fleet struct {
	running  map[string]int
	starting map[string][]start
}

type start struct {
	at time.Time
	n  int
}

func newFleet(each int) *fleet {
	return &fleet{running: map[string]int{"a": each, "b": each, "c": each, "d": each}, starting: map[string][]start{}}
}

func (c *fleet) zones() (l []scaling.DataCentre, total int) {
	for _, z := range []string{"a", "b", "c", "d"} {
		l = append(l, scaling.DataCentre{Name: z, Replicas: c.running[z]})
		total += c.running[z]
	}
	return l, total
}

// startDuration is how long a replica takes to start, including its cold phase.
const startDuration = 7 * time.Second

func (c *fleet) order(zone string, n int, at time.Time) {
	if n < c.running[zone] {
		c.running[zone] = n
		return
	}
	c.starting[zone] = []start{{at.Add(startDuration), n}}
}

func (c *fleet) tick(now time.Time) {
	for z, l := range c.starting {
		if len(l) > 0 && !now.Before(l[0].at) {
			c.running[z] = max(c.running[z], l[0].n)
			delete(c.starting, z)
		}
	}
}

// Guards against too few replicas, which would overload them when the load rises, and
// against paying for replicas that the recent peak load does not need. Simulates several
// loads and checks the peak utilization and the cost.
func TestReplicasFollowTheLoad(t *testing.T) {
	for _, c := range []struct {
		name string
		// load returns the number of running requests after s seconds.
		load func(s float64) int
		// maxUtilization is the largest allowed fraction of slots in use. cost bounds the
		// replica-seconds, as a fraction of those of all 92 initial replicas.
		maxUtilization, cost float64
	}{
		{"constant low load", func(float64) int { return 300 }, 0.35, 0.65},
		{"no load", func(float64) int { return 0 }, 0, 1},
		{"constant high load", func(float64) int { return 700 }, 0.3, 1.2},
		{"burst", func(s float64) int {
			if s > 20 && s < 26 {
				return 600
			}
			return 300
		}, 0.6, 0.85},
		{"sawtooth", func(s float64) int { return 300 + int(100*float64(int(s)%11)/11) }, 0.45, 0.75},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, z := scaling.NewPlanner(), newFleet(23)
			r := rand.New(rand.NewPCG(1, 2))
			maxUtilization, cost, fullCost := 0.0, 0.0, 0.0
			for tick := range 120 {
				now := noon.Add(time.Duration(tick) * 500 * time.Millisecond)
				z.tick(now)
				n := c.load(float64(tick) / 2)
				if n > 0 {
					n += r.IntN(21) - 10
				}
				p.RecordLoad(n, now)
				l, total := z.zones()
				maxUtilization = max(maxUtilization, float64(n)/float64(total*bounds.Slots))
				cost += float64(total)
				fullCost += 92
				for zone, want := range p.Plan(l, bounds, true, now) {
					z.order(zone, want, now)
					p.RecordOrder(zone, want)
				}
			}
			if maxUtilization > c.maxUtilization || cost > c.cost*fullCost {
				t.Errorf("got utilization up to %.2f, want at most %.2f; got cost %.2f, want at most %.2f", maxUtilization, c.maxUtilization, cost/fullCost, c.cost)
			}
		})
	}
}

// Guards against orders based on a wrong number of replicas: while replicas are replaced or
// a data centre is evacuated, and shortly afterwards, replaced replicas are still counted,
// so nothing may be ordered.
func TestNoOrdersWhileReplicasChange(t *testing.T) {
	p, z := scaling.NewPlanner(), newFleet(23)
	for tick := range 60 {
		now := noon.Add(time.Duration(tick) * 500 * time.Millisecond)
		p.RecordLoad(100, now)
		l, _ := z.zones()
		if o := p.Plan(l, bounds, tick > 50, now); len(o) > 0 {
			t.Fatalf("got orders %v after %s, want none while the replicas change", o, now.Sub(noon))
		}
	}
}
