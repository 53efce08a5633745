package faults

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/audit"
	"fieldvale/claim"
	"fieldvale/config"
	"fieldvale/entry"
	"fieldvale/outcome"
	"fieldvale/rollout"
	"fieldvale/session"
	"fieldvale/standin/kv"
	"fieldvale/standin/world"
	"fieldvale/version"
)

// scene runs a test against a small system with a policy in force, in which
// nothing happens by itself.
func scene(t *testing.T, f func(d *day, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDay(t)
		d.build()
		defer d.w.Close()
		d.at(1)
		if err := d.change(t.Context(), "a1", acceptChange("first", "first", config.AnyBase)); err != nil {
			t.Fatal(err)
		}
		d.at(4)
		f(d, t.Context())
		for _, b := range d.bad {
			t.Error(b)
		}
	})
}

// one sends one request to the instance.
func (d *day) one(ctx context.Context, id, kind string, n int) (*sent, error) {
	s := &sent{n: n, id: fmt.Sprintf("r%03d", n), kind: kind}
	err := d.try(ctx, world.Client{W: d.w, P: &world.Proc{Name: "client"}}, d.instance(id), s)
	return s, err
}

// patient streams a request of a bronze customer with a minute to its
// deadline.
func (d *day) patient(ctx context.Context, i *world.Instance, n int) (*sent, error) {
	s := &sent{n: n, id: fmt.Sprintf("r%03d", n), kind: "stream"}
	k := &sink{}
	_, err := world.Do(ctx, world.Client{W: d.w, P: &world.Proc{Name: "client"}}, i, func(y context.Context, r *entry.Router, v *entry.View) (bool, error) {
		q, err := d.chatRequest(v, s, "long", "")
		if err != nil {
			return false, err
		}
		q.Deadline = time.Now().Add(time.Minute)
		return true, r.Stream(y, q, k)
	})
	s.whole = world.WholeAnswer(strings.Join(k.text, ""), s.id)
	return s, err
}

func (d *day) must(ctx context.Context, c config.Change) {
	if err := d.change(ctx, "a1", c); err != nil {
		d.t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
}

func withdrawal(v version.ID) config.Change {
	return config.Change{ID: "withdraw " + v.String(), Team: "t", Who: "op", Why: "test", Action: audit.Withdraw, Version: v}
}

func runOf(err error) outcome.Kind {
	var f *entry.Failure
	if errors.As(err, &f) {
		return f.Run
	}
	return outcome.Unknown
}

func (d *day) wantRuns(id string, want int) {
	d.t.Helper()
	if g := len(d.runs()[id]); g != want {
		d.t.Errorf("%s ran %d times, want %d", id, g, want)
	}
}

func TestClaimWrittenAndAnswerLost(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		// The write of the claim takes effect and its answer is lost; the
		// holder reads its own nonce back and sends, once.
		once := true
		d.faulty = func(d *day, step string, _ *world.Proc) {
			if step == world.StepClaim && once {
				once = false
				d.w.BreakStore(kv.LostAnswers)
			}
		}
		if _, err := d.one(ctx, "a1", "once", 1); err != nil {
			t.Errorf("first: %v", err)
		}
		d.w.BreakStore(kv.Sound)
		s, err := d.one(ctx, "b1", "once", 1)
		if err != nil || !s.replayed || !s.whole {
			t.Errorf("second: %v, replayed %t; want the first answer again", err, s.replayed)
		}
		d.wantRuns("r001", 1)
	})
}

func TestHolderPausedBetweenClaimAndSend(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		d.faulty = func(d *day, step string, p *world.Proc) {
			if step == world.StepClaimed {
				d.faulty = nil
				p.Pause()
			}
		}
		a := d.instance("a1")
		go func() { _, _ = d.one(ctx, "a1", "once", 1) }()
		time.Sleep(time.Second)
		_, err := d.one(ctx, "b1", "once", 1)
		if err == nil || runOf(err) == outcome.NotRun {
			t.Errorf("the other instance: %v, want one that says that it may have run", err)
		}
		time.Sleep(claim.Margin / 2)
		a.Entry.Resume()
		time.Sleep(time.Second)
		_, _ = d.one(ctx, "b1", "once", 1)
		time.Sleep(time.Second)
		if n := len(d.runs()["r001"]); n > 1 {
			t.Errorf("ran %d times", n)
		}
	})
}

func TestSameKeyAtTwoInstancesAtOnce(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		for n := range 20 {
			var g sync.WaitGroup
			for _, id := range []string{"a1", "b1", "c1"} {
				g.Go(func() { _, _ = d.one(ctx, id, "once", n) })
			}
			g.Wait()
			d.wantRuns(fmt.Sprintf("r%03d", n), 1)
		}
	})
}

func TestSameRequestIDAfterFirstInstanceDied(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		if _, err := d.one(ctx, "a1", "chat", 1); err != nil {
			t.Fatal(err)
		}
		d.instance("a1").Kill()
		if _, err := d.one(ctx, "b1", "chat", 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(settle)
		if n := d.lines(ctx)[customer(1)]; n != 1 {
			t.Errorf("billed %d times, want 1", n)
		}
	})
}

func TestAnswerLostWhileCutOffIsBilledOnce(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		// The data centre is cut off when the answer has come and its bill is
		// about to be held; the caller asks elsewhere.
		d.faulty = func(d *day, step string, p *world.Proc) {
			if step == world.StepBill && p == d.instance("c1").Entry {
				d.faulty = nil
				d.w.Cut("site:dc-c", world.Any)
				d.w.Cut(world.Any, "site:dc-c")
			}
		}
		if _, err := d.one(ctx, "c1", "plain", 1); err == nil {
			t.Fatal("the answer was not lost")
		}
		if _, err := d.one(ctx, "a1", "plain", 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(held)
		d.w.Mend("site:dc-c", world.Any)
		d.w.Mend(world.Any, "site:dc-c")
		time.Sleep(settle)
		if n := d.lines(ctx)[customer(1)]; n != 1 {
			t.Errorf("billed %d times, want 1", n)
		}
	})
}

func TestIncarnationDiesWithUnflushedBills(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		d.w.BreakStore(kv.Down)
		for n := range 10 {
			if _, err := d.one(ctx, "a1", "chat", n); err != nil {
				t.Fatal(err)
			}
		}
		d.instance("a1").Kill()
		time.Sleep(settle)
		d.w.BreakStore(kv.Sound)
		time.Sleep(settle)
		for n := range 10 {
			if g := d.lines(ctx)[customer(n)]; g != 1 {
				t.Errorf("request %d is billed %d times, want 1", n, g)
			}
		}
	})
}

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
			r, err := rollout.New(cheap1, cheap2, []int{5000, rollout.Whole}, time.Now(), time.Hour)
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

// hasRun checks that the version got work after the given time.
func (d *day) hasRun(v version.ID, after time.Time) {
	d.t.Helper()
	for _, l := range d.runs() {
		for _, r := range l {
			if r.Version == v && r.At.After(after) {
				return
			}
		}
	}
	d.t.Errorf("%s got no work", v)
}

func TestWithdrawnBetweenTwoTries(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		// Every engine refuses; the view of this one instance loses the
		// version between its first try and the second.
		i := d.instance("a1")
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
			i.View.Put(entry.NewView(v.Active, v.Replicas, v.Members, []version.ID{cheap1, cheap2}))
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
		r, err := rollout.New(cheap1, cheap2, []int{5000, rollout.Whole}, time.Now(), 2*time.Second)
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

func TestStoreRestoredOlder(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		old := d.w.Store.Snapshot()
		d.must(ctx, withdrawal(cheap1))
		told := false
		d.w.Log = func(_, e string, _ ...any) { told = told || e == "store_older" }
		d.w.Store.Restore(old)
		time.Sleep(10 * time.Second)
		for _, i := range d.w.Instances() {
			if r := i.View.Get().Active.Revision(); r != d.revision {
				t.Errorf("%s has revision %d, want %d", i.ID, r, d.revision)
			}
		}
		if !told {
			t.Error("no event told of the older store")
		}
		d.must(ctx, acceptChange("after", "after", config.AnyBase))
		if r := d.instance("c1").View.Get().Active.Revision(); r <= 2 {
			t.Errorf("a change after the restore has revision %d, which instances ignore", r)
		}
	})
}

func TestStartWhileStoreIsOut(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		d.w.BreakStore(kv.Down)
		d.w.Start("d1", "dc-a")
		d.w.Publish()
		time.Sleep(8 * time.Second)
		if _, err := d.one(ctx, "d1", "chat", 1); err != nil {
			t.Errorf("the new instance: %v", err)
		}
		n := d.instance("d1").Node
		said := false
		for _, h := range n.Instances() {
			for _, a := range h.Alarms {
				said = said || h.ID == "d1" && len(a) > 0
			}
		}
		if !said {
			t.Error("the new instance does not say that its configuration came from peers")
		}
	})
}

func TestServesThroughHoursWithoutStoreAndJoinsAgain(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		d.w.BreakStore(kv.Down)
		for n := range 12 {
			time.Sleep(10 * time.Minute)
			if _, err := d.one(ctx, []string{"a1", "b1", "c1"}[n%3], "chat", n); err != nil {
				t.Errorf("after %d minutes: %v", 10*n+10, err)
			}
			if _, err := d.one(ctx, "a1", "once", n); err == nil || runOf(err) != outcome.NotRun {
				t.Errorf("a request that may not be repeated: %v, want a refusal", err)
			}
		}
		d.w.BreakStore(kv.Sound)
		d.must(ctx, withdrawal(cheap1))
		time.Sleep(spreadBy)
		for _, i := range d.w.Instances() {
			if r := i.View.Get().Active.Revision(); r != d.revision {
				t.Errorf("%s has revision %d, want %d", i.ID, r, d.revision)
			}
		}
		for n := range 12 {
			if g := d.lines(ctx)[customer(n)]; g != 1 {
				t.Errorf("request %d is billed %d times", n, g)
			}
		}
	})
}

func TestStopWithLongStreamRunning(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		for _, b := range d.engines() {
			b.SetDefect(world.Slow)
		}
		i := d.instance("a1")
		var err error
		var s *sent
		var g sync.WaitGroup
		g.Go(func() { s, err = d.patient(ctx, i, 3) })
		time.Sleep(2 * time.Second)
		begin := time.Now()
		i.Stop(ctx)
		g.Wait()
		if err != nil || !s.whole {
			t.Errorf("the stream was cut off: %v", err)
		}
		if took := time.Since(begin); took < 20*time.Second {
			t.Errorf("the stop took %s, the stream was to run for half a minute", took)
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

func TestChangeWrittenAndAnswerLost(t *testing.T) {
	scene(t, func(d *day, ctx context.Context) {
		d.w.BreakStore(kv.LostAnswers)
		c := withdrawal(cheap1)
		n := d.instance("a1").Node
		r, err := n.Change(ctx, c)
		if err != nil || !r.Repeated {
			t.Errorf("change: %+v, %v; want it found to be made", r, err)
		}
		d.w.BreakStore(kv.Sound)
		again, err := n.Change(ctx, c)
		if err != nil || again.Revision != r.Revision {
			t.Errorf("repeated: %+v, %v; want revision %d", again, err, r.Revision)
		}
		l, err := n.Audit(ctx, "t", 0)
		if err != nil || len(l) != 2 {
			t.Errorf("trail has %d entries, want 2: %v", len(l), err)
		}
	})
}
