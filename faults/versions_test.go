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
			scene(t, func(d *day, ctx context.Context) {
				var at time.Time
				done := false
				d.faulty = func(d *day, step string, _ *world.Proc) {
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
					_, _ = d.one(ctx, []string{"a1", "b1", "c1"}[n%3], "chat", n)
				}
				if !done || at.IsZero() {
					t.Fatal("nothing was withdrawn")
				}
				for id, l := range d.runs() {
					for _, r := range l {
						if r.Version != cheap2 && r.At.After(at.Add(2*time.Second)) {
							t.Errorf("%s ran on %s %s after the withdrawal", id, r.Version, r.At.Sub(at))
						}
					}
				}
			})
		})
	}
}

func TestSessionOfAWithdrawnVersionMovesOnce(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		if _, err := d.one(ctx, "a1", "chat", 0); err != nil {
			t.Fatal(err)
		}
		d.must(ctx, withdrawal(cheap1))
		for n := threads; n < 6*threads; n += threads {
			if _, err := d.one(ctx, []string{"a1", "b1", "c1"}[n%3], "chat", n); err != nil {
				t.Errorf("request %d of the session: %v", n, err)
			}
		}
		if l := d.versions["thread0"]; len(l) != 2 || l[1] != cheap2 {
			t.Errorf("the session went through %v, want one move to %s", l, cheap2)
		}
	})
}

func TestBadVersionIsTrippedAndMayBeTriedAgain(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		start := func(id string) {
			r, err := rollout.New(cheap1, cheap2, []int{5000, rollout.FullShare}, time.Now(), time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			d.must(ctx, config.Change{ID: id, Team: "t", Who: "op", Why: "t", Action: audit.StartRoll, Rollout: r})
		}
		state := func() rollout.State {
			r, _ := d.instance("a1").View.Get().Active.Document().Part("t").Rollout("cheap")
			return r.State
		}
		send := func(from, to int) {
			for n := from; n < to; n++ {
				_, _ = d.one(ctx, []string{"a1", "b1", "c1"}[n%3], "chat", n)
			}
			time.Sleep(10 * time.Second)
		}
		for _, b := range d.engines() {
			b.SetBad(cheap2, true)
		}
		start("first try")
		send(0, 40)
		if state() != rollout.Tripped {
			t.Fatalf("the roll-out of a bad version is %s", state())
		}
		for _, b := range d.engines() {
			b.SetBad(cheap2, false)
			world.Load(b, cheap2)
		}
		d.must(ctx, config.Change{ID: "again", Team: "t", Who: "op", Why: "mended", Action: audit.Reinstate, Version: cheap2})
		start("second try")
		d.sessions, d.versions = map[string]string{}, map[string][]version.ID{}
		send(40, 80)
		if state() != rollout.Running {
			t.Fatalf("the roll-out of the mended version is %s", state())
		}
		d.hasRun(cheap2, time.Now().Add(-30*time.Second))
	})
}

// A version that answered every request with a failure took its last step as that fell
// due by time, with so few requests until then that it was not found bad; after it
// nothing judges it.
func TestAVersionNearToBeingFoundBadTakesNoStep(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		r, err := rollout.New(cheap1, cheap2, []int{5000, rollout.FullShare}, time.Now(), 20*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range d.engines() {
			b.SetBad(cheap2, true)
		}
		d.must(ctx, config.Change{ID: "few", Team: "t", Who: "op", Why: "t", Action: audit.StartRoll, Rollout: r})
		now := func() rollout.Rollout {
			r, _ := d.instance("a1").View.Get().Active.Document().Part("t").Rollout("cheap")
			return r
		}
		send := func(from, to int) {
			for n := from; n < to; n++ {
				_, _ = d.one(ctx, []string{"a1", "b1", "c1"}[n%3], "chat", n)
			}
		}
		send(0, 8)
		time.Sleep(30 * time.Second)
		if x := now(); x.State != rollout.Running || x.StepsTaken != 1 {
			t.Errorf("after few answers, all bad, the roll-out is %s and has taken %d steps", x.State, x.StepsTaken)
		}
		for _, b := range d.engines() {
			b.SetBad(cheap2, false)
		}
		send(8, 200)
		time.Sleep(10 * time.Second)
		if x := now(); x.State != rollout.Done {
			t.Errorf("after many good answers the roll-out is %s", x.State)
		}
	})
}

func TestWithdrawnBetweenTwoTries(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		// Every engine refuses; the view of this one instance loses the
		// version between its first try and the second. Its control is down,
		// so that no exchange of views puts the version back meanwhile: the
		// control knows nothing of a trip that only this test makes.
		i := d.instance("a1")
		i.Control.Kill()
		for _, b := range d.engines() {
			b.SetDefect(world.Full)
		}
		tries := 0
		d.faulty = func(d *day, step string, p *world.Proc) {
			if step != world.StepDispatch || p != i.Entry {
				return
			}
			tries++
			v := i.View.Get()
			i.View.Put(entry.NewViewOf(v.Active, v.Replicas, v.Members, []version.ID{cheap1, cheap2}))
		}
		_, err := d.one(ctx, "a1", "chat", 3)
		if err == nil || tries != 1 {
			t.Errorf("tried %d times with %v, want 1 try: the version was stopped after it", tries, err)
		}
	})
}

func TestWithdrawnWithOneInstanceCutOff(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		c := d.instance("c1")
		d.w.Cut(c.Control.Name, "store")
		d.w.Cut("store", c.Control.Name)
		for _, id := range []string{"a1", "b1"} {
			d.w.Cut(c.Control.Name, d.instance(id).Control.Name)
			d.w.Cut(d.instance(id).Control.Name, c.Control.Name)
		}
		d.must(ctx, withdrawal(cheap1))
		time.Sleep(5 * time.Second)
		s, err := d.one(ctx, "c1", "chat", 3)
		for _, r := range d.runs()[s.id] {
			if r.Version == cheap1 {
				t.Errorf("the instance that is cut off got work for %s to %s", r.Version, r.Backend)
			}
		}
		if err != nil && runOf(err) != outcome.NotRun {
			t.Errorf("%v, want an answer or a true refusal", err)
		}
	})
}

func TestSessionAcrossGrowthLossAndRotation(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		for n := range 4 {
			if _, err := d.one(ctx, "a1", "chat", threads*n); err != nil {
				t.Fatal(err)
			}
		}
		r, err := rollout.New(cheap1, cheap2, []int{5000, rollout.FullShare}, time.Now(), 2*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		d.must(ctx, config.Change{ID: "roll", Team: "t", Who: "op", Why: "t", Action: audit.StartRoll, Rollout: r})
		k := session.NewKey()
		d.must(ctx, config.Change{ID: "keys", Who: "op", Why: "t", Action: audit.RotateKeys, Key: k})
		d.instance("a1").Kill()
		time.Sleep(5 * time.Second)
		if _, err := d.one(ctx, "b1", "chat", 5*threads); err != nil {
			t.Fatal(err)
		}
		if l := d.versions["thread0"]; len(l) != 1 || l[0] != cheap1 {
			t.Errorf("the session went through %v, want %v only", l, cheap1)
		}
		if o, err := d.instance("b1").View.Get().Active.Ring().Open(d.sessions["thread0"], time.Now()); err != nil || o.Customer != "" {
			t.Errorf("token after rotation: %v", err)
		}
	})
}

func TestFenceOfBackendServersThatCheckAndThoseThatDoNot(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		d.must(ctx, withdrawal(cheap1))
		time.Sleep(3 * time.Second)
		for _, b := range d.engines() {
			err := world.Order(b, cheap2, 1)
			if b.ChecksFence && err == nil {
				t.Errorf("%s took an order with a fence from before the withdrawal", b.Proc.Name)
			}
			if !b.ChecksFence && err != nil {
				t.Errorf("%s checks no fence and refused: %v", b.Proc.Name, err)
			}
		}
		// An order of long ago that reached an engine which does not check
		// leaves it without a version that is in use: requests go elsewhere.
		if _, err := d.one(ctx, "a1", "chat", 3); err != nil {
			t.Error(err)
		}
	})
}
