package main

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"fieldvale/peer"
	"fieldvale/usage"
)

// wireUsage is the message in which an instance reports all its counts of requests since
// its start, and the number of its requests in progress by service.
type wireUsage struct {
	From        string               `json:"from"`
	Incarnation uint64               `json:"life"`
	Windows     usage.CountsByWindow `json:"windows"`
	Running     map[string]int       `json:"running"`
}

// sendUsage sends this instance's counts and load to the holder of the duty and to the
// instances that would try for it next.
func (c *dutyWorker) sendUsage() {
	u := wireUsage{From: c.node.settings.ID, Incarnation: c.incarnation, Windows: c.tally.Counts(), Running: c.localLoad()}
	c.recordUsageReport(u)
	b, err := json.Marshal(u)
	if err != nil {
		c.node.logEvent("usage_unsent", "error", err)
		return
	}
	to := c.rankForDuty()
	to = to[:min(standbyCount, len(to))]
	if h, ok := c.tenure.Holder(); ok && !slices.ContainsFunc(to, func(m peer.Member) bool { return m.ID == h.ID }) {
		to = append(to, peer.Member{ID: h.ID, Addr: h.Addr})
	}
	for _, m := range c.node.withoutSelf(to) {
		if err := (taggedTransport{c.node, tagUsage}).Send(m.Addr, b); err != nil {
			c.node.logEvent("usage_unsent", "to", m.ID, "error", err)
		}
	}
}

// receive handles another instance's report of its counts and load.
func (c *dutyWorker) receive(from string, b []byte) {
	var u wireUsage
	if err := json.Unmarshal(b, &u); err != nil {
		c.node.logEvent("datagram_unreadable", "from", from, "error", err)
		return
	}
	c.recordUsageReport(u)
}

// recordUsageReport stores an instance's counts and load; later reports replace it.
func (c *dutyWorker) recordUsageReport(u wireUsage) {
	c.book.Merge(u.From, u.Incarnation, u.Windows)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[u.From] = instanceLoad{u.Running, c.node.clock()}
}

// reportUsage reports the usage of the windows that are due to the platform. It records
// each report in the store first: if the answer is lost, or the duty passes to another
// instance, the window is reported again, and both reports must be the same.
func (c *dutyWorker) reportUsage(ctx context.Context) {
	for _, w := range usage.DueWindows(c.node.clock(), c.node.settings.UsageWindow, c.node.settings.MaxUsageDelay) {
		if c.reported[w] {
			continue
		}
		var counts usage.Counts
		err := c.act(ctx, func(ctx context.Context, fence int64) (err error) {
			if counts, err = c.recordWindow(ctx, w); err == nil && counts != nil {
				err = c.client.ReportUsage(ctx, fence, w, counts)
			}
			c.node.logEvent("usage_reported", "window", w, "customers", len(counts), "fence", fence, "error", err)
			return err
		})
		if errors.Is(err, errNotHolder) {
			return
		}
		c.reported[w] = err == nil && counts != nil
	}
	now := usage.WindowNumber(c.node.clock(), c.node.settings.UsageWindow)
	maps.DeleteFunc(c.reported, func(w int64, _ bool) bool { return w < now-keptUsageWindows })
}

// recordWindow returns the usage to report for the window. It is recorded in the store, and
// an earlier record takes precedence. The result is nil if another instance has just
// recorded the window, and its record has not arrived here yet.
func (c *dutyWorker) recordWindow(ctx context.Context, w int64) (usage.Counts, error) {
	c.mu.Lock()
	x, ok := c.recorded[w]
	c.mu.Unlock()
	if ok {
		return x, nil
	}
	x = c.book.Sum(w)
	ok, err := c.node.store.RecordUsage(ctx, w, w-keptUsageWindows, x)
	if err != nil || !ok {
		return nil, err
	}
	c.UsageRecorded(w, x)
	return x, nil
}

// UsageRecorded implements platform.DutyListener.
func (c *dutyWorker) UsageRecorded(window int64, x usage.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorded[window] = x
	maps.DeleteFunc(c.recorded, func(w int64, _ usage.Counts) bool { return w < window-keptUsageWindows })
}
