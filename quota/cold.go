package quota

// ColdBound bounds the requests a second that a cold replica may get from the whole fleet, relative
// to the rate that a cold replica of the service can take.
type ColdBound struct {
	// The bound is Overage times that rate, plus Slack.
	Overage, Slack float64
}

// maxOwners is how many owners of a service may exist at a time without breaking the bound of the
// fleet: the first of an old and the first of a new list of members. It also covers requests
// permitted over two seconds that arrive within one.
const maxOwners = 2

// PerOwner returns how many requests an owner may permit in any second for a cold replica that can
// take perSecond. It is never more than perSecond, above which the replica crashes.
func (b ColdBound) PerOwner(perSecond float64) float64 {
	return min(perSecond, (b.Overage*perSecond+b.Slack)/maxOwners)
}
