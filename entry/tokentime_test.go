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
	"fieldvale/version"
)

// pacedEngines answer each version in its own time.
type slowEngines struct {
	backendsFake
	rand *rand.Rand
	// usual is how long an answer takes in the middle, of all versions; late is the part
	// of the new one's answers that take five times as long.
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

// withRollout has half of the new sessions of the small model go to its second version.
func withRollout(t *testing.T, v *CurrentView) {
	o, err := rollout.New(versions[1], versions[2], []int{rollout.FullShare / 2, rollout.FullShare}, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	d := v.Get().Active.Document()
	if d, _, err = d.Apply(config.Change{ID: "start", Team: "t", Action: audit.StartRoll, Rollout: o, At: time.Now()}); err != nil {
		t.Fatal(err)
	}
	a, e := config.Activate(d)
	if len(e) > 0 {
		t.Fatal(e)
	}
	v.Put(v.Get().WithActive(a))
}

// Callers waited five times as long for a third of the answers of a new version, which
// took step after step: each answer came whole and was rated well, and nobody asked how
// long it took. Beside the old version's it counts as bad; where all versions are slower,
// as under load, it does not.
func TestSlowVersionIsFoundBesideTheOldOne(t *testing.T) {
	for _, c := range []struct {
		name string
		late float64
		// slower is how much longer all answers take from the middle on.
		slower float64
		bad    bool
	}{
		{"a third of its answers late", 0.34, 1, true},
		{"half of them late, and all slower", 0.5, 4, true},
		{"sound", 0, 1, false},
		{"sound, and all slower", 0, 4, false},
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
				if _, _, err := r.Chat(t.Context(), q); err != nil && outcome.Of(err) != outcome.NotRun {
					t.Fatal(err)
				}
			}
			e := r.Evidence()
			d := rollout.NewDetector(rollout.DefaultRates()).With(e[versions[2]])
			if d.Tripped() != c.bad {
				t.Errorf("%s: found bad %t, want %t: %+v beside %+v", c.name, d.Tripped(), c.bad, e[versions[2]], e[versions[1]])
			}
		})
	}
}

func Example_paces() {
	p := newTokenTimes()
	for range minSamples {
		p.observe(version.New("small", "1"), 10*time.Millisecond)
	}
	fmt.Println(p.isSlow(39*time.Millisecond, version.New("small", "1")), p.isSlow(41*time.Millisecond, version.New("small", "1")))
	// Output: false true
}
