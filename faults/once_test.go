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

// Guards against a request that never runs or runs twice when the store writes its claim
// but the response is lost.
func TestClaimWrittenAndResponseLost(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		// The claim is written and the response is lost. The instance reads the claim
		// back, recognises its own nonce and sends the request, once.
		firstClaim := true
		d.onStep = func(d *deployment, step string, _ *world.Proc) {
			if step == world.StepClaim && firstClaim {
				firstClaim = false
				d.w.SetStoreFault(kv.LostResponses)
			}
		}
		if _, err := d.sendOne(ctx, "a1", "once", 1); err != nil {
			t.Errorf("first request: got %v, want an answer", err)
		}
		d.w.SetStoreFault(kv.NoFault)
		s, err := d.sendOne(ctx, "b1", "once", 1)
		if err != nil || !s.replayed || !s.complete {
			t.Errorf("second request: got %v, replayed %t; want the first answer replayed", err, s.replayed)
		}
		d.checkRunCount("r001", 1)
	})
}

// Guards against a request that runs twice: an instance is paused between its claim and
// the dispatch, another instance gets the same request, and the first one resumes.
func TestHolderPausedBetweenClaimAndSend(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		d.onStep = func(d *deployment, step string, p *world.Proc) {
			if step == world.StepClaimed {
				d.onStep = nil
				p.Pause()
			}
		}
		a := d.instance("a1")
		go func() { _, _ = d.sendOne(ctx, "a1", "once", 1) }()
		time.Sleep(time.Second)
		_, err := d.sendOne(ctx, "b1", "once", 1)
		if err == nil || outcomeOf(err) == outcome.NotRun {
			t.Errorf("request to the other instance: got %v, want an error whose outcome is not NotRun", err)
		}
		time.Sleep(claim.RetentionMargin / 2)
		a.Entry.Resume()
		time.Sleep(time.Second)
		_, _ = d.sendOne(ctx, "b1", "once", 1)
		time.Sleep(time.Second)
		if n := len(d.runs()["r001"]); n > 1 {
			t.Errorf("r001 ran %d times, want at most 1", n)
		}
	})
}

// Guards against concurrent requests with the same idempotency key that run more than
// once or not at all, at all three instances.
func TestSameKeyAtTwoInstancesAtOnce(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		for n := range 20 {
			var g sync.WaitGroup
			for _, id := range []string{"a1", "b1", "c1"} {
				g.Go(func() { _, _ = d.sendOne(ctx, id, "once", n) })
			}
			g.Wait()
			d.checkRunCount(fmt.Sprintf("r%03d", n), 1)
		}
	})
}
