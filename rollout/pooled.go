package rollout

// PooledOutcomes adds up the evidence that many instances report, so that a version
// which no instance sees much of is judged by all of its answers. It is not
// safe for concurrent use.
type PooledOutcomes struct {
	from  map[string]Outcomes
	total Outcomes
}

// NewPooledOutcomes returns a pool without reports.
func NewPooledOutcomes() *PooledOutcomes {
	return &PooledOutcomes{from: map[string]Outcomes{}}
}

// Report takes the origin's cumulative evidence in. An older report changes
// nothing.
func (p *PooledOutcomes) Report(origin string, e Outcomes) {
	o := p.from[origin]
	n := o.Max(e)
	p.total = p.total.WithGood(n.Good - o.Good).WithBad(n.Bad - o.Bad)
	p.from[origin] = n
}

// Total returns the evidence of all origins.
func (p *PooledOutcomes) Total() Outcomes { return p.total }

// Reset forgets the total and keeps what each origin has reported, so that
// only what comes after counts.
func (p *PooledOutcomes) Reset() { p.total = Outcomes{} }
