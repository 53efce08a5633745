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

// tickEvery is how often timed duties are looked at. One timer serves all of them: each
// wakes the processor.
const tickEvery = 100 * time.Millisecond

// duties does what is due by time or by a signal.
func (n *node) duties(ctx context.Context, hup <-chan os.Signal) error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	var told, saw time.Time
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
		if now := n.clock(); now.Sub(told) >= tellEvery {
			told = now
			n.tellReleases()
		}
		if now := n.clock(); now.Sub(saw) >= seeEvery {
			saw = now
			n.see()
		}
	}
}

// tidyAfter is how long after an instance is ready for the first time what its start took is
// given back.
const tidyAfter = 2 * time.Second

// tidyAfterStart gives back, once, what a start reads and unpacks: several times what is kept of it.
func (n *node) tidyAfterStart(ctx context.Context) error {
	for !n.state.Ready() && ctx.Err() == nil {
		pause(ctx, tidyAfter)
	}
	pause(ctx, tidyAfter)
	debug.FreeOSMemory()
	return nil
}

// tick does what is due each time.
func (n *node) tick() {
	n.wake()
	n.state.Tick()
	n.quarantine.Tick()
	n.quota.Tick()
	n.notices.Sweep(pool.IDs(n.view.Get().Replicas))
	n.tell(n.router.CollectUrgentTallies())
	n.advance()
}

// tellReleases tells what was seen of releases under way.
func (n *node) tellReleases() {
	n.tell(n.router.CollectTallies())
	n.tellBad()
	n.tellDoubt()
}

// wake sees to what stood still if the machine was suspended: time-outs of requests under
// way. All beliefs go by a clock that counted on.
func (n *node) wake() {
	was := n.resumedAfter
	n.machine.Look()
	n.resumedAfter = n.machine.Suspended()
	if d := n.resumedAfter - was; d > 0 {
		n.event("resumed", "suspended_for", d)
		n.router.AfterSuspension()
	}
}

// reload reads the settings again. What can't change while the process runs
// is logged and left.
func (n *node) reload() {
	s, e := settings.LoadNode(n.path)
	for _, err := range e {
		n.event("settings_unusable", "error", err)
	}
	if len(e) > 0 {
		return
	}
	n.event("settings_read", "changed", !reflect.DeepEqual(s, n.s), "level", s.Level)
}
