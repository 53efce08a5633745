package faults

import (
	"context"
	"testing"
	"time"

	"fieldvale/standin/kv"
	"fieldvale/standin/world"
)

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
