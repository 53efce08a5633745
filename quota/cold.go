package quota

// ColdBound is how many requests a second a cold replica may get from the whole fleet, by
// what it says that it bears.
type ColdBound struct {
	// Overage times what it bears a second, and Slack on top.
	Overage, Slack float64
}

// countersAtOnce is how many instances may count for one cold replica at a time without the
// fleet's bound being broken: the first of an old and of a new list of instances. It also
// covers requests of two seconds that arrive within one.
const countersAtOnce = 2

// PerOwner is how many requests who counts may let go in any second to a cold replica that
// bears perSecond: no more than that, as it falls over above it.
func (b ColdBound) PerOwner(perSecond float64) float64 {
	return min(perSecond, (b.Overage*perSecond+b.Slack)/countersAtOnce)
}
