package placement

import "time"

const (
	// generationPriorMs is the generation time as which the initial estimate counts, in
	// milliseconds: that of a few answers.
	generationPriorMs = 10_000.0
	// generationMemory is the factor by which earlier observations count less with each
	// further one. The estimate follows some two hundred answers, which a busy group ends in a few
	// seconds.
	generationMemory = 0.995
	// minGenerationScale and maxGenerationScale bound the learned ratio, so that answers that are
	// broken off, or replicas that stand still, don't distort all choices.
	minGenerationScale, maxGenerationScale = 0.25, 4.0
	// maxGenerationGroups bounds the groups for which a ratio is kept. An owner of more starts
	// anew with all.
	maxGenerationGroups = 256
)

// generationTime learns the ratio of the actual to the estimated time in which the replicas
// of a group generate answers. Engines and models differ in the time of a decode step.
type generationTime struct{ estimatedMs, actualMs float64 }

// scale is the factor for estimates.
func (g generationTime) scale() float64 {
	x := (generationPriorMs + g.actualMs) / (generationPriorMs + g.estimatedMs)
	return min(maxGenerationScale, max(minGenerationScale, x))
}

// with returns g after one more answer. estimatedMs is the estimate before scaling.
func (g generationTime) with(estimatedMs, actualMs float64) generationTime {
	return generationTime{
		estimatedMs: generationMemory*g.estimatedMs + estimatedMs,
		actualMs:    generationMemory*g.actualMs + actualMs,
	}
}

// promptRead records when the prompt of a run was prefilled.
func (l *LoadTracker) promptRead(ticket uint64, now time.Time) {
	if x, ok := l.runs[ticket]; ok && x.prefilledAt.IsZero() {
		x.prefilledAt = now
	}
}

// AnswerEnded removes the run of a ticket like Ended, and learns from the time that the
// answer took. Answers that are dropped early count as well: the number of tokens that instances
// expect is the mean over these too.
func (l *LoadTracker) AnswerEnded(ticket uint64, now time.Time) {
	l.mu.Lock()
	if x, ok := l.runs[ticket]; ok && x.estimatedMs > 0 && !x.prefilledAt.IsZero() {
		if _, known := l.generation[x.group]; !known && len(l.generation) >= maxGenerationGroups {
			clear(l.generation)
		}
		l.generation[x.group] = l.generation[x.group].with(x.estimatedMs, now.Sub(x.prefilledAt).Seconds()*1000)
	}
	l.mu.Unlock()
	l.Ended(ticket)
}
