package faults

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"fieldvale/claim"
	"fieldvale/outcome"
	"fieldvale/standin/kv"
	"fieldvale/standin/world"
)

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
