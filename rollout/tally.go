package rollout

// Tally is what one instance saw of a service while it changes its release:
// answers that were good or bad, and answers that came as fast as usual
// (Good) or several times slower (Bad). Counts only grow.
type Tally struct {
	New, Old         Evidence
	NewPace, OldPace Evidence
}

// Plus adds two tallies.
func (t Tally) Plus(o Tally) Tally {
	return Tally{New: t.New.plus(o.New), Old: t.Old.plus(o.Old), NewPace: t.NewPace.plus(o.NewPace), OldPace: t.OldPace.plus(o.OldPace)}
}

// Max returns the larger of each count.
func (t Tally) Max(o Tally) Tally {
	return Tally{New: t.New.Max(o.New), Old: t.Old.Max(o.Old), NewPace: t.NewPace.Max(o.NewPace), OldPace: t.OldPace.Max(o.OldPace)}
}

// minus returns what was counted since o.
func (t Tally) minus(o Tally) Tally {
	return Tally{New: t.New.minus(o.New), Old: t.Old.minus(o.Old), NewPace: t.NewPace.minus(o.NewPace), OldPace: t.OldPace.minus(o.OldPace)}
}

func (e Evidence) minus(o Evidence) Evidence {
	return Evidence{Good: e.Good - o.Good, Bad: e.Bad - o.Bad}
}

func (e Evidence) plus(o Evidence) Evidence {
	return Evidence{Good: e.Good + o.Good, Bad: e.Bad + o.Bad}
}

// rate is the part of bad outcomes; 0 if there are none.
func (e Evidence) rate() float64 {
	if e.Good+e.Bad == 0 {
		return 0
	}
	return float64(e.Bad) / float64(e.Good+e.Bad)
}

// answers is the evidence of good and bad answers.
func (t Tally) answers() pair { return pair{now: t.New, old: t.Old} }

// pace is the evidence of usual and slow answers.
func (t Tally) pace() pair { return pair{now: t.NewPace, old: t.OldPace} }

// pair is the evidence of one kind of the new and the old release.
type pair struct {
	now, old Evidence
}
