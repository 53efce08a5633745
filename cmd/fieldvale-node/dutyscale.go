package main

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/rollout"
	"fieldvale/route"
	"fieldvale/scaling"
)

// instanceLoad is an instance's number of requests in progress by service, as reported at
// receivedAt.
type instanceLoad struct {
	byService  map[string]int
	receivedAt time.Time
}

// localLoad returns the number of requests in progress at this instance by service.
func (c *dutyWorker) localLoad() map[string]int {
	byReplica := c.node.router.InFlight()
	n := map[string]int{}
	for _, r := range c.node.view.Get().Replicas {
		if k := byReplica[r.ID]; k > 0 {
			n[r.Service] += k
		}
	}
	return n
}

// scale orders replicas of all services that are scaled by load.
func (c *dutyWorker) scale(ctx context.Context) {
	v := c.node.view.Get()
	if v.Table == nil {
		return
	}
	for _, s := range v.Table.Services {
		if s.Scaling != nil {
			c.scaleService(ctx, s, v.Releases[s.Name])
		}
	}
}

// scaleService orders the numbers of replicas that the planner computes from the fleet's
// load, by data centre. The planner orders none while a release is running or a data centre
// is evacuated.
func (c *dutyWorker) scaleService(ctx context.Context, s route.Service, rel rollout.Release) {
	now := c.node.clock()
	p := c.planners[s.Name]
	if p == nil {
		p = scaling.NewPlanner()
		c.planners[s.Name] = p
	}
	p.RecordLoad(c.fleetLoad(s.Name, now), now)
	steady := (rel.Order == 0 || rel.State != rollout.Running) && c.node.state.EvacuatedCount() == 0
	b := scaling.Bounds{Min: s.Scaling.Min, Max: s.Scaling.Max, Slots: s.Slots}
	for zone, n := range p.Plan(c.replicasByDataCentre(s.Name), b, steady, now) {
		err := c.act(ctx, func(ctx context.Context, fence int64) error {
			err := c.client.Scale(ctx, fence, s.Name, zone, n)
			c.node.logEvent("replicas_ordered", "service", s.Name, "data_centre", zone, "replicas", n, "fence", fence, "running", c.fleetLoad(s.Name, now), "error", err)
			return err
		})
		if errors.Is(err, errNotHolder) {
			return
		}
		if err == nil {
			p.RecordOrder(zone, n)
		}
	}
}

// fleetLoad returns the number of the service's requests in progress at all instances. It
// removes the loads of instances that have not reported for loadTTL.
func (c *dutyWorker) fleetLoad(service string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for id, l := range c.loads {
		if now.Sub(l.receivedAt) > loadTTL {
			delete(c.loads, id)
			continue
		}
		n += l.byService[service]
	}
	return n
}

// replicasByDataCentre returns the number of the service's replicas that are not draining,
// by data centre.
func (c *dutyWorker) replicasByDataCentre(service string) []scaling.DataCentre {
	n := map[string]int{}
	for _, r := range c.node.view.Get().Replicas {
		if r.Service == service && !r.Draining {
			n[r.DataCentre]++
		}
	}
	var l []scaling.DataCentre
	for _, z := range slices.Sorted(maps.Keys(n)) {
		l = append(l, scaling.DataCentre{Name: z, Replicas: n[z]})
	}
	return l
}
