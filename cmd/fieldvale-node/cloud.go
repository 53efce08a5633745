package main

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/exchange"
	"fieldvale/duty"
	"fieldvale/peer"
	"fieldvale/platform"
	"fieldvale/rollout"
	"fieldvale/route"
	"fieldvale/scaling"
	"fieldvale/store"
	"fieldvale/usage"
)

const (
	// dutyEvery is between looks whether a duty is due.
	dutyEvery = 500 * time.Millisecond
	// countsEvery is between reports of what an instance has counted, as a number of
	// looks.
	countsEvery = 2
	// countKeepers is how many instances are told what is counted, beside the holder of the
	// duty: those that may have it next.
	countKeepers = 2
	// cloudTimeout bounds one call that only the holder makes.
	cloudTimeout = 1500 * time.Millisecond
	// usageRecords is after how many windows the record of a report goes.
	usageRecords = 8
	// loadFor is how long an instance's word on its load counts.
	loadFor = 3 * time.Second
)

// cloud does the duties that one instance at a time has: reports of usage, and orders of
// replicas.
type cloud struct {
	n      *node
	client *platform.DutyClient
	tenure *duty.Tenure
	tally  *usage.Tally
	book   *usage.Book
	life   uint64

	// lease, reported and planners belong to the goroutine of run.
	lease    store.Announced
	reported map[int64]bool
	planners map[string]*scaling.Planner

	mu sync.Mutex
	// recorded are the reports that the store holds.
	recorded map[int64]usage.Counts
	// loads are what instances say runs there.
	loads map[string]running
}

// running is how many requests run at an instance, by service, as of a moment.
type running struct {
	by map[string]int
	at time.Time
}

// newCloud returns the duties' part of an instance; nil where the platform asks for none.
func newCloud(n *node) *cloud {
	if n.s.Cloud == "" {
		return nil
	}
	return &cloud{
		n: n, client: platform.NewDutyClient(exchange.New(n.clock), n.s.Cloud, n.s.ID), tenure: duty.New(n.s.ID), tally: usage.NewTally(n.s.UsageWindow), book: usage.NewBook(),
		life: startID(), reported: map[int64]bool{}, planners: map[string]*scaling.Planner{}, recorded: map[int64]usage.Counts{}, loads: map[string]running{},
	}
}

// HolderChanged implements platform.Duties.
func (c *cloud) HolderChanged(h duty.Holder) { c.tenure.Seen(h, c.n.clock()) }

// HolderGone implements platform.Duties.
func (c *cloud) HolderGone(now time.Time) { c.tenure.Free(now) }

// UsageRecorded implements platform.Duties.
func (c *cloud) UsageRecorded(window int64, x usage.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorded[window] = x
	maps.DeleteFunc(c.recorded, func(w int64, _ usage.Counts) bool { return w < window-usageRecords })
}

// run does what is due until ctx ends.
func (c *cloud) run(ctx context.Context) error {
	t := time.NewTicker(dutyEvery)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if i%countsEvery == 0 {
			c.tell()
		}
		c.hold(ctx)
		if f, ok := c.tenure.Fence(c.n.clock()); ok {
			c.act(ctx, f)
		}
	}
}

// act does what is due as the holder.
func (c *cloud) act(ctx context.Context, fence int64) {
	if c.n.s.ReportsUsage {
		c.reportUsage(ctx, fence)
	}
	if c.n.s.Scales {
		c.scale(ctx, fence)
	}
}

// wireUsage tells what an instance has counted in its life, and what runs there.
type wireUsage struct {
	From    string         `json:"from"`
	Life    uint64         `json:"life"`
	Windows usage.Windows  `json:"windows"`
	Running map[string]int `json:"running"`
}

// tell tells the holder, and those that may have the duty next, what is counted here.
func (c *cloud) tell() {
	u := wireUsage{From: c.n.s.ID, Life: c.life, Windows: c.tally.Counts(), Running: c.runningHere()}
	c.take(u)
	b, err := json.Marshal(u)
	if err != nil {
		c.n.event("usage_unsent", "error", err)
		return
	}
	to := c.ranked()
	to = to[:min(countKeepers, len(to))]
	if h, ok := c.tenure.Holder(); ok && !slices.ContainsFunc(to, func(m peer.Member) bool { return m.ID == h.ID }) {
		to = append(to, peer.Member{ID: h.ID, Addr: h.Addr})
	}
	for _, m := range c.n.others(to) {
		if err := (tagged{c.n, tagUsage}).Send(m.Addr, b); err != nil {
			c.n.event("usage_unsent", "to", m.ID, "error", err)
		}
	}
}

// runningHere is how many requests run at this instance, by service.
func (c *cloud) runningHere() map[string]int {
	by := c.n.router.InFlight()
	n := map[string]int{}
	for _, r := range c.n.view.Get().Replicas {
		if k := by[r.ID]; k > 0 {
			n[r.Service] += k
		}
	}
	return n
}

// receive takes in what another instance has counted.
func (c *cloud) receive(from string, b []byte) {
	var u wireUsage
	if err := json.Unmarshal(b, &u); err != nil {
		c.n.event("datagram_unreadable", "from", from, "error", err)
		return
	}
	c.take(u)
}

func (c *cloud) take(u wireUsage) {
	c.book.Report(u.From, u.Life, u.Windows)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[u.From] = running{u.Running, c.n.clock()}
}

// ranked returns the listed instances in the order of their duty.
func (c *cloud) ranked() []peer.Member { return peer.Rank("duty", c.n.placer.Members()) }

// hold tries for the duty where it is free, and renews it.
func (c *cloud) hold(ctx context.Context) {
	x, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	now := c.n.clock()
	switch rank := slices.IndexFunc(c.ranked(), func(m peer.Member) bool { return m.ID == c.n.s.ID }); {
	case c.tenure.HasLapsed(now):
		c.lose("its lease has run out")
	case c.tenure.Renews(now):
		c.renew(x)
	case rank >= 0 && c.n.isCurrent() && c.tenure.IsDue(rank, now):
		c.claim(x, now)
	}
}

func (c *cloud) claim(ctx context.Context, now time.Time) {
	a, fence, err := c.n.store.ClaimDuty(ctx, c.n.s.ID, c.n.s.Peers, duty.TTL)
	if err != nil || fence == 0 {
		c.n.event("duty_not_won", "error", err)
		return
	}
	c.lease = a
	c.tenure.Won(fence, now, a.RenewBy)
	c.n.event("duty_won", "fence", fence)
}

func (c *cloud) renew(ctx context.Context) {
	a, err := c.n.store.Renew(ctx, c.lease, duty.TTL)
	if errors.Is(err, store.ErrLapsed) {
		c.lose("its lease has lapsed")
		return
	}
	if err != nil {
		c.n.event("duty_not_renewed", "error", err)
		return
	}
	c.lease = a
	c.tenure.Renewed(c.n.clock(), a.RenewBy)
}

func (c *cloud) lose(reason string) {
	c.tenure.Lost(c.n.clock())
	c.n.event("duty_lost", "reason", reason)
}

// reportUsage reports the windows that are due. What is reported is recorded first: an
// answer may be lost, or the duty go to another instance, and a second report of a window
// must be like the first one.
func (c *cloud) reportUsage(ctx context.Context, fence int64) {
	for _, w := range usage.Due(c.n.clock(), c.n.s.UsageWindow, c.n.s.UsageLate) {
		if c.reported[w] {
			continue
		}
		x, cancel := context.WithTimeout(ctx, cloudTimeout)
		counts, err := c.record(x, w)
		if err == nil && counts != nil {
			err = c.client.ReportUsage(x, fence, w, counts)
		}
		cancel()
		c.n.event("usage_reported", "window", w, "customers", len(counts), "fence", fence, "error", err)
		if errors.Is(err, platform.ErrFenced) {
			c.lose("another holder has a higher token")
			return
		}
		c.reported[w] = err == nil && counts != nil
	}
	now := usage.Window(c.n.clock(), c.n.s.UsageWindow)
	maps.DeleteFunc(c.reported, func(w int64, _ bool) bool { return w < now-usageRecords })
}

// record returns what is reported for the window, which the store keeps; nil if another
// instance has recorded it in this moment.
func (c *cloud) record(ctx context.Context, w int64) (usage.Counts, error) {
	c.mu.Lock()
	x, ok := c.recorded[w]
	c.mu.Unlock()
	if ok {
		return x, nil
	}
	x = c.book.Sum(w)
	ok, err := c.n.store.RecordUsage(ctx, w, w-usageRecords, x)
	if err != nil || !ok {
		return nil, err
	}
	c.UsageRecorded(w, x)
	return x, nil
}

// scale orders replicas where the load asks for it.
func (c *cloud) scale(ctx context.Context, fence int64) {
	v := c.n.view.Get()
	if v.Table == nil {
		return
	}
	for _, s := range v.Table.Services {
		if s.Scaling != nil {
			c.scaleService(ctx, fence, s, v.Releases[s.Name])
		}
	}
}

func (c *cloud) scaleService(ctx context.Context, fence int64, s route.Service, rel rollout.Release) {
	now := c.n.clock()
	p := c.planners[s.Name]
	if p == nil {
		p = scaling.NewPlanner()
		c.planners[s.Name] = p
	}
	p.Saw(c.running(s.Name, now), now)
	steady := (rel.Order == 0 || rel.State != rollout.Running) && c.n.state.EvacuatedCount() == 0
	b := scaling.Bounds{Min: s.Scaling.Min, Max: s.Scaling.Max, Slots: s.Slots}
	for zone, n := range p.Plan(c.zones(s.Name), b, steady, now) {
		x, cancel := context.WithTimeout(ctx, cloudTimeout)
		err := c.client.Scale(x, fence, s.Name, zone, n)
		cancel()
		c.n.event("replicas_ordered", "service", s.Name, "data_centre", zone, "replicas", n, "fence", fence, "running", c.running(s.Name, now), "error", err)
		if errors.Is(err, platform.ErrFenced) {
			c.lose("another holder has a higher token")
			return
		}
		if err == nil {
			p.Ordered(zone, n)
		}
	}
}

// running is how many requests to the service run in the whole fleet.
func (c *cloud) running(service string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for id, l := range c.loads {
		if now.Sub(l.at) > loadFor {
			delete(c.loads, id)
			continue
		}
		n += l.by[service]
	}
	return n
}

// zones returns the service's replicas by data centre.
func (c *cloud) zones(service string) []scaling.Zone {
	n := map[string]int{}
	for _, r := range c.n.view.Get().Replicas {
		if r.Service == service && !r.Draining {
			n[r.DataCentre]++
		}
	}
	var l []scaling.Zone
	for _, z := range slices.Sorted(maps.Keys(n)) {
		l = append(l, scaling.Zone{Name: z, Replicas: n[z]})
	}
	return l
}
