package faults

import (
	"context"
	"testing"
	"time"

	"fieldvale/standin/kv"
	"fieldvale/standin/world"
)

// Guards against a double bill for a request that is sent again to another instance after
// the first one was killed.
func TestSameRequestIDAfterFirstInstanceDied(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		if _, err := d.sendOne(ctx, "a1", "chat", 1); err != nil {
			t.Fatal(err)
		}
		d.instance("a1").Kill()
		if _, err := d.sendOne(ctx, "b1", "chat", 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(settleTime)
		if n := d.billedRequests(ctx)[customerName(1)]; n != 1 {
			t.Errorf("billed %d times, want 1", n)
		}
	})
}

// Guards against a double bill for a request whose answer was lost in a partitioned data
// centre and that the client then sent to another one.
func TestAnswerLostWhileCutOffIsBilledOnce(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		// The data centre is partitioned after the answer arrived and before its
		// bill record is held; the client retries at another data centre.
		d.onStep = func(d *deployment, step string, p *world.Proc) {
			if step == world.StepBill && p == d.instance("c1").Entry {
				d.onStep = nil
				d.w.Partition("site:dc-c", world.AnyProcess)
				d.w.Partition(world.AnyProcess, "site:dc-c")
			}
		}
		if _, err := d.sendOne(ctx, "c1", "plain", 1); err == nil {
			t.Fatal("got an answer from the partitioned data centre, want an error")
		}
		if _, err := d.sendOne(ctx, "a1", "plain", 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(faultDuration)
		d.w.Heal("site:dc-c", world.AnyProcess)
		d.w.Heal(world.AnyProcess, "site:dc-c")
		time.Sleep(settleTime)
		if n := d.billedRequests(ctx)[customerName(1)]; n != 1 {
			t.Errorf("billed %d times, want 1", n)
		}
	})
}

// Guards against lost or double bills when an instance is killed while the store is down
// and its bills are not flushed.
func TestIncarnationDiesWithUnflushedBills(t *testing.T) {
	withDeployment(t, func(d *deployment, ctx context.Context) {
		d.w.SetStoreFault(kv.Down)
		for n := range 10 {
			if _, err := d.sendOne(ctx, "a1", "chat", n); err != nil {
				t.Fatal(err)
			}
		}
		d.instance("a1").Kill()
		time.Sleep(settleTime)
		d.w.SetStoreFault(kv.NoFault)
		time.Sleep(settleTime)
		for n := range 10 {
			if g := d.billedRequests(ctx)[customerName(n)]; g != 1 {
				t.Errorf("request %d is billed %d times, want 1", n, g)
			}
		}
	})
}
