package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/rollout"
)

// Guards against sessions that return to the old release when a release gets its next
// phase, and against instances that replace a newer state by an older one.
func TestReleaseMovesSessionsOnlyForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.String().Draw(t, "session")
		r := rollout.NewRelease("s", "v2", 1, time.Minute)
		was := r.RoutesToTarget(s)
		for r.State == rollout.Running {
			n := r.WithNextPhase()
			if !n.Supersedes(r) || r.Supersedes(n) {
				t.Fatalf("want phase %d to supersede phase %d and not the reverse", n.Phase, r.Phase)
			}
			if was && !n.RoutesToTarget(s) {
				t.Fatalf("session %q returned to the old release in phase %d", s, n.Phase)
			}
			was, r = n.RoutesToTarget(s), n
		}
		if !was {
			t.Fatal("got a session on the old release at the end, want it on the target")
		}
		if b := r.WithState(rollout.Tripped); b.State != rollout.Done {
			t.Fatal("WithState changed a final state")
		}
	})
}

// Guards against requests to a release that was found bad, and against a stopped release
// that blocks the next order.
func TestTrippedReleaseGetsNothing(t *testing.T) {
	r := rollout.NewRelease("s", "v2", 1, time.Minute).WithNextPhase().WithNextPhase().WithState(rollout.Tripped)
	if r.Share() != 0 || r.RoutesToTarget("x") {
		t.Errorf("got share %d for a tripped release, want no requests", r.Share())
	}
	if o := rollout.NewRelease("s", "v3", 2, time.Minute); !o.Supersedes(r) || r.Supersedes(o) {
		t.Error("want a later order to supersede an earlier one and not the reverse")
	}
}

// Guards against a bad release that passes to its next phase, or is done, just before the
// tests would find it bad.
func TestSuspectReleaseWaits(t *testing.T) {
	const length = 100 * time.Second
	suspect := rollout.Concerns{Suspect: true}
	r := rollout.NewRelease("s", "v2", 1, length).WithNextPhase().WithNextPhase()
	if r.IsNextPhaseDue(91*time.Second, time.Minute, suspect) || !r.IsNextPhaseDue(91*time.Second, time.Minute, rollout.Concerns{}) || !r.IsNextPhaseDue(93*time.Second, time.Minute, suspect) {
		t.Error("want a suspect release to wait for 3 in 100 of its length, and no other")
	}
	if r = r.WithNextPhase(); r.IsNextPhaseDue(length, time.Minute, suspect) || !r.IsNextPhaseDue(length, time.Minute, rollout.Concerns{}) {
		t.Error("want a suspect release not to be done at its length, and any other to be")
	}
}

// Guards against a slow release that gets all requests because its trial had too few, some
// 30, to find it slow. From then on it can't be found, as there is no old release to
// compare it with.
func TestInconclusiveReleaseStaysInTrial(t *testing.T) {
	const length = 20 * time.Second
	inconclusive := rollout.Concerns{Inconclusive: true}
	r := rollout.NewRelease("s", "v2", 1, length).WithNextPhase().WithNextPhase()
	if r.IsNextPhaseDue(length, time.Minute, inconclusive) || r.IsNextPhaseDue(149*time.Second, time.Minute, inconclusive) {
		t.Error("an inconclusive release left its trial")
	}
	if r.IsNextPhaseDue(10*length, time.Minute, inconclusive) {
		t.Error("an inconclusive release left its trial at 10 times its length")
	}
	if r.IsNextPhaseDue(length, time.Second, rollout.Concerns{}) {
		t.Error("trial ended by an instance that has seen it for 1 s, before others can report that it is inconclusive")
	}
	if !r.IsNextPhaseDue(length, time.Minute, rollout.Concerns{}) {
		t.Error("late release did not leave its trial although it is not inconclusive any more")
	}
	if r.IsNextPhaseDue(time.Hour, time.Minute, rollout.Concerns{Inconclusive: true, Suspect: true}) {
		t.Error("an inconclusive and suspect release left its trial")
	}
	if !r.WithNextPhase().IsNextPhaseDue(length, time.Minute, inconclusive) {
		t.Error("an inconclusive release was held in its last phase, where it can't be compared")
	}
}

func ExampleRelease_PhaseLength() {
	r := rollout.NewRelease("s", "v2", 1, 100*time.Second)
	var at time.Duration
	for r.State == rollout.Running {
		fmt.Println(at.Round(time.Second), r.Share())
		at += r.PhaseLength()
		r = r.WithNextPhase()
	}
	fmt.Println(at.Round(time.Second), r.State)
	// Output:
	// 0s 0
	// 0s 100
	// 52s 300
	// 1m30s 10000
	// 1m35s done
}

// A bad release that is never found stays within the exposure limit during its length, at
// any rate of requests. A lower rate allows a larger share.
func ExampleRelease_ComputeTrialShare() {
	r := rollout.NewRelease("s", "v2", 1, 14*time.Second)
	l := rollout.ExposureLimit{Fraction: 0.15, Slack: 30}
	for _, rate := range []float64{10, 30, 70, 1000} {
		fmt.Println(rate, r.ComputeTrialShare(l, rate))
	}
	// Output:
	// 10 3000
	// 30 2274
	// 70 1200
	// 1000 451
}
