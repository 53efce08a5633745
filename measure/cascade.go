package measure

import (
	"math"
	"math/rand/v2"

	"fieldvale/cascade"
	"fieldvale/policy"
)

// workTask is a kind of request of the two workloads: how often it comes, and
// how often a cheap answer reaches the quality target.
type workTask struct {
	name  string
	share float64
	cheap float64
}

// The parts are modelled on the two workloads: look-ups and status checks are
// easy, strings and notes are not.
var workTasks = []workTask{
	{"terminology", 0.22, 0.96}, {"segment", 0.28, 0.72}, {"batch", 0.12, 0.45},
	{"status", 0.18, 0.97}, {"order", 0.14, 0.60}, {"note", 0.06, 0.05},
}

const (
	cheapCost   = 1.0
	strongCost  = 10.0
	ratingCost  = 0.05
	cheapTime   = 0.35
	strongTime  = 1.1
	ratingTime  = 0.03
	ratingNoise = 0.03
	target      = 0.7
	strongGood  = 0.99
)

// cascadeRule decides a request: whether to try the cheap step, and whether
// to rate its answer.
type cascadeRule struct {
	name  string
	cheap func(t workTask) bool
	rate  bool
	saw   func(t workTask, ok bool)
}

// Cascade measures the cost at the quality target, 40,000 requests.
func Cascade(r *Report, seed uint64) {
	const requests = 40_000
	l := cascade.NewLearner()
	key := func(t workTask) cascade.Key { return cascade.Key{Task: t.name, Size: policy.Small, Model: "cheap"} }
	rules := []cascadeRule{
		{"always-strong", func(workTask) bool { return false }, false, nil},
		{"always-cheap", func(workTask) bool { return true }, false, nil},
		{"fixed-threshold", func(workTask) bool { return true }, true, nil},
		{"fieldvale", func(t workTask) bool { return !l.Skip(key(t), cheapCost+ratingCost, strongCost) }, true,
			func(t workTask, ok bool) { l.Saw(key(t), ok) }},
	}
	base := 0.0
	for _, x := range rules {
		c, q, lat := cascadeRun(x, rand.New(rand.NewPCG(seed, 1)), requests)
		if x.name == "always-strong" {
			base = c
		}
		r.Add("cascade", x.name, "cost_of_always_strong", c/base, "ratio")
		r.Add("cascade", x.name, "answers_at_target", q, "share")
		r.Add("cascade", x.name, "latency_p50", quantile(lat, 0.5), "s")
		r.Add("cascade", x.name, "latency_p95", quantile(lat, 0.95), "s")
	}
}

func cascadeRun(x cascadeRule, g *rand.Rand, n int) (cost, atTarget float64, lat []float64) {
	good := 0
	for range n {
		t := drawTask(g)
		cheapQuality, strongQuality := quality(g, t.cheap), quality(g, strongGood)
		c, q, d := strongCost, strongQuality, strongTime*noise(g)
		if x.cheap(t) {
			c, q, d = cheapCost, cheapQuality, cheapTime*noise(g)
			if x.rate {
				ok := cheapQuality+g.NormFloat64()*ratingNoise >= target
				if x.saw != nil {
					x.saw(t, ok)
				}
				c, d = c+ratingCost, d+ratingTime
				if !ok {
					c, q, d = c+strongCost, strongQuality, d+strongTime*noise(g)
				}
			}
		}
		cost += c
		lat = append(lat, d)
		if q >= target {
			good++
		}
	}
	return cost, float64(good) / float64(n), lat
}

func drawTask(g *rand.Rand) workTask {
	f := g.Float64()
	for _, t := range workTasks {
		if f -= t.share; f < 0 {
			return t
		}
	}
	return workTasks[0]
}

// quality draws one that reaches the target with the given chance.
func quality(g *rand.Rand, chance float64) float64 {
	if g.Float64() < chance {
		return target + (1-target)*g.Float64()
	}
	return target * g.Float64()
}

// noise is a log-normal factor of mean 1.
func noise(g *rand.Rand) float64 {
	const sigma = 0.4
	return math.Exp(g.NormFloat64()*sigma - sigma*sigma/2)
}
