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

// steps lists the steps at which faults are injected: first those of a request, in
// the order in which it takes them, then those of the system.
var steps = []string{
	"admission", world.StepDecide, world.StepClaim, world.StepClaimed, world.StepQueue, world.StepDispatch, world.StepFirstChunk, world.StepMidStream,
	world.StepAnswerDone, world.StepRate, world.StepBill, world.StepFlushBills, world.StepWriteConfig, world.StepFetchDocument, world.StepSync, "withdraw", "take-over", "leave", "stop", "join",
}

// faultKind is one kind of fault.
type faultKind struct {
	name string
	// apply injects the fault; p is the process that is about to take the step.
	apply func(d *deployment, p *world.Proc)
	// notApplicable returns the reason why the fault has no effect at a step, or
	// "" if it has one.
	notApplicable func(step string) string
}

// applicable is the notApplicable function of faults that have an effect at all steps.
func applicable(string) string { return "" }

// faultDuration is the duration of a fault. It exceeds the deadline of any request.
const faultDuration = 12 * time.Second

// undoLater calls undo at the end of the fault. If name is a process of an instance or a
// data centre, it records the end in isolatedUntil, since the isolated instances do not
// receive updates until then.
func (d *deployment) undoLater(name string, undo func()) {
	if strings.Contains(name, "/") || strings.HasPrefix(name, "site:") {
		d.mu.Lock()
		d.isolatedUntil[name] = time.Now().Add(faultDuration)
		d.mu.Unlock()
	}
	go func() {
		time.Sleep(faultDuration)
		undo()
	}()
}

// instanceOf returns the instance that process p belongs to, or the first one whose
// entry runs if p belongs to none.
func (d *deployment) instanceOf(p *world.Proc) *world.Instance {
	var firstRunning *world.Instance
	for _, i := range d.w.Instances() {
		if i.Entry == p || i.Control == p {
			return i
		}
		if firstRunning == nil && i.Entry.Alive() {
			firstRunning = i
		}
	}
	return firstRunning
}

// backendOf returns the backend server whose process is p, or the first one if p is no
// backend server.
func (d *deployment) backendOf(p *world.Proc) *world.Backend {
	for _, b := range d.w.Backends() {
		if b.Proc == p {
			return b
		}
	}
	return d.w.Backend("e1")
}

// replace starts a new instance 3 seconds after instance i was killed, unless i was
// stopped by the script.
func (d *deployment) replace(i *world.Instance) {
	if i == d.stopped {
		return
	}
	go func() {
		time.Sleep(3 * time.Second)
		d.w.Start(i.ID+"x", i.DataCentre)
		d.w.PublishList()
	}()
}

// pauseProcess pauses a process for the duration of a fault.
func (d *deployment) pauseProcess(p *world.Proc) {
	p.Pause()
	d.undoLater(p.Name, p.Resume)
}

// partition drops the messages from a to b, and from b to a if both is set, for the
// duration of a fault.
func (d *deployment) partition(a, b string, both bool) {
	d.w.Partition(a, b)
	if both {
		d.w.Partition(b, a)
	}
	d.undoLater(a, func() {
		d.w.Heal(a, b)
		d.w.Heal(b, a)
	})
}

// setDefect sets a defect of backend servers for the duration of a fault.
func (d *deployment) setDefect(f world.Defect, b ...*world.Backend) {
	for _, x := range b {
		x.SetDefect(f)
		d.undoLater("defect of "+x.Proc.Name, func() { x.SetDefect(world.NoDefect) })
	}
}

// setStoreFault sets a fault of the store for the duration of a fault.
func (d *deployment) setStoreFault(f kv.Fault) {
	d.w.SetStoreFault(f)
	d.undoLater("store", func() { d.w.SetStoreFault(kv.NoFault) })
}

// faultList returns all kinds of faults.
func faultList() []faultKind {
	return []faultKind{
		{"kill entry", func(d *deployment, p *world.Proc) { i := d.instanceOf(p); i.Kill(); d.replace(i) }, applicable},
		{"kill control", func(d *deployment, p *world.Proc) {
			i := d.instanceOf(p)
			i.Control.Kill()
			go func() { time.Sleep(3 * time.Second); d.w.RestartControl(i) }()
		}, applicable},
		{"kill backend", func(d *deployment, p *world.Proc) { d.backendOf(p).Proc.Kill(); d.w.PublishList() }, applicable},
		{"pause entry", func(d *deployment, p *world.Proc) { d.pauseProcess(d.instanceOf(p).Entry) }, applicable},
		{"pause control", func(d *deployment, p *world.Proc) { d.pauseProcess(d.instanceOf(p).Control) }, applicable},
		{"pause backend", func(d *deployment, p *world.Proc) { d.pauseProcess(d.backendOf(p).Proc) }, applicable},
		{"slow backend", func(d *deployment, p *world.Proc) { d.setDefect(world.LateAnswers, d.backendOf(p)) }, applicable},
		{"cut from store", func(d *deployment, p *world.Proc) { d.partition(d.instanceOf(p).Control.Name, "store", true) }, applicable},
		{"cut from peers", func(d *deployment, p *world.Proc) {
			i := d.instanceOf(p)
			for _, o := range d.w.Instances() {
				if o != i {
					d.partition(i.Control.Name, o.Control.Name, true)
					d.partition(i.Entry.Name, o.Control.Name, true)
				}
			}
		}, applicable},
		{"cut from all", func(d *deployment, p *world.Proc) {
			i := d.instanceOf(p)
			d.partition(i.Control.Name, "store", true)
			for _, o := range d.w.Instances() {
				if o != i {
					d.partition(i.Control.Name, o.Control.Name, true)
					d.partition(i.Entry.Name, o.Control.Name, true)
				}
			}
		}, applicable},
		{"cut data centre", func(d *deployment, p *world.Proc) {
			d.partition("site:"+d.instanceOf(p).DataCentre, world.AnyProcess, true)
		}, applicable},
		{"cut one way", func(d *deployment, p *world.Proc) { d.partition(d.instanceOf(p).Control.Name, world.AnyProcess, false) }, applicable},
		{"store down", func(d *deployment, _ *world.Proc) { d.setStoreFault(kv.Down) }, applicable},
		{"store slow", func(d *deployment, _ *world.Proc) {
			d.w.SetStoreDelay(1500 * time.Millisecond)
			d.undoLater("store", func() { d.w.SetStoreDelay(0) })
		}, applicable},
		{"store limited", func(d *deployment, _ *world.Proc) {
			d.w.SetStoreLimited(true)
			d.undoLater("store", func() { d.w.SetStoreLimited(false) })
		}, applicable},
		{"store older", func(d *deployment, _ *world.Proc) {
			s := d.w.Store.Snapshot()
			go func() { time.Sleep(2 * time.Second); d.w.Store.Restore(s) }()
		}, applicable},
		{"answer lost", func(d *deployment, _ *world.Proc) { d.setStoreFault(kv.LostResponses) }, applicable},
		{"answers late", func(d *deployment, _ *world.Proc) { d.setDefect(world.LateAnswers, d.engines()...) }, requestStepsOnly},
		{"answers crossed", func(d *deployment, p *world.Proc) { d.setDefect(world.CrossedAnswers, d.backendOf(p)) }, requestStepsOnly},
		{"answers cut", func(d *deployment, p *world.Proc) { d.setDefect(world.TruncatedAnswers, d.backendOf(p)) }, requestStepsOnly},
		{"server errors", func(d *deployment, p *world.Proc) { d.setDefect(world.ServerErrors, d.backendOf(p)) }, requestStepsOnly},
		{"list out", func(d *deployment, _ *world.Proc) { d.pauseProcess(d.w.ListProc) }, applicable},
		{"rating out", func(d *deployment, _ *world.Proc) { d.pauseProcess(d.w.RatingProc) }, requestStepsOnly},
		{"load unknown", func(d *deployment, _ *world.Proc) {
			for _, b := range d.w.Backends() {
				b.SetReportsDisabled(true)
				d.undoLater("load reports", func() { b.SetReportsDisabled(false) })
			}
		}, applicable},
		{"version bad", func(d *deployment, _ *world.Proc) {
			for _, b := range d.engines() {
				b.SetBad(cheap2, true)
			}
		}, applicable},
		{"no capacity", func(d *deployment, _ *world.Proc) { d.setDefect(world.NoCapacity, d.engines()...) }, applicable},
	}
}

// requestStepsOnly is the notApplicable function of faults that show in the responses to
// requests alone.
func requestStepsOnly(step string) string {
	switch step {
	case world.StepWriteConfig, world.StepFetchDocument, world.StepFlushBills, world.StepSync, "withdraw", "take-over", "leave", "stop", "join":
		return "no answer of a backend server at this step"
	}
	return ""
}

// injection is a fault that is injected when its step is first taken after a time since
// the start of the deployment.
type injection struct {
	fault faultKind
	step  string
	after time.Duration
}

func (p injection) String() string {
	return fmt.Sprintf("%s at %s after %s", p.fault.name, p.step, p.after)
}

// runWithFaults runs the script of a new deployment with the injections. It returns the
// violations and the number of injections whose step was not taken.
func runWithFaults(t *testing.T, l ...injection) (violations []string, missed int) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		missed = runInjected(d, l)
		violations = d.violations
	})
	return violations, missed
}

// runInjected runs the script of d with the injections and returns the number of those
// whose step was not taken.
func runInjected(d *deployment, l []injection) (missed int) {
	var mu sync.Mutex
	done := make([]bool, len(l))
	d.onStep = func(d *deployment, step string, p *world.Proc) {
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
	d.runScript(context.Background())
	for _, x := range done {
		if !x {
			missed++
		}
	}
	return missed
}

// TestCalmDay runs the script without faults: a violation is then a fault of the system
// in normal operation or of the test itself.
func TestCalmDay(t *testing.T) {
	violations, _ := runWithFaults(t)
	for _, b := range violations {
		t.Error(b)
	}
}

// cell is the result of one fault at one step.
// The violations of a cell that is not applicable hold the reason.
type cell struct {
	fault, step string
	// result is pass, FAIL, n/a or notrun.
	result     string
	violations []string
}

// TestMatrix injects each fault at each step and random sets of faults. It guards against
// code that handles a fault at some steps only, and prints the results as a table.
func TestMatrix(t *testing.T) {
	var mu sync.Mutex
	var cells []*cell
	t.Run("cells", func(t *testing.T) {
		for _, f := range faultList() {
			for _, s := range steps {
				c := &cell{fault: f.name, step: s}
				cells = append(cells, c)
				if n := f.notApplicable(s); n != "" {
					c.result = "n/a"
					c.violations = []string{n}
					continue
				}
				t.Run(f.name+" at "+s, func(t *testing.T) {
					t.Parallel()
					violations, missed := runWithFaults(t, injection{fault: f, step: s})
					mu.Lock()
					defer mu.Unlock()
					c.violations = violations
					switch {
					case missed > 0:
						c.result = "notrun"
					case len(violations) > 0:
						c.result = "FAIL"
					default:
						c.result = "pass"
					}
					for _, b := range violations {
						t.Error(b)
					}
				})
			}
		}
	})
	seeds := runSeeds(t)
	printTable(cells, seeds)
}

// printTable prints the results as a table of faults and steps, the reasons for cells
// without a result and the sums, which include the number of seeds.
func printTable(cells []*cell, seeds int) {
	byFault := map[string]map[string]*cell{}
	count := map[string]int{}
	for _, c := range cells {
		if byFault[c.fault] == nil {
			byFault[c.fault] = map[string]*cell{}
		}
		byFault[c.fault][c.step] = c
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
	var reasons []string
	for _, f := range faultList() {
		fmt.Fprintf(&b, "%-16s", f.name)
		for _, s := range steps {
			c := byFault[f.name][s]
			fmt.Fprintf(&b, " %6s", c.result)
			switch c.result {
			case "n/a":
				reasons = append(reasons, fmt.Sprintf("n/a: %s at %s: %s", c.fault, c.step, c.violations[0]))
			case "notrun":
				reasons = append(reasons, fmt.Sprintf("notrun: %s at %s: the step was not taken", c.fault, c.step))
			}
		}
		b.WriteByte('\n')
	}
	sort.Strings(reasons)
	b.WriteString(strings.Join(reasons, "\n"))
	n := count["pass"] + count["FAIL"] + count["notrun"]
	fmt.Fprintf(&b, "\nfaults: cells=%d passed=%d failed=%d notrun=%d seeds=%d", n, count["pass"], count["FAIL"], count["notrun"], seeds)
	fmt.Println(b.String())
}
