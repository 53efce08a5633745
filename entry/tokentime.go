package entry

import (
	"time"

	"fieldvale/config"
	"fieldvale/rollout"
	"fieldvale/version"
)

// inputTokenWeight is the work for an input token relative to an output token: engines read
// about ten times as fast as they generate.
const inputTokenWeight = 0.1

// timePerToken is the answer's time divided by its weighted number of tokens.
func timePerToken(a Answer, took time.Duration) time.Duration {
	return time.Duration(float64(took) / (1 + float64(a.TokensOut) + inputTokenWeight*float64(a.TokensIn)))
}

// answerIsSlow records an answer's time, and reports whether it counts against a version being
// rolled out because it is far slower than the current answers of the version being replaced.
// Without this check a version whose answers are all complete but late would pass as good.
func (r *Router) answerIsSlow(v *View, c config.Caller, x version.ID, a Answer, took time.Duration) bool {
	p := timePerToken(a, took)
	r.tokenTimes.Observe(x, p)
	o, ok := v.Active.Document().Part(c.Team).Rollout(x.Model)
	return ok && o.State == rollout.Running && o.To == x && r.tokenTimes.IsSlow(p, o.From)
}
