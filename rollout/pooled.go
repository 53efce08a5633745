package rollout

// PooledOutcomes adds up the outcomes that many instances report for a version, so
// that a version of which each instance sees few answers is tested by all of them.
// It is not safe for concurrent use.
type PooledOutcomes struct {
	from  map[string]Outcomes
	total Outcomes
}

// NewPooledOutcomes returns a pool without reports.
func NewPooledOutcomes() *PooledOutcomes {
	return &PooledOutcomes{from: map[string]Outcomes{}}
}

// Report adds the outcomes that are new in an instance's cumulative counts. An older
// report changes nothing.
func (p *PooledOutcomes) Report(instance string, e Outcomes) {
	o := p.from[instance]
	n := o.Max(e)
	p.total = p.total.WithGood(n.Good - o.Good).WithBad(n.Bad - o.Bad)
	p.from[instance] = n
}

// Total returns the outcomes from all instances since the last Reset.
func (p *PooledOutcomes) Total() Outcomes { return p.total }

// Reset sets the total to 0 but keeps what each instance has reported, so that only
// later outcomes count.
func (p *PooledOutcomes) Reset() { p.total = Outcomes{} }
