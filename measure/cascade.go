package measure

import (
	"math"
	"math/rand/v2"

	"fieldvale/cascade"
	"fieldvale/policy"
)

// taskProfile describes one kind of request of the two workloads: its share of all
// requests, and the probability that the cheap model's answer reaches the quality
// target.
type taskProfile struct {
	name         string
	requestShare float64
	cheapSuccess float64
}

// taskProfiles is modelled on the two workloads: look-ups and status checks are
// easy for the cheap model, strings and notes are not.
var taskProfiles = []taskProfile{
	{"terminology", 0.22, 0.96}, {"segment", 0.28, 0.72}, {"batch", 0.12, 0.45},
	{"status", 0.18, 0.97}, {"order", 0.14, 0.60}, {"note", 0.06, 0.05},
}

// Costs are relative to one answer of the cheap model, times are mean seconds.
// ratingNoise is the standard deviation of the error of a rating, strongSuccess the
// probability that the strong model's answer reaches the quality target.
const (
	cheapCost     = 1.0
	strongCost    = 10.0
	ratingCost    = 0.05
	cheapTime     = 0.35
	strongTime    = 1.1
	ratingTime    = 0.03
	ratingNoise   = 0.03
	qualityTarget = 0.7
	strongSuccess = 0.99
)

// cascadeRule is a strategy to compare. It decides whether to try the cheap model
// first and whether to rate that answer; an answer with a low rating is followed by
// a request to the strong model. observe, unless nil, receives each rating's
// result.
type cascadeRule struct {
	name       string
	tryCheap   func(t taskProfile) bool
	rateAnswer bool
	observe    func(t taskProfile, ok bool)
}

// Cascade measures cost, quality and latency of each strategy over 40,000 requests.
func Cascade(r *Report, seed uint64) {
	const requests = 40_000
	learner := cascade.NewLearner()
	key := func(t taskProfile) cascade.StepKey {
		return cascade.StepKey{Task: t.name, Size: policy.Small, Model: "cheap"}
	}
	rules := []cascadeRule{
		{"always-strong", func(taskProfile) bool { return false }, false, nil},
		{"always-cheap", func(taskProfile) bool { return true }, false, nil},
		{"fixed-threshold", func(taskProfile) bool { return true }, true, nil},
		{"fieldvale", func(t taskProfile) bool { return !learner.ShouldSkip(key(t), cheapCost+ratingCost, strongCost) }, true,
			func(t taskProfile, ok bool) { learner.RecordRating(key(t), ok) }},
	}
	baseCost := 0.0
	for _, rule := range rules {
		cost, atTarget, latencies := simulateCascade(rule, rand.New(rand.NewPCG(seed, 1)), requests)
		if rule.name == "always-strong" {
			baseCost = cost
		}
		r.Add("cascade", rule.name, "cost_of_always_strong", cost/baseCost, "ratio")
		r.Add("cascade", rule.name, "answers_at_target", atTarget, "share")
		r.Add("cascade", rule.name, "latency_p50", quantile(latencies, 0.5), "s")
		r.Add("cascade", rule.name, "latency_p95", quantile(latencies, 0.95), "s")
	}
}

// simulateCascade runs n requests through a strategy. It returns their total cost,
// the share of answers that reach the quality target, and the latencies.
func simulateCascade(rule cascadeRule, rng *rand.Rand, n int) (cost, atTarget float64, latencies []float64) {
	good := 0
	for range n {
		t := drawTask(rng)
		cheapQuality, strongQuality := drawQuality(rng, t.cheapSuccess), drawQuality(rng, strongSuccess)
		requestCost, answerQuality, latency := strongCost, strongQuality, strongTime*logNormalNoise(rng)
		if rule.tryCheap(t) {
			requestCost, answerQuality, latency = cheapCost, cheapQuality, cheapTime*logNormalNoise(rng)
			if rule.rateAnswer {
				ok := cheapQuality+rng.NormFloat64()*ratingNoise >= qualityTarget
				if rule.observe != nil {
					rule.observe(t, ok)
				}
				requestCost, latency = requestCost+ratingCost, latency+ratingTime
				if !ok {
					requestCost, answerQuality, latency = requestCost+strongCost, strongQuality, latency+strongTime*logNormalNoise(rng)
				}
			}
		}
		cost += requestCost
		latencies = append(latencies, latency)
		if answerQuality >= qualityTarget {
			good++
		}
	}
	return cost, float64(good) / float64(n), latencies
}

// drawTask draws a task profile by its share of requests.
func drawTask(rng *rand.Rand) taskProfile {
	point := rng.Float64()
	for _, t := range taskProfiles {
		if point -= t.requestShare; point < 0 {
			return t
		}
	}
	return taskProfiles[0]
}

// drawQuality draws the quality of an answer, which reaches the target with the
// given probability.
func drawQuality(rng *rand.Rand, probability float64) float64 {
	if rng.Float64() < probability {
		return qualityTarget + (1-qualityTarget)*rng.Float64()
	}
	return qualityTarget * rng.Float64()
}

// logNormalNoise returns a log-normally distributed factor with mean 1.
func logNormalNoise(rng *rand.Rand) float64 {
	const sigma = 0.4
	return math.Exp(rng.NormFloat64()*sigma - sigma*sigma/2)
}
