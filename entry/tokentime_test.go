package entry

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"fieldvale/audit"
	"fieldvale/config"
	"fieldvale/outcome"
	"fieldvale/pool"
	"fieldvale/rollout"
	"fieldvale/session"
)

// slowEngines answer after random times.
type slowEngines struct {
	backendsFake
	rand *rand.Rand
	// medianTime is the median time of all versions' answers. slowPart is the part of the new
	// version's answers that take five times as long.
	medianTime time.Duration
	slowPart   float64
}

func (f *slowEngines) Chat(ctx context.Context, r *pool.Replica, a Attempt) (Answer, error) {
	d := time.Duration(float64(f.medianTime) * math.Exp(0.6*f.rand.NormFloat64()))
	if a.Version == versions[2] && f.rand.Float64() < f.slowPart {
		d *= 5
	}
	time.Sleep(d)
	return f.backendsFake.Chat(ctx, r, a)
}

// withRollout sends half of the new sessions of the small model to its second version.
func withRollout(t *testing.T, v *CurrentView) {
	o, err := rollout.New(versions[1], versions[2], []int{rollout.FullShare / 2, rollout.FullShare}, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	d := v.Get().Active.Document()
	if d, _, err = d.Apply(config.Change{ID: "start", Team: "t", Action: audit.StartRollout, Rollout: o, At: time.Now()}); err != nil {
		t.Fatal(err)
	}
	a, e := config.Compile(d)
	if len(e) > 0 {
		t.Fatal(e)
	}
	v.Put(v.Get().WithActive(a))
}

// A third of a new version's answers take five times as long, but all are complete and rated
// well. Without a comparison of times its roll-out would go on. The slow answers count as bad
// beside the old version's; if all versions are slower, as under load, they do not.
func TestSlowVersionIsFoundByComparison(t *testing.T) {
	for _, c := range []struct {
		name string
		late float64
		// slower multiplies the time of all answers in the second half.
		slower float64
		bad    bool
	}{
		{"a third of its answers late", 0.34, 1, true},
		{"half of them late, and all slower", 0.5, 4, true},
		{"healthy", 0, 1, false},
		{"healthy, and all slower", 0, 4, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := &slowEngines{rand: rand.New(rand.NewPCG(5, 5)), medianTime: 100 * time.Millisecond, slowPart: c.late}
			r, v := newTestRouter(t, &f.backendsFake, &portsFake{rating: 1})
			r.engines = f
			withRollout(t, v)
			for i := range 600 {
				if i == 300 {
					f.medianTime = time.Duration(c.slower * float64(f.medianTime))
				}
				q := request(v, "bronze", AutoModel)
				q.ID = fmt.Sprint("q", i)
				q.Session = session.New(q.ID, "bronze", time.Now().Add(time.Hour))
				q.Deadline = time.Now().Add(time.Minute)
				if _, _, err := r.Chat(t.Context(), q); err != nil && outcome.KindOf(err) != outcome.NotRun {
					t.Fatal(err)
				}
			}
			e := r.Evidence()
			d := rollout.NewDetector(rollout.DefaultRates()).With(e[versions[2]])
			if d.Tripped() != c.bad {
				t.Errorf("%s: tripped %t, want %t: new version %+v, old version %+v", c.name, d.Tripped(), c.bad, e[versions[2]], e[versions[1]])
			}
		})
	}
}
