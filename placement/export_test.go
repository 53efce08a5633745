package placement

import "time"

// Work is what an owner counts at one replica.
type Work struct {
	Runs                   int
	Paces, Memory, Pending float64
	PrefillFraction        float64
}

// WorkAt returns what the tracker counts at the replica.
func (l *LoadTracker) WorkAt(replica string, now time.Time) Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.workOf(replica)
	return Work{Runs: len(w.runs), Paces: w.paces, Memory: w.memoryTokens, Pending: l.pendingMs[replica], PrefillFraction: w.prefillFraction(now)}
}

// WorkAt returns what the node counts at the replica as an owner.
func (n *Node) WorkAt(replica string) Work { return n.tracker.WorkAt(replica, n.clock()) }

// Owner returns the id of the group's owner as the node sees it.
func (n *Node) Owner(group string) string { return n.ownerOrSelf(group).ID }

// OpenRuns returns the number of open runs that the node keeps.
func (n *Node) OpenRuns() int {
	n.open.mu.Lock()
	defer n.open.mu.Unlock()
	return n.open.count
}

// AvoidedOwners returns the number of owners that the node keeps as silent.
func (n *Node) AvoidedOwners() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.avoidUntil)
}

// ReportRun reports a run of another owner to the tracker.
func (l *LoadTracker) ReportRun(ticket uint64, replica string, pace, memory, prefillMs float64, endsAt, now time.Time) bool {
	return l.adopt([]reportedRun{{ticket: ticket, replica: replica, pace: pace, memoryTokens: memory, prefillMs: prefillMs, endsAt: endsAt}}, now) == 1
}
