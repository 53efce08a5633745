package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/rollout"
)

// overloadedTrial simulates a release that is ordered at low load and whose old replicas
// are overloaded from the start of the trial.
type overloadedTrial struct {
	// newRelease is the behaviour of the new release.
	newRelease behaviour
	// oldFactor multiplies the times of the old release's answers in the trial, and
	// newFactor those of the new one's: by what slows both, such as a bad link.
	oldFactor, newFactor float64
}

// countScaledWait counts a good answer after a drawn time that is multiplied by factor.
func countScaledWait(r *rand.Rand, c rollout.Counts, b behaviour, factor float64) rollout.Counts {
	d := time.Duration(factor * float64(drawTime(r, b)))
	return wait(c.WithGood(), d)
}

// run returns the judge at the end of a trial with the given number of requests.
func (d overloadedTrial) run(seed uint64, requests int) *rollout.Judge {
	r := rand.New(rand.NewPCG(seed, 11))
	j := rollout.NewJudge()
	var l [7]rollout.Tally
	n := 0
	for range 300 {
		i, k := r.IntN(len(l)), r.IntN(4)
		l[i].Old[k] = countScaledWait(r, l[i].Old[k], behaviour{slow: 0.05}, 1)
		j.Report(fmt.Sprint(i), l[i], at(n))
		n++
	}
	for range requests {
		i, k := r.IntN(len(l)), r.IntN(4)
		l[i].New[k] = countScaledWait(r, l[i].New[k], d.newRelease, d.newFactor)
		for range 5 {
			i, k := r.IntN(len(l)), r.IntN(4)
			l[i].Old[k] = countScaledWait(r, l[i].Old[k], behaviour{slow: 0.05}, d.oldFactor)
			j.Report(fmt.Sprint(i), l[i], at(n))
		}
		n++
	}
	return j
}

// Guards against a slow release that passes its trial because the old one is overloaded.
// If two fifths of the old replicas crash in the trial, or in a burst of requests, the other
// old replicas are overloaded and their answers are late. The new release, with a tenth of
// the requests, looks sound beside them, although half of its answers take five times as
// long; clients notice once it gets all requests. So if the old release is slower than at its
// usual load, the new one must be as fast as the old one was then.
func TestSlowReleaseIsNotExcusedByLoadOfOldRelease(t *testing.T) {
	for _, c := range []struct {
		name  string
		trial overloadedTrial
		// requests is how many the new release gets in the trial, passes whether it
		// may leave the trial.
		requests int
		passes   bool
	}{
		{"half slow, few requests", overloadedTrial{newRelease: behaviour{slow: 0.6}, oldFactor: 5, newFactor: 1}, 25, false},
		{"half slow", overloadedTrial{newRelease: behaviour{slow: 0.6}, oldFactor: 5, newFactor: 1}, 100, false},
		{"sound", overloadedTrial{newRelease: behaviour{slow: 0.05}, oldFactor: 5, newFactor: 1}, 100, true},
		{"sound, old release not overloaded", overloadedTrial{newRelease: behaviour{slow: 0.05}, oldFactor: 1, newFactor: 1}, 100, true},
	} {
		wrong := 0
		for seed := range uint64(30) {
			j := c.trial.run(seed, c.requests)
			s := j.Finding().Concerns()
			if passes := !j.IsBad() && !s.Inconclusive; passes != c.passes {
				wrong++
			}
		}
		if wrong > 3 {
			t.Errorf("%s: got %d of 30 runs that do not end with passes=%t, want at most 3", c.name, wrong, c.passes)
		}
	}
}

// Guards against a bad release that passes its trial because it had next to no requests,
// as when its replicas are hardly usable. Such a release is inconclusive, unless its service
// has few requests altogether.
func TestUnobservedReleaseIsInconclusive(t *testing.T) {
	for _, c := range []struct {
		newRequests, oldRequests int
		want                     bool
	}{{2, 300, true}, {0, 300, true}, {2, 60, true}, {2, 30, false}, {0, 0, false}, {12, 300, false}} {
		r := rand.New(rand.NewPCG(1, 1))
		j := rollout.NewJudge()
		var l rollout.Tally
		for i := range max(c.newRequests, c.oldRequests) {
			if i < c.newRequests {
				l.New[0] = draw(r, l.New[0], behaviour{})
			}
			if i < c.oldRequests {
				l.Old[0] = draw(r, l.Old[0], behaviour{})
			}
			j.Report("a", l, at(i))
		}
		if g := j.Finding().Concerns().Inconclusive; g != c.want {
			t.Errorf("%d requests beside %d of the old release: got inconclusive %t, want %t", c.newRequests, c.oldRequests, g, c.want)
		}
	}
}
