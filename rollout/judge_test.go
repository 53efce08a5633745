package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/rollout"
)

// behaviour is how a release answers: the part of answers that fail, and times.
type behaviour struct {
	failed float64
	// broken is the part of answers that break off.
	broken float64
	// slow is the part of answers that take five times as long.
	slow float64
	// delay is what each answer takes longer.
	delay time.Duration
}

// usualTime is the middle of the times that answers take.
const usualTime = 200 * time.Millisecond

// draw counts one answer.
func draw(r *rand.Rand, c rollout.Counts, b behaviour) rollout.Counts {
	d := drawTime(r, b)
	switch x := r.Float64(); {
	case x < b.failed:
		return c.WithFailed()
	case x < b.failed+b.broken:
		return c.WithBroken()
	}
	return wait(c.WithGood(), d)
}

// drawTime is the time that one answer takes.
func drawTime(r *rand.Rand, b behaviour) time.Duration {
	d := time.Duration(float64(usualTime) * math.Exp(0.6*r.NormFloat64()))
	if r.Float64() < b.slow {
		d *= 5
	}
	return d + b.delay
}

// target is the time in which answers should come.
const target = 3 * time.Second

// wait counts a wait for an answer.
func wait(c rollout.Counts, d time.Duration) rollout.Counts {
	for i, end := range rollout.IntervalEnds(target) {
		if d < end {
			return c.WithAnswered(i)
		}
		c = c.WithOutlasted(i)
	}
	return c
}

func TestJudgePoolsWhatInstancesSee(t *testing.T) {
	for _, c := range []struct {
		name     string
		now, old behaviour
		// olds is how many answers of the old release there are for one of the new.
		olds int
		// most answers of the new release until it is found, over all
		// instances; 0 for never in 3,000
		want int
	}{
		{"sound", behaviour{failed: 0.01, slow: 0.05}, behaviour{failed: 0.01, slow: 0.05}, 5, 0},
		{"half of its answers bad", behaviour{failed: 0.5, slow: 0.05}, behaviour{failed: 0.01, slow: 0.05}, 5, 40},
		{"a third breaks off", behaviour{broken: 0.3}, behaviour{broken: 0.01}, 5, 100},
		{"half of its answers slow", behaviour{failed: 0.01, slow: 0.5}, behaviour{failed: 0.01, slow: 0.05}, 5, 120},
		{"nearly all slow", behaviour{slow: 0.9}, behaviour{slow: 0.05}, 5, 30},
		{"each takes some time more", behaviour{delay: 90 * time.Millisecond}, behaviour{}, 30, 120},
		{"trouble of all replicas", behaviour{failed: 0.2, slow: 0.05}, behaviour{failed: 0.2, slow: 0.05}, 5, 0},
		{"trouble of all, and worse", behaviour{failed: 0.5}, behaviour{failed: 0.15}, 5, 80},
		{"all replicas loaded", behaviour{failed: 0.01, slow: 0.35}, behaviour{failed: 0.01, slow: 0.35}, 5, 0},
		{"bad, and has all requests", behaviour{failed: 0.3}, behaviour{}, 0, 70},
		{"sound, and has all requests", behaviour{failed: 0.03, slow: 0.5}, behaviour{}, 0, 0},
		{"its replicas break off, and it has all requests", behaviour{broken: 0.3}, behaviour{}, 0, 0},
	} {
		for seed := range uint64(10) {
			r := rand.New(rand.NewPCG(seed, 3))
			j := rollout.NewJudge()
			var l [7]rollout.Tally
			n := 0
			for ; n < 3000 && !j.IsBad(); n++ {
				i, k := r.IntN(len(l)), r.IntN(6)
				l[i].New[k] = draw(r, l[i].New[k], c.now)
				for range c.olds {
					k := r.IntN(6)
					l[i].Old[k] = draw(r, l[i].Old[k], c.old)
				}
				j.Report(fmt.Sprint(i), l[i], at(n))
			}
			if c.want == 0 && j.IsBad() || c.want > 0 && n > c.want {
				t.Errorf("%s, seed %d: bad %t after %d answers, want within %d; %+v", c.name, seed, j.IsBad(), n, c.want, j.Finding())
			}
		}
	}
}

// at is the moment of the nth answer of the new release, 40 of which come in
// a second.
func at(n int) time.Time {
	return time.Unix(1_700_000_000, 0).Add(time.Duration(n) * time.Second / 40)
}

// A release fails requests of one kind only, a sixth of all: the others' good
// answers must not hide it.
func TestJudgeFindsOneBadKind(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 4))
		j := rollout.NewJudge()
		var l rollout.Tally
		n := 0
		for ; n < 500 && !j.IsBad(); n++ {
			k := r.IntN(6)
			b := behaviour{}
			if k == 2 {
				b.failed = 0.4
			}
			l.New[k] = draw(r, l.New[k], b)
			for range 5 {
				k := r.IntN(6)
				l.Old[k] = draw(r, l.Old[k], behaviour{failed: 0.01})
			}
			j.Report("a", l, at(n))
		}
		if !j.IsBad() {
			t.Errorf("seed %d: not found: %+v", seed, j.Finding())
		}
	}
}

// Replicas of both releases crash for a moment, when the old one has had a long
// good run and the new one a short one: it is not stopped for it. If it alone
// goes on to fail, it is.
func TestJudgeExcusesACrashOfBoth(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 5))
		j := rollout.NewJudge()
		var l rollout.Tally
		l.Old[0] = rollout.Counts{Good: 10_000, Failed: 50, Broken: 50}
		j.Report("a", l, at(-400))
		for n := range 700 {
			now, old := behaviour{failed: 0.01}, behaviour{failed: 0.01}
			switch {
			case n >= 380 && n < 400:
				now, old = behaviour{failed: 0.8}, behaviour{failed: 0.8}
			case n >= 600:
				now = behaviour{failed: 0.5}
			}
			l.New[0] = draw(r, l.New[0], now)
			for range 6 {
				l.Old[0] = draw(r, l.Old[0], old)
			}
			j.Report("a", l, at(n))
			if n < 600 && j.IsBad() {
				t.Fatalf("seed %d: found bad at answer %d: %+v", seed, n, j.Finding())
			}
		}
		if !j.IsBad() {
			t.Errorf("seed %d: not found bad", seed)
		}
	}
}

// An old release that failed for a while does not excuse the new one afterwards.
func TestJudgeForgetsOldTrouble(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 6))
		j := rollout.NewJudge()
		var l rollout.Tally
		l.Old[0] = rollout.Counts{Good: 600, Failed: 400}
		j.Report("a", l, at(-1000))
		n := 0
		for ; n < 80 && !j.IsBad(); n++ {
			l.New[0] = draw(r, l.New[0], behaviour{failed: 0.4})
			for range 6 {
				l.Old[0] = draw(r, l.Old[0], behaviour{failed: 0.01})
			}
			j.Report("a", l, at(n))
		}
		if !j.IsBad() {
			t.Errorf("seed %d: not found: %+v", seed, j.Finding())
		}
	}
}

func TestJudgeCountsEachReportOnce(t *testing.T) {
	j := rollout.NewJudge()
	var a rollout.Tally
	a.New[1] = rollout.Counts{Good: 3, Failed: 1}
	for range 3 {
		j.Report("a", a, at(0))
	}
	j.Report("a", rollout.Tally{}, at(0))
	if g := j.Total(); g != a {
		t.Errorf("total %+v, want %+v", g, a)
	}
}

// What an instance told before its restart still counts, and what it tells after it
// comes on top; a report of the life before that comes late changes nothing.
func TestJudgeAddsUpLives(t *testing.T) {
	j := rollout.NewJudge()
	tell := func(life int64, good, failed uint64) {
		x := rollout.Tally{Incarnation: life}
		x.New[0] = rollout.Counts{Good: good, Failed: failed}
		j.Report("a", x, at(0))
	}
	tell(1, 10, 2)
	tell(2, 1, 1)
	tell(1, 12, 2)
	tell(2, 3, 1)
	tell(2, 2, 1)
	want := rollout.Counts{Good: 13, Failed: 3}
	if g, _ := j.Total().Totals(); g != want {
		t.Errorf("total %+v, want %+v", g, want)
	}
	// Its clock was set back before it was started again.
	tell(-5, 4, 1)
	want = rollout.Counts{Good: 17, Failed: 4}
	if g, _ := j.Total().Totals(); g != want {
		t.Errorf("total %+v, want %+v", g, want)
	}
}
