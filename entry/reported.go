package entry

import (
	"time"

	"fieldvale/load"
	"fieldvale/pool"
)

// ReportedLoad is the report of the chosen replica at the time of the choice, for the log.
type ReportedLoad struct {
	// Counted is set if a report of that replica counted in the choice.
	Counted bool
	load.Report
	Age time.Duration
}

// addReports adds the expected load to the candidates in b.scratch, and reports whether any report
// counts. A replica without a report of its own is expected to be as loaded as the mean of those with
// one: without this, one whose load is unknown would always be preferred.
func (b *backends) addReports(now time.Time) bool {
	if b.loads == nil {
		return false
	}
	b.samples = b.samples[:0]
	for _, c := range b.scratch {
		if s, ok := b.loads.Newest(c.Replica.ID, now); ok {
			b.samples = append(b.samples, s)
		}
	}
	mean, ok := load.Mean(b.samples, now)
	if !ok {
		return false
	}
	next := 0
	for i := range b.scratch {
		c := &b.scratch[i]
		c.HasReported, c.Reported = true, mean
		// The samples are in the order of the candidates.
		if next < len(b.samples) && b.samples[next].Replica == c.Replica.ID {
			c.Reported = mean.WithSample(b.samples[next], now)
			next++
		}
	}
	return true
}

// countAt returns the number of this instance's requests at the replica.
func (b *backends) countAt(replica string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.state[replica]; s != nil {
		return s.running
	}
	return 0
}

// slotMs is the expected time of the request in a slot at the usual speed, in milliseconds.
func (w *forwarding) slotMs() float64 {
	switch {
	case w.r.loads == nil:
		return 0
	case w.q.Prompt.IsZero():
		return w.r.loads.ServiceMs(w.result.Service)
	}
	return w.r.slotTimes.ExpectedMs(w.slotTimeKey())
}

// recordReportUse records the report of the chosen replica for the log and the metrics, if it counts.
func (r *Router) recordReportUse(b *pool.Replica, now time.Time) ReportedLoad {
	s, ok := r.loads.Newest(b.ID, now)
	if !ok {
		return ReportedLoad{}
	}
	r.loads.RecordUse(s, now)
	return ReportedLoad{Counted: true, Report: s.Report, Age: s.Age(now)}
}
