package scaling_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/scaling"
)

var noon = time.Unix(1_700_000_000, 0)

var bounds = scaling.Bounds{Min: 1, Max: 46, Slots: 32}

// centres is a service's replicas by data centre; ordered ones start some seconds later.
type centres struct {
	now     map[string]int
	arrives map[string][]arrival
}

type arrival struct {
	at time.Time
	n  int
}

func newCentres(each int) *centres {
	return &centres{now: map[string]int{"a": each, "b": each, "c": each, "d": each}, arrives: map[string][]arrival{}}
}

func (c *centres) zones() (l []scaling.Zone, total int) {
	for _, z := range []string{"a", "b", "c", "d"} {
		l = append(l, scaling.Zone{Name: z, Replicas: c.now[z]})
		total += c.now[z]
	}
	return l, total
}

// boots is how long a replica takes to start, cold time included.
const boots = 7 * time.Second

func (c *centres) order(zone string, n int, at time.Time) {
	if n < c.now[zone] {
		c.now[zone] = n
		return
	}
	c.arrives[zone] = []arrival{{at.Add(boots), n}}
}

func (c *centres) tick(now time.Time) {
	for z, l := range c.arrives {
		if len(l) > 0 && !now.Before(l[0].at) {
			c.now[z] = max(c.now[z], l[0].n)
			delete(c.arrives, z)
		}
	}
}

// Loads played against the planner: callers get the replicas that their requests need, and
// no more are paid for than the load of the last seconds asks for with its reserve.
func TestLoadsGetTheirReplicas(t *testing.T) {
	for _, c := range []struct {
		name string
		// load is how many requests run after so many seconds.
		load func(s float64) int
		// fullest is the largest part of the slots that may ever be taken, paid the most
		// replica-seconds as a part of those with all 92 replicas.
		fullest, paid float64
	}{
		{"steady and light", func(float64) int { return 300 }, 0.35, 0.65},
		{"no load at all", func(float64) int { return 0 }, 0, 1},
		{"steady and heavy", func(float64) int { return 700 }, 0.3, 1.2},
		{"a burst in the middle", func(s float64) int {
			if s > 20 && s < 26 {
				return 600
			}
			return 300
		}, 0.6, 0.85},
		{"waves", func(s float64) int { return 300 + int(100*float64(int(s)%11)/11) }, 0.45, 0.75},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, z := scaling.NewPlanner(), newCentres(23)
			r := rand.New(rand.NewPCG(1, 2))
			fullest, paid, all := 0.0, 0.0, 0.0
			for tick := range 120 {
				now := noon.Add(time.Duration(tick) * 500 * time.Millisecond)
				z.tick(now)
				n := c.load(float64(tick) / 2)
				if n > 0 {
					n += r.IntN(21) - 10
				}
				p.Saw(n, now)
				l, total := z.zones()
				fullest = max(fullest, float64(n)/float64(total*bounds.Slots))
				paid += float64(total)
				all += 92
				for zone, want := range p.Plan(l, bounds, true, now) {
					z.order(zone, want, now)
					p.Ordered(zone, want)
				}
			}
			if fullest > c.fullest || paid > c.paid*all {
				t.Errorf("%.2f of the slots were taken, want at most %.2f; %.2f was paid, want at most %.2f", fullest, c.fullest, paid/all, c.paid)
			}
		})
	}
}

// While replicas are replaced or a data centre is emptied, and while those that a release
// has replaced are still counted, nothing is ordered.
func TestNothingIsOrderedWhileReplicasChange(t *testing.T) {
	p, z := scaling.NewPlanner(), newCentres(23)
	for tick := range 60 {
		now := noon.Add(time.Duration(tick) * 500 * time.Millisecond)
		p.Saw(100, now)
		l, _ := z.zones()
		if o := p.Plan(l, bounds, tick > 50, now); len(o) > 0 {
			t.Fatalf("orders %v after %s", o, now.Sub(noon))
		}
	}
}
