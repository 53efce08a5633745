package measure

import (
	"fmt"
	"math/rand/v2"

	"fieldvale/rollout"
)

const (
	// requestRate is the number of requests per second to both versions.
	requestRate = 40.0
	// evidenceDelay is the time in seconds until evidence reaches all instances.
	evidenceDelay     = 0.7
	rolloutRuns       = 200
	falseTripRequests = 5_000_000
)

// Rollout measures how many requests a version receives after it has turned bad, and
// how often a good version is stopped by mistake.
func Rollout(r *Report, seed uint64) {
	for _, share := range []float64{0.01, 0.1, 0.5} {
		for _, bad := range []struct {
			name string
			rate float64
		}{{"clear", 0.9}, {"subtle", 0.15}} {
			for _, pooled := range []bool{true, false} {
				name := map[bool]string{true: "pooled", false: "alone"}[pooled]
				variant := fmt.Sprintf("%s/%s/%g%%", name, bad.name, share*100)
				rng := rand.New(rand.NewPCG(seed, 4))
				var requests, times []float64
				for range rolloutRuns {
					exposed, tripTime := simulateExposure(rng, share, bad.rate, pooled)
					requests, times = append(requests, exposed), append(times, tripTime)
				}
				r.Add("rollout", variant, "exposed_p50", quantile(requests, 0.5), "requests")
				r.Add("rollout", variant, "exposed_p95", quantile(requests, 0.95), "requests")
				r.Add("rollout", variant, "time_to_trip_p50", quantile(times, 0.5), "s")
			}
		}
	}
	for _, errorRate := range []float64{0.005, 0.01, 0.02} {
		r.Add("rollout", fmt.Sprintf("good-run-%g%%-errors", errorRate*100), "false_trips_per_million", falseTripsPerMillion(rand.New(rand.NewPCG(seed, 5)), errorRate), "count")
	}
}

// simulateExposure simulates a version that is bad from the start. It returns the
// number of requests that the version receives until no instance sends it any, and
// the time in seconds until the last detector trips. If pooled is false, each
// instance uses only its own evidence; otherwise one detector uses all evidence.
func simulateExposure(rng *rand.Rand, share, badRate float64, pooled bool) (float64, float64) {
	detectors := make([]rollout.Detector, routerCount)
	outcomes := make([]rollout.Outcomes, routerCount)
	stopped := make([]float64, routerCount)
	for router := range detectors {
		detectors[router] = rollout.NewDetector(rollout.DefaultRates())
	}
	var pooledOutcomes rollout.Outcomes
	now, requests, sending := 0.0, 0.0, routerCount
	for sending > 0 {
		now += rng.ExpFloat64() / (requestRate * share)
		router := rng.IntN(routerCount)
		if stopped[router] > 0 && now >= stopped[router] {
			continue
		}
		requests++
		outcomes[router], pooledOutcomes = recordAnswer(rng, badRate, outcomes[router], pooledOutcomes)
		if !pooled {
			detectors[router] = detectors[router].With(outcomes[router])
			if detectors[router].Tripped() && stopped[router] == 0 {
				stopped[router] = now
				sending--
			}
			continue
		}
		detectors[0] = detectors[0].With(pooledOutcomes)
		if detectors[0].Tripped() && stopped[0] == 0 {
			for other := range stopped {
				stopped[other] = now + evidenceDelay
			}
			stopped[router] = now
			sending = 0
		}
	}
	if pooled {
		// The other instances keep sending until the evidence reaches them.
		requests += evidenceDelay * requestRate * share * (routerCount - 1) / routerCount
	}
	return requests, now
}

// recordAnswer draws an answer, which is bad at the given rate, and adds it to the
// instance's own outcomes and to the pooled ones.
func recordAnswer(rng *rand.Rand, badRate float64, own, pooled rollout.Outcomes) (rollout.Outcomes, rollout.Outcomes) {
	if rng.Float64() < badRate {
		return own.WithBad(1), pooled.WithBad(1)
	}
	return own.WithGood(1), pooled.WithGood(1)
}

// falseTripsPerMillion returns the number of times in a million requests that the
// detector trips for a version with a constant rate of bad answers. The detector is
// reset after each trip.
func falseTripsPerMillion(rng *rand.Rand, badRate float64) float64 {
	detector, outcomes, trips := rollout.NewDetector(rollout.DefaultRates()), rollout.Outcomes{}, 0
	for range falseTripRequests {
		outcomes, _ = recordAnswer(rng, badRate, outcomes, outcomes)
		detector = detector.With(outcomes)
		if detector.Tripped() {
			trips++
			detector, outcomes = rollout.NewDetector(rollout.DefaultRates()), rollout.Outcomes{}
		}
	}
	return float64(trips) * 1e6 / falseTripRequests
}
