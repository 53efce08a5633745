package measure

import (
	"fmt"
	"math/rand/v2"

	"fieldvale/rollout"
)

const (
	rolloutRate = 40.0
	// spreadTime is how long word of evidence takes to all instances.
	spreadTime  = 0.7
	rolloutRuns = 200
	longRun     = 5_000_000
)

// Rollout measures how many requests a version that turned bad still gets.
func Rollout(r *Report, seed uint64) {
	for _, share := range []float64{0.01, 0.1, 0.5} {
		for _, bad := range []struct {
			name string
			rate float64
		}{{"clear", 0.9}, {"subtle", 0.15}} {
			for _, pooled := range []bool{true, false} {
				name := map[bool]string{true: "pooled", false: "alone"}[pooled]
				v := fmt.Sprintf("%s/%s/%g%%", name, bad.name, share*100)
				g := rand.New(rand.NewPCG(seed, 4))
				var n, t []float64
				for range rolloutRuns {
					e, s := exposure(g, share, bad.rate, pooled)
					n, t = append(n, e), append(t, s)
				}
				r.Add("rollout", v, "exposed_p50", quantile(n, 0.5), "requests")
				r.Add("rollout", v, "exposed_p95", quantile(n, 0.95), "requests")
				r.Add("rollout", v, "time_to_trip_p50", quantile(t, 0.5), "s")
			}
		}
	}
	for _, p := range []float64{0.005, 0.01, 0.02} {
		r.Add("rollout", fmt.Sprintf("good-run-%g%%-errors", p*100), "false_trips_per_million", falseTrips(rand.New(rand.NewPCG(seed, 5)), p), "count")
	}
}

// exposure plays one version that is bad from the start of the count and
// returns the requests that it got until no instance sends any more, and the
// time. Alone, each instance knows its own evidence only.
func exposure(g *rand.Rand, share, bad float64, pooled bool) (float64, float64) {
	d := make([]rollout.Detector, routers)
	e := make([]rollout.Outcomes, routers)
	stopped := make([]float64, routers)
	for i := range d {
		d[i] = rollout.NewDetector(rollout.DefaultRates())
	}
	var all rollout.Outcomes
	t, n, alive := 0.0, 0.0, routers
	for alive > 0 {
		t += g.ExpFloat64() / (rolloutRate * share)
		i := g.IntN(routers)
		if stopped[i] > 0 && t >= stopped[i] {
			continue
		}
		n++
		e[i], all = count(g, bad, e[i], all)
		if !pooled {
			d[i] = d[i].With(e[i])
			if d[i].Tripped() && stopped[i] == 0 {
				stopped[i] = t
				alive--
			}
			continue
		}
		d[0] = d[0].With(all)
		if d[0].Tripped() && stopped[0] == 0 {
			for k := range stopped {
				stopped[k] = t + spreadTime
			}
			stopped[i] = t
			alive = 0
		}
	}
	if pooled {
		// What the other instances send until word has reached them.
		n += spreadTime * rolloutRate * share * (routers - 1) / routers
	}
	return n, t
}

func count(g *rand.Rand, bad float64, a, b rollout.Outcomes) (rollout.Outcomes, rollout.Outcomes) {
	if g.Float64() < bad {
		return a.WithBad(1), b.WithBad(1)
	}
	return a.WithGood(1), b.WithGood(1)
}

// falseTrips counts the trips of a version with a steady rate of bad answers,
// the test starting anew after each, in a million requests.
func falseTrips(g *rand.Rand, p float64) float64 {
	d, e, n := rollout.NewDetector(rollout.DefaultRates()), rollout.Outcomes{}, 0
	for range longRun {
		e, _ = count(g, p, e, e)
		d = d.With(e)
		if d.Tripped() {
			n++
			d, e = rollout.NewDetector(rollout.DefaultRates()), rollout.Outcomes{}
		}
	}
	return float64(n) * 1e6 / longRun
}
