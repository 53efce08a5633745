package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/exchange"
	"fieldvale/duty"
	"fieldvale/peer"
	"fieldvale/platform"
	"fieldvale/scaling"
	"fieldvale/store"
	"fieldvale/usage"
)

const (
	// dutyInterval is the interval at which run checks what is due.
	dutyInterval = 500 * time.Millisecond
	// usageReportTicks is after how many of these checks an instance reports its counts
	// and its load to the holder of the duty.
	usageReportTicks = 2
	// standbyCount is how many instances receive these reports in addition to the holder:
	// those that would try for the duty next.
	standbyCount = 2
	// dutyCallTimeout bounds one call of the store or of the platform for a duty.
	dutyCallTimeout = 1500 * time.Millisecond
	// keptUsageWindows is after how many windows the record of a usage report is deleted.
	keptUsageWindows = 8
	// loadTTL is how long an instance's report of its load is used.
	loadTTL = 3 * time.Second
)

// dutyWorker performs the duties that one instance at a time holds: it reports usage to the
// platform, and orders replicas from it. On an instance that is not the holder it reports
// local counts to the holder, and tries for the duty when that is free.
type dutyWorker struct {
	node        *node
	client      *platform.DutyClient
	tenure      *duty.State
	tally       *usage.Tally
	book        *usage.FleetCounts
	incarnation uint64

	// lease, reported and planners are only used by the goroutine of run. lease is the
	// duty's lease while this instance is the holder, reported are the windows whose usage
	// this instance has reported, and planners are by service.
	lease    store.LeasedKey
	reported map[int64]bool
	planners map[string]*scaling.Planner

	mu sync.Mutex
	// recorded are the usage reports in the store, by window.
	recorded map[int64]usage.Counts
	// loads are the last reported loads, by instance id.
	loads map[string]instanceLoad
}

// newDutyWorker returns the duty worker of an instance; nil if the settings name no address
// for the platform's calls.
func newDutyWorker(n *node) *dutyWorker {
	if n.settings.CloudAddr == "" {
		return nil
	}
	retained := usage.RetainedWindows(n.settings.UsageWindow, n.settings.MaxUsageDelay)
	return &dutyWorker{
		node: n, client: platform.NewDutyClient(exchange.New(n.clock), n.settings.CloudAddr, n.settings.ID), tenure: duty.New(n.settings.ID), tally: usage.NewTally(n.settings.UsageWindow, retained), book: usage.NewFleetCounts(retained),
		incarnation: startID(), reported: map[int64]bool{}, planners: map[string]*scaling.Planner{}, recorded: map[int64]usage.Counts{}, loads: map[string]instanceLoad{},
	}
}

// HolderChanged implements platform.DutyListener.
func (c *dutyWorker) HolderChanged(h duty.Holder) { c.tenure.RecordHolder(h, c.node.clock()) }

// HolderGone implements platform.DutyListener.
func (c *dutyWorker) HolderGone(now time.Time) { c.tenure.RecordVacancy(now) }

// run sends this instance's usage, maintains the duty and performs it while it is held,
// until ctx ends.
func (c *dutyWorker) run(ctx context.Context) error {
	t := time.NewTicker(dutyInterval)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if i%usageReportTicks == 0 {
			c.sendUsage()
		}
		if c.node.isStopping() {
			c.releaseDuty(ctx)
			continue
		}
		c.maintainDuty(ctx)
		if c.tenure.IsHeld() {
			c.performDuties(ctx)
		}
	}
}

// performDuties makes the holder's calls that are enabled and due.
func (c *dutyWorker) performDuties(ctx context.Context) {
	if c.node.settings.ReportsUsage {
		c.reportUsage(ctx)
	}
	if c.node.settings.Autoscales {
		c.scale(ctx)
	}
}

// errNotHolder reports that this instance does not hold the duty, or must not act as its holder.
var errNotHolder = errors.New("this instance is not the holder of the duty")

// act makes one call of the holder with the present fencing token. Before it the lease is renewed if that is
// due, since calls one after another may last longer than a lease, and the call ends when this instance
// may no longer act.
func (c *dutyWorker) act(ctx context.Context, call func(ctx context.Context, fence int64) error) error {
	if c.tenure.NeedsRenewal(c.node.clock()) {
		c.maintainDuty(ctx)
	}
	now := c.node.clock()
	fence, until, ok := c.tenure.FencingToken(now)
	if !ok {
		return errNotHolder
	}
	callCtx, cancel := context.WithTimeout(ctx, min(dutyCallTimeout, until.Sub(now)))
	defer cancel()
	err := call(callCtx, fence)
	if errors.Is(err, platform.ErrFenced) {
		c.loseDuty("another holder has a higher token")
	}
	return err
}

// rankForDuty returns the registered members in the order in which they try for the duty.
func (c *dutyWorker) rankForDuty() []peer.Member { return peer.Rank("duty", c.node.placer.Members()) }

// maintainDuty renews the lease of the duty if it is due, gives the duty up if the lease
// has expired, and tries for the duty if it is free and this instance's turn.
func (c *dutyWorker) maintainDuty(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	now := c.node.clock()
	switch rank := slices.IndexFunc(c.rankForDuty(), func(m peer.Member) bool { return m.ID == c.node.settings.ID }); {
	case c.tenure.HasExpired(now):
		c.loseDuty("its lease has run out")
	case c.tenure.NeedsRenewal(now):
		c.renewDuty(callCtx)
	case rank >= 0 && c.node.isConfigConfirmed() && c.tenure.ShouldClaim(rank, now):
		c.claimDuty(callCtx, now)
	}
}

// claimDuty tries to acquire the duty in the store.
func (c *dutyWorker) claimDuty(ctx context.Context, now time.Time) {
	a, fence, err := c.node.store.ClaimDuty(ctx, c.node.settings.ID, c.node.settings.PeersListen, duty.TTL)
	if err != nil || fence == 0 {
		c.node.logEvent("duty_not_won", "error", err)
		return
	}
	c.lease = a
	c.tenure.RecordAcquired(fence, now, a.RenewBy)
	c.node.logEvent("duty_won", "fence", fence)
}

// renewDuty renews the lease of the duty, and gives the duty up if the store has ended the
// lease.
func (c *dutyWorker) renewDuty(ctx context.Context) {
	a, err := c.node.store.Renew(ctx, c.lease, duty.TTL)
	if errors.Is(err, store.ErrLapsed) {
		c.loseDuty("its lease has lapsed")
		return
	}
	if err != nil {
		c.node.logEvent("duty_not_renewed", "error", err)
		return
	}
	c.lease = a
	c.tenure.RecordRenewed(c.node.clock(), a.RenewBy)
}

// releaseDuty ends the lease of the duty if this instance holds it, so that another instance takes over
// at once: reports of usage that are due would be late by the time at which the lease expires.
func (c *dutyWorker) releaseDuty(ctx context.Context) {
	if !c.tenure.IsHeld() {
		return
	}
	c.loseDuty("this instance is stopping")
	callCtx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	if err := c.node.store.End(callCtx, c.lease); err != nil {
		c.node.logEvent("duty_not_released", "error", err)
	}
}

// loseDuty gives up the duty and logs the reason.
func (c *dutyWorker) loseDuty(reason string) {
	c.tenure.RecordLost(c.node.clock())
	c.node.logEvent("duty_lost", "reason", reason)
}
