package faults

import (
	"context"
	"sync"
	"testing"
	"time"

	"fieldvale/config"
	"fieldvale/outcome"
	"fieldvale/standin/kv"
	"fieldvale/standin/world"
)

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
