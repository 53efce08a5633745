package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/rollout"
	"fieldvale/standin/seed"
	"fieldvale/version"
)

var _ = seed.Fix()

var (
	from = version.New("m", "1")
	to   = version.New("m", "2")
	noon = time.Unix(1_700_000_000, 0)
)

func TestGrowthMovesNoSessionBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, err := rollout.New(from, to, []int{100, 1000, 5000, rollout.FullShare}, noon, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		s := rapid.String().Draw(t, "session")
		was := from
		for r.State == rollout.Running {
			r = r.WithNextStep()
			now := r.VersionFor(s)
			if was == to && now == from {
				t.Fatalf("session %q went back at %d", s, r.Share())
			}
			was = now
		}
		if was != to {
			t.Fatalf("session %q is on %s at the end", s, was)
		}
	})
}

func TestNewRefuses(t *testing.T) {
	for _, c := range []struct {
		name   string
		from   version.ID
		shares []int
	}{
		{"no steps", from, nil},
		{"not to all", from, []int{100}},
		{"shrinking", from, []int{500, 100, rollout.FullShare}},
		{"from itself", to, []int{rollout.FullShare}},
		{"another model", version.New("n", "1"), []int{rollout.FullShare}},
	} {
		if _, err := rollout.New(c.from, to, c.shares, noon, time.Minute); err == nil {
			t.Errorf("%s: no error", c.name)
		}
	}
}

func TestDetector(t *testing.T) {
	for _, c := range []struct {
		name string
		rate float64
		// most outcomes until it trips; 0 for never within 200,000
		want int
	}{
		{"sound", 0.005, 0},
		{"at the good rate", 0.02, 0},
		{"clearly bad", 0.9, 12},
		{"half bad", 0.5, 40},
		{"subtly bad", 0.15, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(7, 7))
			d, e := rollout.NewDetector(rollout.DefaultRates()), rollout.Outcomes{}
			n := 0
			for n < 200_000 && !d.Tripped() {
				n++
				if r.Float64() < c.rate {
					e = e.WithBad(1)
				} else {
					e = e.WithGood(1)
				}
				d = d.With(e)
			}
			if c.want == 0 && d.Tripped() || c.want > 0 && n > c.want {
				t.Errorf("tripped %t after %d, want within %d", d.Tripped(), n, c.want)
			}
		})
	}
}

func TestPooledCountsEachReportOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := rollout.NewPooledOutcomes()
		last := map[string]rollout.Outcomes{}
		for range rapid.IntRange(1, 50).Draw(t, "reports") {
			o := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "origin")
			e := rollout.Outcomes{Good: uint64(rapid.IntRange(0, 9).Draw(t, "good")), Bad: uint64(rapid.IntRange(0, 9).Draw(t, "bad"))}
			p.Report(o, e)
			last[o] = last[o].Max(e)
		}
		var want rollout.Outcomes
		for _, e := range last {
			want = want.WithGood(e.Good).WithBad(e.Bad)
		}
		if p.Total() != want {
			t.Fatalf("total %+v, want %+v", p.Total(), want)
		}
	})
}

func ExampleRollout_WithNextStep() {
	r, _ := rollout.New(from, to, []int{1000, rollout.FullShare}, noon, time.Minute)
	r = r.WithNextStep()
	fmt.Println(r.Share(), r.State, r.IsStepDue(noon.Add(time.Minute)))
	r = r.WithNextStep()
	fmt.Println(r.Share(), r.State)
	// Output:
	// 1000 running true
	// 10000 done
}
