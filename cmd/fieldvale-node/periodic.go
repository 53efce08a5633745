package main

import (
	"context"
	"os"
	"reflect"
	"runtime/debug"
	"time"

	"fieldvale/adapter/settings"
	"fieldvale/pool"
)

// tickInterval is the interval at which runPeriodicTasks checks for due tasks. All tasks
// share one timer, because each timer wakes the processor.
const tickInterval = 100 * time.Millisecond

// runPeriodicTasks runs the periodic tasks until ctx ends, and reads the settings again for
// each value on hup.
func (n *node) runPeriodicTasks(ctx context.Context, hup <-chan os.Signal) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var lastReport, lastTrialLog, lastRetryLog, lastLinkLog, lastCapacityLog time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-hup:
			n.reload()
			continue
		}
		n.tick()
		if now := n.clock(); now.Sub(lastReport) >= reportInterval {
			lastReport = now
			n.reportReleases()
		}
		if now := n.clock(); now.Sub(lastTrialLog) >= trialLogInterval {
			lastTrialLog = now
			n.logTrials()
		}
		if now := n.clock(); now.Sub(lastRetryLog) >= retryLogInterval {
			lastRetryLog = now
			n.logRetryBudgets()
		}
		if now := n.clock(); now.Sub(lastLinkLog) >= linkLogInterval {
			lastLinkLog = now
			n.logLinks()
		}
		if now := n.clock(); now.Sub(lastCapacityLog) >= capacityLogInterval {
			lastCapacityLog = now
			n.logCapacity()
		}
	}
}

// freeMemoryDelay is the delay between readiness and the return of the memory that the
// startup needed, and the interval at which readiness is checked until then.
const freeMemoryDelay = 2 * time.Second

// freeStartupMemory returns unused memory to the operating system once, after startup:
// reading and decoding the store takes several times the memory of the result.
func (n *node) freeStartupMemory(ctx context.Context) error {
	for !n.state.Ready() && ctx.Err() == nil {
		sleepContext(ctx, freeMemoryDelay)
	}
	sleepContext(ctx, freeMemoryDelay)
	debug.FreeOSMemory()
	return nil
}

// tick runs the tasks that are due at each tick.
func (n *node) tick() {
	n.checkSuspension()
	n.state.Tick()
	n.placer.Tick()
	n.quarantine.Tick()
	n.quota.Tick()
	n.retries.Tick()
	n.notices.Sweep(pool.IDs(n.view.Get().Replicas))
	n.capacity.ObserveMemory(usedMemory())
	n.connections.Sweep()
	n.relievePressure()
	n.sendTallies(n.router.CollectUrgentTallies())
	n.enqueueDueRecords()
}

// reportReleases sends other instances what this one observed of releases in progress.
func (n *node) reportReleases() {
	n.sendTallies(n.router.CollectTallies())
	n.reportBadReleases()
	n.reportDoubtfulReleases()
}

// checkSuspension detects that the machine was suspended, and has the router apply the
// timeouts of requests in progress, whose timers stood still. Everything else goes by
// n.clock, which includes the time of a suspension.
func (n *node) checkSuspension() {
	was := n.suspendedTotal
	n.suspendClock.DetectSuspension()
	n.suspendedTotal = n.suspendClock.Suspended()
	if d := n.suspendedTotal - was; d > 0 {
		n.logEvent("resumed", "suspended_for", d)
		n.router.AfterSuspension()
	}
}

// reload reads the settings file again and logs its errors, or whether it differs from the
// settings in use. No setting changes while the process runs.
func (n *node) reload() {
	s, e := settings.LoadNode(n.settingsPath)
	for _, err := range e {
		n.logEvent("settings_unusable", "error", err)
	}
	if len(e) > 0 {
		return
	}
	n.logEvent("settings_read", "changed", !reflect.DeepEqual(s, n.settings), "level", s.Level)
}
