package faults

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fieldvale/audit"
	"fieldvale/standin/kv"
	"fieldvale/standin/world"
)

type auditEntry = audit.Entry

// steps at which faults are put in, in the order of a request's life and then
// of the system's.
var steps = []string{
	"admission", world.StepDecide, world.StepClaim, world.StepClaimed, world.StepQueue, world.StepDispatch, world.StepFirst, world.StepMid,
	world.StepEnd, world.StepRate, world.StepBill, world.StepFlush, world.StepAccept, world.StepSpread, world.StepSync, "withdraw", "take-over", "leave", "stop", "join",
}

// fault is one kind of trouble.
type fault struct {
	name string
	// apply puts it in; p is the process that was about to take the step.
	apply func(d *day, p *world.Proc)
	// na is why it can't arise at a step; empty if it can.
	na func(step string) string
}

func always(string) string { return "" }

// held is how long a fault lasts: longer than any deadline of a request.
const held = 12 * time.Second

// after undoes something when the fault is over. Instances and data centres
// that it holds are noted: they can't know what others do.
func (d *day) after(name string, undo func()) {
	if strings.Contains(name, "/") || strings.HasPrefix(name, "site:") {
		d.mu.Lock()
		d.touched[name] = time.Now().Add(held)
		d.mu.Unlock()
	}
	go func() {
		time.Sleep(held)
		undo()
	}()
}

// owner is the instance whose process p is, or the first living one.
func (d *day) owner(p *world.Proc) *world.Instance {
	var f *world.Instance
	for _, i := range d.w.Instances() {
		if i.Entry == p || i.Control == p {
			return i
		}
		if f == nil && i.Entry.Alive() {
			f = i
		}
	}
	return f
}

// backend is the backend server that p is, or the first one.
func (d *day) backend(p *world.Proc) *world.Backend {
	for _, b := range d.w.Backends() {
		if b.Proc == p {
			return b
		}
	}
	return d.w.Backend("e1")
}

// replace starts a new instance in the place of one that was lost.
func (d *day) replace(i *world.Instance) {
	if i == d.stop {
		return
	}
	go func() {
		time.Sleep(3 * time.Second)
		d.w.Start(i.ID+"x", i.Site)
		d.w.Publish()
	}()
}

func (d *day) pause(p *world.Proc) {
	p.Pause()
	d.after(p.Name, p.Resume)
}

func (d *day) cut(a, b string, both bool) {
	d.w.Cut(a, b)
	if both {
		d.w.Cut(b, a)
	}
	d.after(a, func() {
		d.w.Mend(a, b)
		d.w.Mend(b, a)
	})
}

func (d *day) defect(f world.Defect, b ...*world.Backend) {
	for _, x := range b {
		x.SetDefect(f)
		d.after("defect of "+x.Proc.Name, func() { x.SetDefect(world.None) })
	}
}

func (d *day) breakStore(f kv.Fault) {
	d.w.BreakStore(f)
	d.after("store", func() { d.w.BreakStore(kv.Sound) })
}

func faultList() []fault {
	return []fault{
		{"kill entry", func(d *day, p *world.Proc) { i := d.owner(p); i.Kill(); d.replace(i) }, always},
		{"kill control", func(d *day, p *world.Proc) {
			i := d.owner(p)
			i.Control.Kill()
			go func() { time.Sleep(3 * time.Second); d.w.RestartControl(i) }()
		}, always},
		{"kill backend", func(d *day, p *world.Proc) { d.backend(p).Proc.Kill(); d.w.Publish() }, always},
		{"pause entry", func(d *day, p *world.Proc) { d.pause(d.owner(p).Entry) }, always},
		{"pause control", func(d *day, p *world.Proc) { d.pause(d.owner(p).Control) }, always},
		{"pause backend", func(d *day, p *world.Proc) { d.pause(d.backend(p).Proc) }, always},
		{"slow backend", func(d *day, p *world.Proc) { d.defect(world.Late, d.backend(p)) }, always},
		{"cut from store", func(d *day, p *world.Proc) { d.cut(d.owner(p).Control.Name, "store", true) }, always},
		{"cut from peers", func(d *day, p *world.Proc) {
			i := d.owner(p)
			for _, o := range d.w.Instances() {
				if o != i {
					d.cut(i.Control.Name, o.Control.Name, true)
					d.cut(i.Entry.Name, o.Control.Name, true)
				}
			}
		}, always},
		{"cut from all", func(d *day, p *world.Proc) {
			i := d.owner(p)
			d.cut(i.Control.Name, "store", true)
			for _, o := range d.w.Instances() {
				if o != i {
					d.cut(i.Control.Name, o.Control.Name, true)
					d.cut(i.Entry.Name, o.Control.Name, true)
				}
			}
		}, always},
		{"cut data centre", func(d *day, p *world.Proc) { d.cut("site:"+d.owner(p).Site, world.Any, true) }, always},
		{"cut one way", func(d *day, p *world.Proc) { d.cut(d.owner(p).Control.Name, world.Any, false) }, always},
		{"store down", func(d *day, _ *world.Proc) { d.breakStore(kv.Down) }, always},
		{"store slow", func(d *day, _ *world.Proc) {
			d.w.SlowStore(1500 * time.Millisecond)
			d.after("store", func() { d.w.SlowStore(0) })
		}, always},
		{"store limited", func(d *day, _ *world.Proc) {
			d.w.LimitStore(true)
			d.after("store", func() { d.w.LimitStore(false) })
		}, always},
		{"store older", func(d *day, _ *world.Proc) {
			s := d.w.Store.Snapshot()
			go func() { time.Sleep(2 * time.Second); d.w.Store.Restore(s) }()
		}, always},
		{"answer lost", func(d *day, _ *world.Proc) { d.breakStore(kv.LostAnswers) }, always},
		{"answers late", func(d *day, _ *world.Proc) { d.defect(world.Late, d.engines()...) }, requestOnly},
		{"answers crossed", func(d *day, p *world.Proc) { d.defect(world.Crossed, d.backend(p)) }, requestOnly},
		{"answers cut", func(d *day, p *world.Proc) { d.defect(world.Truncated, d.backend(p)) }, requestOnly},
		{"server errors", func(d *day, p *world.Proc) { d.defect(world.Broken, d.backend(p)) }, requestOnly},
		{"list out", func(d *day, _ *world.Proc) { d.pause(d.w.ListAt) }, always},
		{"rating out", func(d *day, _ *world.Proc) { d.pause(d.w.RatingAt) }, requestOnly},
		{"load unknown", func(d *day, _ *world.Proc) {
			for _, b := range d.w.Backends() {
				b.SetMute(true)
				d.after("mute", func() { b.SetMute(false) })
			}
		}, always},
		{"version bad", func(d *day, _ *world.Proc) {
			for _, b := range d.engines() {
				b.SetBad(cheap2, true)
			}
		}, always},
		{"no capacity", func(d *day, _ *world.Proc) { d.defect(world.Full, d.engines()...) }, always},
	}
}

// requestOnly faults show in answers to requests.
func requestOnly(step string) string {
	switch step {
	case world.StepAccept, world.StepSpread, world.StepFlush, world.StepSync, "withdraw", "take-over", "leave", "stop", "join":
		return "no answer of a backend server at this step"
	}
	return ""
}

// placed is a fault that is put in when a step is first taken after a time
// of the day.
type placed struct {
	fault fault
	step  string
	after time.Duration
}

func (p placed) String() string {
	return fmt.Sprintf("%s at %s after %s", p.fault.name, p.step, p.after)
}

// play runs a day with the faults put in and returns what broke, and how
// many faults found their step never taken.
func play(t *testing.T, l ...placed) (bad []string, missed int) {
	synctest.Test(t, func(t *testing.T) {
		d := newDay(t)
		missed = run(d, l)
		bad = d.bad
	})
	return bad, missed
}

// run plays the day d with the faults put in.
func run(d *day, l []placed) (missed int) {
	var mu sync.Mutex
	done := make([]bool, len(l))
	d.faulty = func(d *day, step string, p *world.Proc) {
		for n, x := range l {
			mu.Lock()
			now := !done[n] && x.step == step && time.Since(d.started) >= x.after
			done[n] = done[n] || now
			mu.Unlock()
			if now {
				x.fault.apply(d, p)
			}
		}
	}
	d.run(context.Background())
	for _, x := range done {
		if !x {
			missed++
		}
	}
	return missed
}

func TestCalmDay(t *testing.T) {
	bad, _ := play(t)
	for _, b := range bad {
		t.Error(b)
	}
}

// cell is one fault at one step.
type cell struct {
	fault, step string
	result      string
	bad         []string
}

func TestMatrix(t *testing.T) {
	var mu sync.Mutex
	var cells []*cell
	t.Run("cells", func(t *testing.T) {
		for _, f := range faultList() {
			for _, s := range steps {
				c := &cell{fault: f.name, step: s}
				cells = append(cells, c)
				if n := f.na(s); n != "" {
					c.result = "n/a"
					c.bad = []string{n}
					continue
				}
				t.Run(f.name+" at "+s, func(t *testing.T) {
					t.Parallel()
					bad, missed := play(t, placed{fault: f, step: s})
					mu.Lock()
					defer mu.Unlock()
					c.bad = bad
					switch {
					case missed > 0:
						c.result = "notrun"
					case len(bad) > 0:
						c.result = "FAIL"
					default:
						c.result = "pass"
					}
					for _, b := range bad {
						t.Error(b)
					}
				})
			}
		}
	})
	pairs := playPairs(t)
	printTable(cells, pairs)
}

func printTable(cells []*cell, pairs int) {
	by := map[string]map[string]*cell{}
	count := map[string]int{}
	for _, c := range cells {
		if by[c.fault] == nil {
			by[c.fault] = map[string]*cell{}
		}
		by[c.fault][c.step] = c
		count[c.result]++
	}
	var b strings.Builder
	for n, s := range steps {
		fmt.Fprintf(&b, "step %2d  %s\n", n+1, s)
	}
	fmt.Fprintf(&b, "%-16s", "")
	for n := range steps {
		fmt.Fprintf(&b, " %6d", n+1)
	}
	b.WriteByte('\n')
	var why []string
	for _, f := range faultList() {
		fmt.Fprintf(&b, "%-16s", f.name)
		for _, s := range steps {
			c := by[f.name][s]
			fmt.Fprintf(&b, " %6s", c.result)
			switch c.result {
			case "n/a":
				why = append(why, fmt.Sprintf("n/a: %s at %s: %s", c.fault, c.step, c.bad[0]))
			case "notrun":
				why = append(why, fmt.Sprintf("notrun: %s at %s: the step was not taken", c.fault, c.step))
			}
		}
		b.WriteByte('\n')
	}
	sort.Strings(why)
	b.WriteString(strings.Join(why, "\n"))
	n := count["pass"] + count["FAIL"] + count["notrun"]
	fmt.Fprintf(&b, "\nfaults: cells=%d passed=%d failed=%d notrun=%d seeds=%d", n, count["pass"], count["FAIL"], count["notrun"], pairs)
	fmt.Println(b.String())
}
