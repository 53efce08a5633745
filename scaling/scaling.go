// Package scaling decides how many replicas of a service each data centre should have,
// based on the number of concurrently running requests. The load can change faster than
// replicas start, which takes several seconds. The planner therefore orders additional
// replicas immediately and removes replicas only in small steps, based on the peak load of
// the last seconds.
package scaling

import (
	"math"
	"slices"
	"time"
)

const (
	// targetUtilization is the fraction of a replica's slots that should be in use. It
	// is low because engines also spend time on reading prompts, and because requests
	// are not distributed evenly.
	targetUtilization = 0.25
	// minReplicaRatio is the fraction of the initial replicas below which none is
	// removed, so that the fleet has spare capacity when replicas fail.
	minReplicaRatio = 0.4
	// loadWindow is the period over which the peak load is taken.
	loadWindow = 10 * time.Second
	// minObservation is how long a load must have been observed before anything is
	// ordered, so that no replicas are removed too early.
	minObservation = 4 * time.Second
	// settleTime is how long the set of replicas must have been steady before anything is
	// ordered: replicas that a release has replaced are still counted for a while, and an
	// order must not include both old and new ones.
	settleTime = 5 * time.Second
	// stepDownInterval is the time between two reductions. Each removes at most
	// stepDownRatio of the replicas, but at least one.
	stepDownInterval = 2 * time.Second
	stepDownRatio    = 0.15
)

// DataCentre is the state of a service's replicas in one data centre.
type DataCentre struct {
	Name string
	// Replicas is the number of replicas that accept requests.
	Replicas int
}

// Bounds are the operator's limits for the replicas in each data centre.
type Bounds struct {
	Min, Max int
	// Slots is the number of requests that a replica runs concurrently.
	Slots int
}

// sample is the number of running requests at one time.
type sample struct {
	at      time.Time
	running int
}

// Planner plans the replicas of one service. It is not safe for concurrent use.
type Planner struct {
	samples []sample
	// initialReplicas is the number of replicas when they were first steady,
	// steadySince when they became steady, and loadSince when the first request ran.
	initialReplicas        int
	steadySince, loadSince time.Time
	lastStepDown           time.Time
	orderedReplicas        map[string]int
}

// NewPlanner returns a planner without observations.
func NewPlanner() *Planner { return &Planner{orderedReplicas: map[string]int{}} }

// RecordLoad records the number of requests that run in the whole fleet.
func (p *Planner) RecordLoad(running int, now time.Time) {
	if running > 0 && p.loadSince.IsZero() {
		p.loadSince = now
	}
	p.samples = append(p.samples, sample{now, running})
	p.samples = slices.DeleteFunc(p.samples, func(s sample) bool { return now.Sub(s.at) > loadWindow })
}

// peakLoad returns the largest load within loadWindow.
func (p *Planner) peakLoad() int {
	n := 0
	for _, s := range p.samples {
		n = max(n, s.running)
	}
	return n
}

// Plan returns the number of replicas to order for each data centre whose number has to
// change. steady reports that no replica is being replaced and no data centre evacuated;
// otherwise nothing is ordered, since the replicas to count are not known.
func (p *Planner) Plan(zones []DataCentre, b Bounds, steady bool, now time.Time) map[string]int {
	total := 0
	for _, z := range zones {
		total += z.Replicas
	}
	if !p.isSettled(steady, now) || now.Sub(p.loadSince) < minObservation || total == 0 || b.Slots <= 0 {
		return nil
	}
	if p.initialReplicas == 0 {
		p.initialReplicas = total
	}
	want := float64(p.peakLoad()) / (targetUtilization * float64(b.Slots))
	each := int(math.Ceil(max(want, minReplicaRatio*float64(p.initialReplicas)) / float64(len(zones))))
	down := now.Sub(p.lastStepDown) >= stepDownInterval
	orders := map[string]int{}
	for _, z := range zones {
		if n, ok := p.order(z, each, b, down); ok {
			orders[z.Name] = n
		}
	}
	if down && len(orders) > 0 {
		p.lastStepDown = now
	}
	return orders
}

// isSettled reports whether the replicas have been steady for settleTime and a load has
// been observed.
func (p *Planner) isSettled(steady bool, now time.Time) bool {
	if !steady {
		p.steadySince = time.Time{}
		return false
	}
	if p.steadySince.IsZero() {
		p.steadySince = now
	}
	return !p.loadSince.IsZero() && now.Sub(p.steadySince) >= settleTime
}

// order returns the number of replicas to order for one data centre; ok is false if it
// does not change.
func (p *Planner) order(z DataCentre, want int, b Bounds, down bool) (n int, ok bool) {
	current, hasOrder := p.orderedReplicas[z.Name]
	if !hasOrder {
		current = z.Replicas
	}
	n = want
	if n < current {
		n = max(n, current-max(1, int(stepDownRatio*float64(current))))
	}
	n = max(b.Min, min(b.Max, n))
	return n, n > current || n < current && down
}

// RecordOrder records that the platform has accepted the order of n replicas.
func (p *Planner) RecordOrder(zone string, n int) { p.orderedReplicas[zone] = n }
