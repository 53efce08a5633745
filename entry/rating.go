package entry

import (
	"fieldvale/bill"
	"fieldvale/config"
	"fieldvale/rollout"
	"fieldvale/version"
)

// isRollingOut reports whether a roll-out to the version is running, so that its answers have to
// be rated.
func isRollingOut(v *View, c config.Caller, x version.ID) bool {
	o, ok := v.Active.Document().Part(c.Team).Rollout(x.Model)
	return ok && o.To == x && o.State == rollout.Running
}

// recordUnratedAnswer counts an answer for which the policy asks no rating.
func (r *Router) recordUnratedAnswer(v *View, q Request, c *cascadeRun, answer []byte) {
	switch {
	case c.slow:
		r.evidence.bad(c.version)
	case isRollingOut(v, q.Caller, c.version):
		r.evidence.queueRating(c.version, q.Body, answer)
	default:
		r.evidence.good(c.version)
	}
}

// recordRating counts an answer by its rating. A slow one counts as bad whatever its rating is.
func (r *Router) recordRating(c *cascadeRun, rating float64) {
	if c.slow {
		r.evidence.bad(c.version)
		return
	}
	r.evidence.rated(c.version, rating)
}

func (r *Router) bill(v *View, q Request, x version.ID, a bill.Amount) {
	a.Requests = 1
	r.biller.Bill(q.ID, bill.Line{Team: q.Caller.Team, Customer: q.Caller.Customer.Name, Version: x}, a)
}

// price is the amount billed for one step's answer.
func price(v *View, x version.ID, a Answer) bill.Amount {
	c := v.Active.Declaration(x).Cost(int64(a.TokensIn), int64(a.TokensOut))
	return bill.Amount{TokensIn: a.TokensIn, TokensOut: a.TokensOut, Cost: uint64(c)}
}
