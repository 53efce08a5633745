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

// Guards against sessions that switch back to the old version when the share of the new one
// increases.
func TestIncreaseMovesNoSessionBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, err := rollout.New(from, to, []int{100, 1000, 5000, rollout.FullShare}, noon, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		s := rapid.String().Draw(t, "session")
		was := from
		for r.State == rollout.Running {
			r = r.WithNextStep()
			next := r.VersionFor(s)
			if was == to && next == from {
				t.Fatalf("session %q returned to the old version at share %d", s, r.Share())
			}
			was = next
		}
		if was != to {
			t.Fatalf("session %q at the end: got version %s, want the new one", s, was)
		}
	})
}

// Guards against plans that never reach all sessions, that reduce the share, or that are
// not between two versions of one model.
func TestNewRejectsInvalidPlans(t *testing.T) {
	for _, c := range []struct {
		name   string
		from   version.ID
		shares []int
	}{
		{"no steps", from, nil},
		{"last share not all", from, []int{100}},
		{"decreasing", from, []int{500, 100, rollout.FullShare}},
		{"to the same version", to, []int{rollout.FullShare}},
		{"to another model", version.New("n", "1"), []int{rollout.FullShare}},
	} {
		if _, err := rollout.New(c.from, to, c.shares, noon, time.Minute); err == nil {
			t.Errorf("%s: got no error, want one", c.name)
		}
	}
}

// Guards against a detector that trips for a sound version, or that needs too many answers
// of a bad one.
func TestDetector(t *testing.T) {
	for _, c := range []struct {
		name string
		rate float64
		// want is the greatest number of outcomes until the detector trips; 0 means
		// that it must not trip within 200,000.
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
				t.Errorf("got tripped %t after %d outcomes, want within %d (0: never)", d.Tripped(), n, c.want)
			}
		})
	}
}

// Guards against outcomes that are counted twice or lost, as when an instance's reports are
// repeated or arrive out of order.
func TestPooledOutcomesCountEachOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := rollout.NewPooledOutcomes()
		last := map[string]rollout.Outcomes{}
		for range rapid.IntRange(1, 50).Draw(t, "reports") {
			o := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "instance")
			e := rollout.Outcomes{Good: uint64(rapid.IntRange(0, 9).Draw(t, "good")), Bad: uint64(rapid.IntRange(0, 9).Draw(t, "bad"))}
			p.Report(o, e)
			last[o] = last[o].Max(e)
		}
		var want rollout.Outcomes
		for _, e := range last {
			want = want.WithGood(e.Good).WithBad(e.Bad)
		}
		if p.Total() != want {
			t.Fatalf("got total %+v, want %+v", p.Total(), want)
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
