package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/rollout"
)

func TestJudgePoolsWhatInstancesSee(t *testing.T) {
	for _, c := range []struct {
		name string
		// rates of bad and of slow answers, of the new and the old release
		bad, oldBad, slow, oldSlow float64
		// most answers of the new release until it is found, over all
		// instances; 0 for never in 3,000
		want int
	}{
		{"sound", 0.01, 0.01, 0.05, 0.05, 0},
		{"half of its answers bad", 0.5, 0.01, 0.05, 0.05, 40},
		{"half of its answers slow", 0.01, 0.01, 0.5, 0.05, 120},
		{"trouble of all replicas", 0.2, 0.2, 0.05, 0.05, 0},
		{"all replicas loaded", 0.01, 0.01, 0.35, 0.35, 0},
	} {
		for seed := range uint64(10) {
			r := rand.New(rand.NewPCG(seed, 3))
			j := rollout.NewJudge()
			var l [7]rollout.Tally
			n := 0
			for ; n < 3000 && !j.Bad(); n++ {
				i := r.IntN(len(l))
				l[i].New = draw(r, l[i].New, c.bad)
				l[i].NewPace = draw(r, l[i].NewPace, c.slow)
				for range 5 {
					l[i].Old = draw(r, l[i].Old, c.oldBad)
					l[i].OldPace = draw(r, l[i].OldPace, c.oldSlow)
				}
				j.Report(fmt.Sprint(i), l[i], at(n))
			}
			if c.want == 0 && j.Bad() || c.want > 0 && n > c.want {
				t.Errorf("%s, seed %d: bad %t after %d answers, want within %d", c.name, seed, j.Bad(), n, c.want)
			}
		}
	}
}

// at is the moment of the nth answer of the new release, 40 of which come in
// a second.
func at(n int) time.Time {
	return time.Unix(1_700_000_000, 0).Add(time.Duration(n) * time.Second / 40)
}

// Replicas of both releases crash for a moment, when the old one has had a long
// good run and the new one a short one: it is not stopped for it. If it alone
// goes on to fail, it is.
func TestJudgeExcusesACrashOfBoth(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 5))
		j := rollout.NewJudge()
		l := rollout.Tally{Old: rollout.Evidence{Good: 10_000, Bad: 100}}
		j.Report("a", l, at(-400))
		for n := range 700 {
			bad, oldBad := 0.01, 0.01
			switch {
			case n >= 380 && n < 400:
				bad, oldBad = 0.8, 0.8
			case n >= 600:
				bad = 0.5
			}
			l.New = draw(r, l.New, bad)
			for range 6 {
				l.Old = draw(r, l.Old, oldBad)
			}
			j.Report("a", l, at(n))
			if n < 600 && j.Bad() {
				t.Fatalf("seed %d: found bad at answer %d", seed, n)
			}
		}
		if !j.Bad() {
			t.Errorf("seed %d: not found bad", seed)
		}
	}
}

func draw(r *rand.Rand, e rollout.Evidence, rate float64) rollout.Evidence {
	if r.Float64() < rate {
		return e.WithBad(1)
	}
	return e.WithGood(1)
}

func TestJudgeCountsEachReportOnce(t *testing.T) {
	j := rollout.NewJudge()
	a := rollout.Tally{New: rollout.Evidence{Good: 3, Bad: 1}}
	for range 3 {
		j.Report("a", a, at(0))
	}
	j.Report("a", rollout.Tally{}, at(0))
	if g := j.Total(); g != a {
		t.Errorf("total %+v, want %+v", g, a)
	}
}
