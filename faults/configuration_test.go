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

// Guards against instances that go back to an old configuration, or ignore later
// changes, when the store is restored from a backup with a lower revision.
func TestStoreRestoredOlder(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		old := d.w.Store.Snapshot()
		d.mustChange(ctx, withdrawal(cheap1))
		reported := false
		d.w.Log = func(_, e string, _ ...any) { reported = reported || e == "store_older" }
		d.w.Store.Restore(old)
		time.Sleep(10 * time.Second)
		for _, i := range d.w.Instances() {
			if r := i.View.Get().Active.Revision(); r != d.revision {
				t.Errorf("%s has revision %d, want %d", i.ID, r, d.revision)
			}
		}
		if !reported {
			t.Error("got no store_older event after the restore, want one")
		}
		d.mustChange(ctx, acceptChange("after", "after", config.AnyBase))
		if r := d.instance("c1").View.Get().Active.Revision(); r <= 2 {
			t.Errorf("after a change that follows the restore, revision is %d, want more than 2", r)
		}
	})
}

// Guards against an instance that cannot start while the store is down: it gets its
// configuration from peers and reports that by an alarm.
func TestStartWhileStoreIsOut(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		d.w.SetStoreFault(kv.Down)
		d.w.Start("d1", "dc-a")
		d.w.PublishList()
		time.Sleep(8 * time.Second)
		if _, err := d.sendOne(ctx, "d1", "chat", 1); err != nil {
			t.Errorf("request to the new instance: got %v, want an answer", err)
		}
		n := d.instance("d1").Node
		alarmed := false
		for _, h := range n.Instances() {
			for _, a := range h.Alarms {
				alarmed = alarmed || h.ID == "d1" && len(a) > 0
			}
		}
		if !alarmed {
			t.Error("the new instance has no alarm, want one since its configuration came from peers")
		}
	})
}

// Guards against instances that stop answering during a long outage of the store, run
// a non-idempotent request without a claim, or lose bills and later changes once the store
// is reachable again.
func TestServesDuringLongStoreOutageAndRecovers(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		d.w.SetStoreFault(kv.Down)
		for n := range 12 {
			time.Sleep(10 * time.Minute)
			if _, err := d.sendOne(ctx, []string{"a1", "b1", "c1"}[n%3], "chat", n); err != nil {
				t.Errorf("request after %d minutes without the store: got %v, want an answer", 10*n+10, err)
			}
			if _, err := d.sendOne(ctx, "a1", "once", n); err == nil || outcomeOf(err) != outcome.NotRun {
				t.Errorf("non-idempotent request: got %v, want a rejection with outcome NotRun", err)
			}
		}
		d.w.SetStoreFault(kv.NoFault)
		d.mustChange(ctx, withdrawal(cheap1))
		time.Sleep(configPropagation)
		for _, i := range d.w.Instances() {
			if r := i.View.Get().Active.Revision(); r != d.revision {
				t.Errorf("%s has revision %d, want %d", i.ID, r, d.revision)
			}
		}
		for n := range 12 {
			if g := d.billedRequests(ctx)[customerName(n)]; g != 1 {
				t.Errorf("request %d is billed %d times, want 1", n, g)
			}
		}
	})
}

// Guards against a graceful stop that cuts off a stream in progress.
func TestStopWithLongStreamRunning(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		for _, b := range d.engines() {
			b.SetDefect(world.SlowAnswers)
		}
		i := d.instance("a1")
		var err error
		var s *clientRequest
		var g sync.WaitGroup
		g.Go(func() { s, err = d.streamWithLongDeadline(ctx, i, 3) })
		time.Sleep(2 * time.Second)
		begin := time.Now()
		i.Stop(ctx)
		g.Wait()
		if err != nil || !s.complete {
			t.Errorf("stream during the stop: got %v, complete %t; want a complete answer", err, s.complete)
		}
		if took := time.Since(begin); took < 20*time.Second {
			t.Errorf("the stop took %s, want at least 20s since the stream runs for half a minute", took)
		}
	})
}

// Guards against a change that is reported as failed or made twice when the store applies
// its write but the response is lost.
func TestChangeWrittenAndAnswerLost(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		d.w.SetStoreFault(kv.LostResponses)
		c := withdrawal(cheap1)
		n := d.instance("a1").Node
		r, err := n.Change(ctx, c)
		if err != nil || !r.AlreadyApplied {
			t.Errorf("change: got %+v, %v; want Repeated, since the write took effect", r, err)
		}
		d.w.SetStoreFault(kv.NoFault)
		again, err := n.Change(ctx, c)
		if err != nil || again.Revision != r.Revision {
			t.Errorf("retried change: got %+v, %v; want revision %d", again, err, r.Revision)
		}
		l, err := n.Audit(ctx, "t", 0)
		if err != nil || len(l) != 2 {
			t.Errorf("audit trail has %d entries, want 2: %v", len(l), err)
		}
	})
}
