package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/rollout"
)

func TestReleaseMovesSessionsOnlyForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.String().Draw(t, "session")
		r := rollout.NewRelease("s", "v2", 1, time.Minute)
		was := r.RoutesToTarget(s)
		for r.State == rollout.Running {
			n := r.WithNextPhase()
			if !n.Supersedes(r) || r.Supersedes(n) {
				t.Fatalf("phase %d does not supersede phase %d", n.Phase, r.Phase)
			}
			if was && !n.RoutesToTarget(s) {
				t.Fatalf("session %q went back in phase %d", s, n.Phase)
			}
			was, r = n.RoutesToTarget(s), n
		}
		if !was {
			t.Fatal("a session is on the old release at the end")
		}
		if b := r.WithState(rollout.Tripped); b.State != rollout.Done {
			t.Fatal("a final state was left")
		}
	})
}

func TestTrippedReleaseGetsNothing(t *testing.T) {
	r := rollout.NewRelease("s", "v2", 1, time.Minute).WithNextPhase().WithNextPhase().WithState(rollout.Tripped)
	if r.Share() != 0 || r.RoutesToTarget("x") {
		t.Errorf("a tripped release has share %d", r.Share())
	}
	if o := rollout.NewRelease("s", "v3", 2, time.Minute); !o.Supersedes(r) || r.Supersedes(o) {
		t.Error("a later order must take the place of an earlier one")
	}
}

// A release that is near to being found bad stays a little longer in its trial, and
// is not done while it is.
func TestASuspectReleaseWaits(t *testing.T) {
	const length = 100 * time.Second
	suspect := rollout.Concerns{Suspect: true}
	r := rollout.NewRelease("s", "v2", 1, length).WithNextPhase().WithNextPhase()
	if r.IsNextPhaseDue(91*time.Second, time.Minute, suspect) || !r.IsNextPhaseDue(91*time.Second, time.Minute, rollout.Concerns{}) || !r.IsNextPhaseDue(93*time.Second, time.Minute, suspect) {
		t.Error("a suspect release does not wait for 3 in 100 of its length")
	}
	if r = r.WithNextPhase(); r.IsNextPhaseDue(length, time.Minute, suspect) || !r.IsNextPhaseDue(length, time.Minute, rollout.Concerns{}) {
		t.Error("a suspect release is done")
	}
}

// A release whose answers may be slow got all requests after a trial of some 30, as
// long as it was not near to being found bad, and was done a second later. From then
// on nothing could tell: there was no old release to compare it with.
func TestAReleaseInDoubtStaysInItsTrial(t *testing.T) {
	const length = 20 * time.Second
	doubt := rollout.Concerns{Inconclusive: true}
	r := rollout.NewRelease("s", "v2", 1, length).WithNextPhase().WithNextPhase()
	if r.IsNextPhaseDue(length, time.Minute, doubt) || r.IsNextPhaseDue(149*time.Second, time.Minute, doubt) {
		t.Error("a release in doubt leaves its trial")
	}
	if r.IsNextPhaseDue(10*length, time.Minute, doubt) {
		t.Error("a release in doubt passes when its length is long over")
	}
	if r.IsNextPhaseDue(length, time.Second, rollout.Concerns{}) {
		t.Error("one that has just learnt of the trial ends it before others can tell it of their doubt")
	}
	if !r.IsNextPhaseDue(length, time.Minute, rollout.Concerns{}) {
		t.Error("a release that is late for its doubt does not go on once that is over")
	}
	if r.IsNextPhaseDue(time.Hour, time.Minute, rollout.Concerns{Inconclusive: true, Suspect: true}) {
		t.Error("a release in doubt that is suspect gets all requests")
	}
	if !r.WithNextPhase().IsNextPhaseDue(length, time.Minute, doubt) {
		t.Error("doubt holds a release that can't be compared any more")
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

// A release that nothing is found against stays within the bound until its length
// is over, whatever the service's rate; few requests leave it more of them.
func ExampleRelease_ComputeTrialShare() {
	r := rollout.NewRelease("s", "v2", 1, 14*time.Second)
	b := rollout.ExposureLimit{Fraction: 0.15, Slack: 30}
	for _, rate := range []float64{10, 30, 70, 1000} {
		fmt.Println(rate, r.ComputeTrialShare(b, rate))
	}
	// Output:
	// 10 3000
	// 30 2274
	// 70 1200
	// 1000 451
}
