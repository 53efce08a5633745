package faults

import (
	"context"
	"testing"
	"time"

	"fieldvale/audit"
	"fieldvale/config"
	"fieldvale/entry"
	"fieldvale/outcome"
	"fieldvale/rollout"
	"fieldvale/session"
	"fieldvale/standin/world"
	"fieldvale/version"
)

// Guards against a request that runs on a withdrawn version because the version was
// checked only at the start: the withdrawal takes effect at a later step of the request.
func TestWithdrawnAtEachPointOfARequest(t *testing.T) {
	for _, c := range []struct {
		name, step string
	}{
		{"before dispatch", world.StepDecide},
		{"at dispatch", world.StepDispatch},
		{"while queued", world.StepQueue},
		{"at the cascade's second step", world.StepRate},
	} {
		t.Run(c.name, func(t *testing.T) {
			withDeployment(t, func(d *deployment, ctx context.Context) {
				var at time.Time
				done := false
				d.onStep = func(d *deployment, step string, _ *world.Proc) {
					if step != c.step || done {
						return
					}
					done = true
					go func() {
						_ = d.change(ctx, "a1", withdrawal(large1))
						_ = d.change(ctx, "a1", withdrawal(cheap1))
						at = time.Now()
					}()
					time.Sleep(3 * time.Second)
				}
				for n := range 12 {
					_, _ = d.sendOne(ctx, []string{"a1", "b1", "c1"}[n%3], "chat", n)
				}
				if !done || at.IsZero() {
					t.Fatal("got no withdrawal during the requests, want two")
				}
				for id, l := range d.runs() {
					for _, r := range l {
						if r.Version != cheap2 && r.At.After(at.Add(2*time.Second)) {
							t.Errorf("%s ran on %s, %s after its withdrawal", id, r.Version, r.At.Sub(at))
						}
					}
				}
			})
		})
	}
}

// Guards against a session that changes its version more than once, or keeps a withdrawn
// one, when its requests reach different instances.
func TestSessionOfAWithdrawnVersionMovesOnce(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		if _, err := d.sendOne(ctx, "a1", "chat", 0); err != nil {
			t.Fatal(err)
		}
		d.mustChange(ctx, withdrawal(cheap1))
		for n := threadCount; n < 6*threadCount; n += threadCount {
			if _, err := d.sendOne(ctx, []string{"a1", "b1", "c1"}[n%3], "chat", n); err != nil {
				t.Errorf("request %d of the session: %v", n, err)
			}
		}
		if l := d.sessionVersions["thread0"]; len(l) != 2 || l[1] != cheap2 {
			t.Errorf("the session used the versions %v, want one change to %s", l, cheap2)
		}
	})
}

// Guards against a roll-out that continues with a bad version, and against a version that
// stays tripped after an operator reinstated it.
func TestBadVersionIsTrippedAndCanBeReinstated(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		start := func(id string) {
			r, err := rollout.New(cheap1, cheap2, []int{5000, rollout.FullShare}, time.Now(), time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			d.mustChange(ctx, config.Change{ID: id, Team: "t", Who: "op", Why: "t", Action: audit.StartRollout, Rollout: r})
		}
		state := func() rollout.State {
			r, _ := d.instance("a1").View.Get().Active.Document().Part("t").Rollout("cheap")
			return r.State
		}
		send := func(from, to int) {
			for n := from; n < to; n++ {
				_, _ = d.sendOne(ctx, []string{"a1", "b1", "c1"}[n%3], "chat", n)
			}
			time.Sleep(10 * time.Second)
		}
		for _, b := range d.engines() {
			b.SetBad(cheap2, true)
		}
		start("first try")
		send(0, 40)
		if state() != rollout.Tripped {
			t.Fatalf("the roll-out of a bad version is %s, want %s", state(), rollout.Tripped)
		}
		for _, b := range d.engines() {
			b.SetBad(cheap2, false)
			world.LoadVersion(b, cheap2)
		}
		d.mustChange(ctx, config.Change{ID: "again", Team: "t", Who: "op", Why: "repaired", Action: audit.Reinstate, Version: cheap2})
		start("second try")
		d.sessionTokens, d.sessionVersions = map[string]string{}, map[string][]version.ID{}
		send(40, 80)
		if state() != rollout.Running {
			t.Fatalf("the roll-out of the repaired version is %s, want %s", state(), rollout.Running)
		}
		d.checkRanAfter(cheap2, time.Now().Add(-30*time.Second))
	})
}

// Guards against a roll-out that takes its last step because the time of the step has
// come, while the version fails every request but has had too few requests to be tripped.
// After the last step the version is no longer evaluated.
func TestFailingVersionWithFewRequestsTakesNoStep(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		r, err := rollout.New(cheap1, cheap2, []int{5000, rollout.FullShare}, time.Now(), 20*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range d.engines() {
			b.SetBad(cheap2, true)
		}
		d.mustChange(ctx, config.Change{ID: "few", Team: "t", Who: "op", Why: "t", Action: audit.StartRollout, Rollout: r})
		now := func() rollout.Rollout {
			r, _ := d.instance("a1").View.Get().Active.Document().Part("t").Rollout("cheap")
			return r
		}
		send := func(from, to int) {
			for n := from; n < to; n++ {
				_, _ = d.sendOne(ctx, []string{"a1", "b1", "c1"}[n%3], "chat", n)
			}
		}
		send(0, 8)
		time.Sleep(30 * time.Second)
		if x := now(); x.State != rollout.Running || x.StepsTaken != 1 {
			t.Errorf("after few answers, all bad, the roll-out is %s and has taken %d steps, want %s and 1", x.State, x.StepsTaken, rollout.Running)
		}
		for _, b := range d.engines() {
			b.SetBad(cheap2, false)
		}
		send(8, 200)
		time.Sleep(10 * time.Second)
		if x := now(); x.State != rollout.Done {
			t.Errorf("after many good answers the roll-out is %s, want %s", x.State, rollout.Done)
		}
	})
}

// Guards against a retry on a version that was tripped after the first attempt.
func TestWithdrawnBetweenTwoTries(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		// Every engine rejects the request. Between the first attempt and the second,
		// the test marks the versions as tripped in the view of this instance alone.
		// The control process is killed, since its next sync would replace the view
		// by one without the trip.
		i := d.instance("a1")
		i.Control.Kill()
		for _, b := range d.engines() {
			b.SetDefect(world.NoCapacity)
		}
		attempts := 0
		d.onStep = func(d *deployment, step string, p *world.Proc) {
			if step != world.StepDispatch || p != i.Entry {
				return
			}
			attempts++
			v := i.View.Get()
			i.View.Put(entry.NewViewOf(v.Active, v.Replicas, v.Members, []version.ID{cheap1, cheap2}))
		}
		_, err := d.sendOne(ctx, "a1", "chat", 3)
		if err == nil || attempts != 1 {
			t.Errorf("got %d attempts and error %v, want an error after 1 attempt, since the version was then tripped", attempts, err)
		}
	})
}

// Guards against an instance that still sends requests to a withdrawn version while it is
// partitioned from the store and its peers. The engines no longer have the version, since
// the other instances ordered them to unload it.
func TestWithdrawnWithOneInstanceCutOff(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		c := d.instance("c1")
		d.w.Partition(c.Control.Name, "store")
		d.w.Partition("store", c.Control.Name)
		for _, id := range []string{"a1", "b1"} {
			d.w.Partition(c.Control.Name, d.instance(id).Control.Name)
			d.w.Partition(d.instance(id).Control.Name, c.Control.Name)
		}
		d.mustChange(ctx, withdrawal(cheap1))
		time.Sleep(5 * time.Second)
		s, err := d.sendOne(ctx, "c1", "chat", 3)
		for _, r := range d.runs()[s.id] {
			if r.Version == cheap1 {
				t.Errorf("a request through the partitioned instance ran on withdrawn %s on %s", r.Version, r.Backend)
			}
		}
		if err != nil && outcomeOf(err) != outcome.NotRun {
			t.Errorf("got %v, want an answer or a rejection with outcome NotRun", err)
		}
	})
}

// Guards against a session that loses its pinned version or whose token is rejected during
// a roll-out, a rotation of the session keys and the loss of an instance.
func TestSessionAcrossGrowthLossAndRotation(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		for n := range 4 {
			if _, err := d.sendOne(ctx, "a1", "chat", threadCount*n); err != nil {
				t.Fatal(err)
			}
		}
		r, err := rollout.New(cheap1, cheap2, []int{5000, rollout.FullShare}, time.Now(), 2*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		d.mustChange(ctx, config.Change{ID: "roll", Team: "t", Who: "op", Why: "t", Action: audit.StartRollout, Rollout: r})
		k := session.NewKey()
		d.mustChange(ctx, config.Change{ID: "keys", Who: "op", Why: "t", Action: audit.RotateKeys, Key: k})
		d.instance("a1").Kill()
		time.Sleep(5 * time.Second)
		if _, err := d.sendOne(ctx, "b1", "chat", 5*threadCount); err != nil {
			t.Fatal(err)
		}
		if l := d.sessionVersions["thread0"]; len(l) != 1 || l[0] != cheap1 {
			t.Errorf("the session used the versions %v, want only %v", l, cheap1)
		}
		if o, err := d.instance("b1").View.Get().Active.SessionKeys().Verify(d.sessionTokens["thread0"], time.Now()); err != nil || o.Customer != "" {
			t.Errorf("token after the rotation: got %+v, %v; want a session without a customer", o, err)
		}
	})
}

// Guards against an outdated order that unloads a version in use: engines that check
// fencing tokens reject it, and requests avoid the engines that accept it.
func TestOutdatedUnloadOrderWithAndWithoutTokenCheck(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		d.mustChange(ctx, withdrawal(cheap1))
		time.Sleep(3 * time.Second)
		for _, b := range d.engines() {
			err := world.OrderUnload(b, cheap2, 1)
			if b.ChecksFencingToken && err == nil {
				t.Errorf("%s accepted an order with a fencing token from before the withdrawal", b.Proc.Name)
			}
			if !b.ChecksFencingToken && err != nil {
				t.Errorf("%s does not check fencing tokens but rejected the order: %v", b.Proc.Name, err)
			}
		}
		// An outdated order leaves an engine that does not check fencing tokens
		// without a version that is in use: requests must go to other engines.
		if _, err := d.sendOne(ctx, "a1", "chat", 3); err != nil {
			t.Error(err)
		}
	})
}
