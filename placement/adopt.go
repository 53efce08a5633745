package placement

import (
	"slices"
	"time"
)

// maxRemaining bounds the time for which a reported run is expected to go on. It
// exceeds the deadlines of requests. At an overloaded replica the expected time may be
// hours, and a run whose end is not reported would be counted for as long.
const maxRemaining = 10 * time.Minute

// reportedRun is an open run as the instance that placed it reports it to an owner.
type reportedRun struct {
	ticket  uint64
	replica string
	// pace is the prefill time of a token of its model, in milliseconds.
	pace         float64
	memoryTokens float64
	endsAt       time.Time
	// prefillMs is the prefill time of its prompt; 0 if the prompt is prefilled.
	prefillMs float64
	customer  string
}

// isPlausible reports whether the run's numbers can be counted.
func (x reportedRun) isPlausible(now time.Time) bool {
	return x.ticket != 0 && x.replica != "" &&
		isWithin(x.pace, maxPaceMs) && isWithin(x.memoryTokens, maxTokens) && isWithin(x.prefillMs, maxPromptMs) &&
		!now.After(x.endsAt.Add(runExpiry))
}

// endedTickets has the latest tickets whose end was reported. A run whose end
// arrives before its report must not be counted afterwards. The number is that of a
// second at an owner to which 256 ends a second are reported, which is far more than
// datagrams are reordered by.
type endedTickets struct {
	tickets [256]uint64
	next    int
}

// add replaces the oldest ticket.
func (e *endedTickets) add(ticket uint64) {
	e.tickets[e.next] = ticket
	e.next = (e.next + 1) % len(e.tickets)
}

func (e *endedTickets) has(ticket uint64) bool { return slices.Contains(e.tickets[:], ticket) }

// adopt counts runs that other owners placed, and returns how many were not known
// before. A run is identified by its ticket, so that it is counted once however
// often it is reported, also by an owner that placed it itself.
func (l *LoadTracker) adopt(runs []reportedRun, now time.Time) (added int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	for _, x := range runs {
		if l.adoptRun(x, now) {
			added++
		}
	}
	return added
}

// adoptRun counts one reported run, unless it is known, has ended or is not plausible.
func (l *LoadTracker) adoptRun(x reportedRun, now time.Time) bool {
	if _, ok := l.runs[x.ticket]; ok {
		if x.prefillMs == 0 {
			// The datagram that reported the end of prefill was lost.
			l.closeTicket(x.ticket)
		}
		return false
	}
	if _, ok := l.open[x.ticket]; ok || len(l.runs) >= maxKnownRuns || !x.isPlausible(now) || l.recentlyEnded.has(x.ticket) {
		return false
	}
	l.countRun(x.ticket, &run{
		replica: x.replica, pace: x.pace, memoryTokens: x.memoryTokens, endsAt: earlier(x.endsAt, now.Add(maxRemaining)), customer: x.customer,
	}, x.prefillMs, now)
	if x.prefillMs > 0 {
		waitMs := l.pendingMs[x.replica]
		l.open[x.ticket] = placedPrompt{replica: x.replica, prefillMs: x.prefillMs, placedAt: now, expiresAt: now.Add(expiryFactor*milliseconds(waitMs+x.prefillMs) + expiryMargin)}
		l.pendingMs[x.replica] += x.prefillMs
	}
	return true
}

// expectedEnd is the time until which the run of a choice is expected to go on. A
// request ends by its deadline.
func (r Request) expectedEnd(c Choice, now time.Time) time.Time {
	end := earlier(now.Add(milliseconds(c.FinishMs)), now.Add(maxRemaining))
	if r.DeadlineMs > 0 {
		end = earlier(end, now.Add(milliseconds(r.DeadlineMs)))
	}
	return end
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// runCount returns the number of runs that are counted.
func (l *LoadTracker) runCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs)
}

// dropExpired drops what has expired.
func (l *LoadTracker) dropExpired(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
}
