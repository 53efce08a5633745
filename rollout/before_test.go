package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/rollout"
)

// loadedDay is a release that is ordered at a quiet moment, and whose old replicas have
// more to do than they can from its trial on.
type loadedDay struct {
	now behaviour
	// factor is how much longer the old release's answers take in the trial, and shared
	// how much longer the new one's do: what slows all, as a bad link does.
	factor, shared float64
}

// waited counts a wait whose usual time is multiplied.
func waited(r *rand.Rand, c rollout.Counts, b behaviour, factor float64) rollout.Counts {
	d := time.Duration(factor * float64(drawTime(r, b)))
	return wait(c.WithGood(), d)
}

// play reports what the judge makes of the day by the end of the trial.
func (d loadedDay) play(seed uint64, trial int) *rollout.Judge {
	r := rand.New(rand.NewPCG(seed, 11))
	j := rollout.NewJudge()
	var l [7]rollout.Tally
	n := 0
	for range 300 {
		i, k := r.IntN(len(l)), r.IntN(4)
		l[i].Old[k] = waited(r, l[i].Old[k], behaviour{slow: 0.05}, 1)
		j.Report(fmt.Sprint(i), l[i], at(n))
		n++
	}
	for range trial {
		i, k := r.IntN(len(l)), r.IntN(4)
		l[i].New[k] = waited(r, l[i].New[k], d.now, d.shared)
		for range 5 {
			i, k := r.IntN(len(l)), r.IntN(4)
			l[i].Old[k] = waited(r, l[i].Old[k], behaviour{slow: 0.05}, d.factor)
			j.Report(fmt.Sprint(i), l[i], at(n))
		}
		n++
	}
	return j
}

// Users of a bakery's price lists waited five times as long for half of their answers
// for seconds after the new release had all requests. It was ordered at a quiet time; in
// its trial two fifths of the old replicas crashed, the others had more to do than they
// could, and their answers came later still. Beside those the new release, with a tenth
// of the requests, looked sound: each second's waits of both were alike or better, which
// the drawn days with a burst and with crashes showed (5025, 6305). So beside an old
// release that is slower than before, the new one must be as fast as that was before.
func TestSlowReleaseIsNotExcusedByLoadOfTheOldOne(t *testing.T) {
	for _, c := range []struct {
		name string
		day  loadedDay
		// trial is how many requests it gets; passes says that it may go on.
		trial  int
		passes bool
	}{
		{"half slow, few requests", loadedDay{now: behaviour{slow: 0.6}, factor: 5, shared: 1}, 25, false},
		{"half slow", loadedDay{now: behaviour{slow: 0.6}, factor: 5, shared: 1}, 100, false},
		{"sound", loadedDay{now: behaviour{slow: 0.05}, factor: 5, shared: 1}, 100, true},
		{"sound, as loaded as usual", loadedDay{now: behaviour{slow: 0.05}, factor: 1, shared: 1}, 100, true},
	} {
		wrong := 0
		for seed := range uint64(30) {
			j := c.day.play(seed, c.trial)
			s := j.Finding().Concerns()
			if passes := !j.IsBad() && !s.Inconclusive; passes != c.passes {
				wrong++
			}
		}
		if wrong > 3 {
			t.Errorf("%s: %d of 30 runs end otherwise than passing=%t", c.name, wrong, c.passes)
		}
	}
}

// A release that failed half of its answers got two requests in its trial, as its
// replicas could hardly be used, and then all: nothing had been found against it. One of
// which next to nothing was seen is in doubt, unless its service has few requests at all.
func TestAReleaseThatWasNotSeenIsInDoubt(t *testing.T) {
	for _, c := range []struct {
		now, old int
		want     bool
	}{{2, 300, true}, {0, 300, true}, {2, 60, true}, {2, 30, false}, {0, 0, false}, {12, 300, false}} {
		r := rand.New(rand.NewPCG(1, 1))
		j := rollout.NewJudge()
		var l rollout.Tally
		for i := range max(c.now, c.old) {
			if i < c.now {
				l.New[0] = draw(r, l.New[0], behaviour{})
			}
			if i < c.old {
				l.Old[0] = draw(r, l.Old[0], behaviour{})
			}
			j.Report("a", l, at(i))
		}
		if g := j.Finding().Concerns().Inconclusive; g != c.want {
			t.Errorf("%d requests beside %d: in doubt %t, want %t", c.now, c.old, g, c.want)
		}
	}
}
