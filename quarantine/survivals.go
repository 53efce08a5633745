package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// survivalWindow is for how long, at least, an instance remembers that answers to requests with a
	// part went well, and for how long this offsets crashes. It exceeds BeginWindow, so that a part
	// in much of the traffic has more survivals than it has answers that are just beginning.
	survivalWindow = time.Second
	// survivalReportInterval is the time between two reports of the survivals of a part that this
	// instance knows to have been at a crash. It is shorter than survivalWindow, so that none are
	// forgotten.
	survivalReportInterval = 500 * time.Millisecond
	// maxSurvivalParts bounds the parts of one window.
	maxSurvivalParts = 4096
)

// survivals counts, by part, the answers of this instance that began recently and went on without
// a crash. It is safe for concurrent use.
type survivals struct {
	mu                sync.Mutex
	current, previous map[Fingerprint]int
	rotateAt          time.Time
}

func newSurvivals() *survivals {
	return &survivals{current: map[Fingerprint]int{}, previous: map[Fingerprint]int{}}
}

// add counts an answer to a request with the parts.
func (s *survivals) add(parts []Part, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	for _, p := range parts {
		if _, ok := s.current[p.Fingerprint]; ok || len(s.current) < maxSurvivalParts {
			s.current[p.Fingerprint]++
		}
	}
}

// take returns the number of survivals of the part, and forgets them.
func (s *survivals) take(f Fingerprint, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	n := s.current[f] + s.previous[f]
	delete(s.current, f)
	delete(s.previous, f)
	return n
}

// rotate starts a new window if the current one has passed. The caller holds s.mu.
func (s *survivals) rotate(now time.Time) {
	if now.Before(s.rotateAt) {
		return
	}
	s.previous, s.current = s.current, s.previous
	clear(s.current)
	if now.Sub(s.rotateAt) >= survivalWindow {
		clear(s.previous)
	}
	s.rotateAt = now.Add(survivalWindow)
}

// AddSurvival counts an answer that went on for BeginWindow, or was complete earlier, as evidence for
// the parts of its prompt, and ends their trials.
func (n *Node) AddSurvival(parts []Part, trials []Fingerprint) {
	n.survivals.add(parts, n.Clock())
	for _, p := range parts {
		if slices.Contains(trials, p.Fingerprint) {
			n.reportPart(p, AttemptResult{Outcome: Served, OnTrial: true})
		}
	}
}

// reportSurvivals reports the survivals of the part since the last report.
func (n *Node) reportSurvivals(f Fingerprint, r Record) {
	if k := n.survivals.take(f, n.Clock()); k > 0 {
		n.ReportAttempt(f, AttemptResult{Outcome: NoAttempt, Kind: KindPart, Label: r.Label, Survivals: k})
	}
}

// reportAllSurvivals reports the survivals of all parts that were at a crash by the records of this
// instance: at each call of those that are suspect, of the others every survivalReportInterval.
func (n *Node) reportAllSurvivals(now time.Time) {
	isDue := !now.Before(n.nextSurvivalReport)
	if isDue {
		n.nextSurvivalReport = now.Add(survivalReportInterval)
	}
	for _, e := range n.records.partsWithCrashes() {
		if isDue || e.Record.Score >= partSuspectScore {
			n.reportSurvivals(e.Fingerprint, e.Record)
		}
	}
}
