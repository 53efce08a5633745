// Package scaling decides how many replicas of a service each data centre should have, by
// how many requests run at once. It answers loads that change within seconds before
// replicas that take some seconds to start: it orders more at once, and fewer only step by
// step, by the largest load of the last seconds.
package scaling

import (
	"math"
	"slices"
	"time"
)

const (
	// busyPart of a replica's slots is what should be taken: engines read prompts in
	// between, and what runs is not spread evenly.
	busyPart = 0.25
	// least is the part of the replicas seen at first below which none is taken away: a
	// loss of replicas must not meet a fleet without room.
	least = 0.4
	// remembers is how long a load counts.
	remembers = 10 * time.Second
	// evidence is for how long a load must have been seen before replicas are taken away.
	evidence = 4 * time.Second
	// calm is how long replicas must have been as usual: those that a release has
	// replaced are still counted for a while, and an order must not be for both.
	calm = 5 * time.Second
	// stepEvery is between two steps down, of stepPart of the replicas each.
	stepEvery = 2 * time.Second
	stepPart  = 0.15
)

// Zone is one data centre's replicas of a service.
type Zone struct {
	Name string
	// Replicas are those that take requests.
	Replicas int
}

// Bounds are the operator's, for each data centre.
type Bounds struct {
	Min, Max int
	// Slots is how many requests a replica runs at once.
	Slots int
}

// sample is the load of a moment.
type sample struct {
	at      time.Time
	running int
}

// Planner plans for one service. It is not safe for concurrent use.
type Planner struct {
	samples []sample
	// first is how many replicas there were when they were as usual for the first time,
	// calmSince since when they are, and since when there is a load.
	first            int
	calmSince, since time.Time
	stepAt           time.Time
	ordered          map[string]int
}

// NewPlanner returns a planner that has seen nothing.
func NewPlanner() *Planner { return &Planner{ordered: map[string]int{}} }

// Saw notes how many requests run in the whole fleet.
func (p *Planner) Saw(running int, now time.Time) {
	if running > 0 && p.since.IsZero() {
		p.since = now
	}
	p.samples = append(p.samples, sample{now, running})
	p.samples = slices.DeleteFunc(p.samples, func(s sample) bool { return now.Sub(s.at) > remembers })
}

// peak is the largest load remembered.
func (p *Planner) peak() int {
	n := 0
	for _, s := range p.samples {
		n = max(n, s.running)
	}
	return n
}

// Plan returns what to order for the data centres, with only those that change. steady
// says that the replicas are as usual: none is replaced or emptied. Else nothing is
// ordered, since what an order counts then is not known.
func (p *Planner) Plan(zones []Zone, b Bounds, steady bool, now time.Time) map[string]int {
	total := 0
	for _, z := range zones {
		total += z.Replicas
	}
	if !p.isCalm(steady, now) || now.Sub(p.since) < evidence || total == 0 || b.Slots <= 0 {
		return nil
	}
	if p.first == 0 {
		p.first = total
	}
	want := float64(p.peak()) / (busyPart * float64(b.Slots))
	each := int(math.Ceil(max(want, least*float64(p.first)) / float64(len(zones))))
	down := now.Sub(p.stepAt) >= stepEvery
	orders := map[string]int{}
	for _, z := range zones {
		if n, ok := p.order(z, each, b, down); ok {
			orders[z.Name] = n
		}
	}
	if down && len(orders) > 0 {
		p.stepAt = now
	}
	return orders
}

// isCalm reports whether the replicas have been as usual for a while, and there is a load.
func (p *Planner) isCalm(steady bool, now time.Time) bool {
	if !steady {
		p.calmSince = time.Time{}
		return false
	}
	if p.calmSince.IsZero() {
		p.calmSince = now
	}
	return !p.since.IsZero() && now.Sub(p.calmSince) >= calm
}

// order returns what to order for one data centre; ok is false for no change.
func (p *Planner) order(z Zone, want int, b Bounds, down bool) (n int, ok bool) {
	was, ordered := p.ordered[z.Name]
	if !ordered {
		was = z.Replicas
	}
	n = want
	if n < was {
		n = max(n, was-max(1, int(stepPart*float64(was))))
	}
	n = max(b.Min, min(b.Max, n))
	return n, n > was || n < was && down
}

// Ordered notes that the order was taken.
func (p *Planner) Ordered(zone string, n int) { p.ordered[zone] = n }
