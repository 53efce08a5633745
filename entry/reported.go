package entry

import (
	"time"

	"fieldvale/load"
	"fieldvale/pool"
)

// ReportedLoad is the report of the chosen replica at the time of the choice, for the log.
type ReportedLoad struct {
	// Known is set if the replica had a report that was new enough to count.
	Known bool
	load.Report
	Age time.Duration
}

// String formats the report for the log as the fields of the header; empty if there is none.
func (l ReportedLoad) String() string {
	if !l.Known {
		return ""
	}
	return l.Report.String()
}

// addReports adds the expected load to the candidates in b.scratch, and reports whether any report
// counts. A replica without a report of its own is expected to be as loaded as the mean of those with
// one: without this, one whose load is unknown would always be preferred.
func (b *backends) addReports(now time.Time) bool {
	if b.loads == nil {
		return false
	}
	b.reports = b.reports[:0]
	for _, c := range b.scratch {
		if s, ok := b.loads.Newest(c.Replica.ID, now); ok {
			b.reports = append(b.reports, s.Draw(now, b.rand))
		}
	}
	mean, ok := load.Mean(b.reports)
	if !ok {
		return false
	}
	next := 0
	for i := range b.scratch {
		c := &b.scratch[i]
		c.HasReported, c.Reported = true, mean
		// The reports are in the order of the candidates.
		if next < len(b.reports) && b.reports[next].Replica == c.Replica.ID {
			c.Reported = mean.WithReport(b.reports[next])
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

// recordReportUse records the report of the chosen replica for the log and the metrics, if it has one
// that is new enough to count.
func (r *Router) recordReportUse(b *pool.Replica, now time.Time) ReportedLoad {
	s, ok := r.loads.Newest(b.ID, now)
	if !ok {
		return ReportedLoad{}
	}
	r.loads.RecordUse(s, now)
	return ReportedLoad{Known: true, Report: s.Report, Age: s.Age(now)}
}
