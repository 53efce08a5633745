// Package faults tests a small fieldvale system of several instances under injected
// faults: the matrix injects each fault at each step of a scripted run, the other tests
// reproduce single failures.
package faults

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/policyfile"
	"fieldvale/audit"
	"fieldvale/config"
	"fieldvale/control"
	"fieldvale/peer"
	"fieldvale/rollout"
	"fieldvale/session"
	"fieldvale/standin/world"
	"fieldvale/version"
)

// The tests of this file run a small system of three data centres under traffic
// through a fixed script: accepted policies, a roll-out, two draining backend
// servers, a graceful stop, a joining instance, a withdrawal and two operators that
// accept policies concurrently. A fault is injected when its step is first taken;
// the guarantees of the system are checked at the end.

var (
	cheap1 = version.New("cheap", "1")
	cheap2 = version.New("cheap", "2")
	large1 = version.New("large", "1")
)

// drainingBackends are the backend servers that start to drain during the script.
var drainingBackends = []string{"e3", "s3"}

const (
	requestCount = 80
	sendInterval = 400 * time.Millisecond
	// threadCount is the number of sessions that the requests belong to.
	threadCount = 12
	// requestTimeout is the time from the start of a request to its deadline.
	requestTimeout = 6 * time.Second
	// drainPropagation is the time within which all instances stop sending
	// requests to a draining backend server.
	drainPropagation = 5 * time.Second
	// configPropagation is the time within which an accepted change is in force
	// on all instances.
	configPropagation = 7 * time.Second
	// settleTime is the time from the end of the script to the checks, in which
	// pending bills are flushed.
	settleTime = 75 * time.Second
	// operatorTimeout is the timeout of an operator's call.
	operatorTimeout = 10 * time.Second
)

// customerName returns the customer of request n. Each request has a customer of its
// own, so that the bill shows a request that is billed twice.
func customerName(n int) string { return fmt.Sprintf("c%03d", n) }

// isBronze reports whether the customer of request n is of the bronze tier, which
// may not use the large model.
func isBronze(n int) bool { return n%7 == 3 }

// policyFiles returns the files of a policy, with the note as a comment.
func policyFiles(note string) map[string]string {
	var b strings.Builder
	b.WriteString("[team t]\n[version cheap@1]\ncost_out = 1000\ndefault = true\n[version cheap@2]\ncost_out = 1000\n[version large@1]\ncost_out = 9000\n[service memory]\nonce = write\n")
	for n := range requestCount {
		tier := "gold"
		if isBronze(n) {
			tier = "bronze"
		}
		fmt.Fprintf(&b, "[customer %s]\ntier = %s\nkey_sha256 = %064x\n", customerName(n), tier, n+1)
	}
	return map[string]string{
		policyfile.CatalogFile: b.String(),
		policyfile.CasesFile:   "[case c]\ncustomer = c000\nwant = cheap accept 0.7, large\n",
		policyfile.ProgramFile: "# " + note + `
def allow(customer, model, version):
    return model == "cheap" or customer.tier != "bronze"

def route(customer, task, size):
    if customer.tier == "bronze":
        return [step("cheap")]
    return [step("cheap", accept = 0.7), step("large")]
`,
	}
}

// acceptChange returns the change that accepts a policy, which differs from other
// such policies in its note alone.
func acceptChange(id, note string, base uint64) config.Change {
	s, e := policyfile.Parse(policyFiles(note))
	if len(e) > 0 {
		panic(e[0])
	}
	return config.Change{ID: id, Team: "t", Who: "op", Why: note, Action: audit.Accept, BaseRevision: base, Source: s, Key: session.Key{ID: "k1", Secret: []byte("secret")}}
}

// deployment is a small system under test with its clients, the requests that they
// sent and the violations that were found.
type deployment struct {
	t    *testing.T
	w    *world.World
	mu   sync.Mutex
	sent []*clientRequest
	// sessionTokens holds the session token of each thread, as its client stores
	// it, and sessionVersions the sequence of versions that the thread was pinned to.
	sessionTokens   map[string]string
	sessionVersions map[string][]version.ID
	violations      []string
	changes         []change
	// revision is the highest revision of an accepted change.
	revision uint64

	withdrawalAt time.Time
	drainingAt   time.Time
	// isolatedUntil holds the end of the fault for each process or data centre
	// that is paused or partitioned.
	isolatedUntil map[string]time.Time
	started       time.Time
	// stopped is the instance that the script stops.
	stopped *world.Instance
	// onStep, if not nil, is called before each step and injects the faults.
	onStep         func(d *deployment, step string, p *world.Proc)
	longestRequest time.Duration
}

// change is an accepted change.
type change struct {
	revision uint64
	at       time.Time
}

// times returns the default times with shorter intervals for bills and polling.
func times() control.Times {
	t := control.DefaultTimes()
	t.Flush, t.OrphanDelay, t.Poll = 2*time.Second, 8*time.Second, 5*time.Second
	return t
}

// newDeployment returns a deployment without instances and backend servers.
func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, w: world.New(times()), sessionTokens: map[string]string{}, sessionVersions: map[string][]version.ID{}, isolatedUntil: map[string]time.Time{}, started: time.Now()}
	d.w.ListDelay = 2 * time.Second
	d.w.OnStep = d.step
	return d
}

// reportViolation records that a guarantee was violated.
func (d *deployment) reportViolation(format string, a ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, a...))
}

// step reports a step to onStep, except in the first 4 seconds, while the system
// starts and accepts its first policy.
func (d *deployment) step(step string, p *world.Proc) {
	if d.onStep != nil && time.Since(d.started) > 4*time.Second {
		d.onStep(d, step, p)
	}
}

// waitUntil waits until s seconds after the start of the deployment.
func (d *deployment) waitUntil(s float64) {
	time.Sleep(time.Until(d.started.Add(time.Duration(s * float64(time.Second)))))
}

// startSystem adds an engine, a replica of the memory service and an instance in each
// of three data centres.
func (d *deployment) startSystem() {
	for n, s := range []string{"dc-a", "dc-b", "dc-c"} {
		d.w.AddEngine(fmt.Sprintf("e%d", n+1), s, 4, n != 1, cheap1, cheap2, large1)
		d.w.AddService(fmt.Sprintf("s%d", n+1), s, "memory", 4)
	}
	for _, s := range []string{"a", "b", "c"} {
		d.w.Start(s+"1", "dc-"+s)
	}
	d.w.PublishList()
}

// runScript runs the script and checks the guarantees at its end.
func (d *deployment) runScript(ctx context.Context) {
	d.startSystem()
	defer d.w.Close()
	d.waitUntil(1)
	d.change(ctx, "a1", acceptChange("first", "first", config.AnyBase))
	var g sync.WaitGroup
	g.Go(func() { d.sendTraffic(ctx) })
	g.Go(func() { d.makeOperatorChanges(ctx) })
	g.Go(func() { d.changeMachines(ctx) })
	g.Wait()
	time.Sleep(settleTime)
	d.checkInvariants(ctx)
}

// change makes an operator's change through the instances whose IDs do not sort before
// id or, while that fails, through any instance. A retry is safe, since the change ID
// makes the change idempotent. It does not retry a conflict.
func (d *deployment) change(ctx context.Context, id string, c config.Change) error {
	var last error
	for range 40 {
		for _, i := range d.w.Instances() {
			if i.ID < id || !i.Ready() && d.revision > 0 || !i.Control.Alive() {
				continue
			}
			c.At = time.Now()
			y, cancel := context.WithTimeout(ctx, operatorTimeout)
			r, err := world.CallControl(y, d.w, i, func(x context.Context, n *control.Node) (control.ChangeResult, error) { return n.Change(x, c) })
			cancel()
			if err == nil {
				d.mu.Lock()
				d.revision = max(d.revision, r.Revision)
				d.changes = append(d.changes, change{r.Revision, time.Now()})
				d.mu.Unlock()
				return nil
			}
			last = err
			if errors.Is(err, config.ErrConflict) {
				return err
			}
		}
		id = ""
		time.Sleep(time.Second)
	}
	d.reportViolation("change %s was not made after all retries: %v", c.ID, last)
	return last
}

// makeOperatorChanges starts a roll-out, withdraws the old version and runs two
// concurrent accepts.
func (d *deployment) makeOperatorChanges(ctx context.Context) {
	d.waitUntil(6)
	r, err := rollout.New(cheap1, cheap2, []int{1000, 5000, rollout.FullShare}, time.Now(), 4*time.Second)
	if err != nil {
		panic(err)
	}
	_ = d.change(ctx, "a1", config.Change{ID: "roll", Team: "t", Who: "op", Why: "newer", Action: audit.StartRollout, Rollout: r})
	d.waitUntil(22)
	d.step("withdraw", d.control("b1"))
	if err := d.change(ctx, "b1", config.Change{ID: "withdraw", Team: "t", Who: "op", Why: "old", Action: audit.Withdraw, Version: cheap1}); err == nil {
		d.mu.Lock()
		d.withdrawalAt = time.Now()
		d.mu.Unlock()
	}
	d.waitUntil(28)
	d.raceAccepts(ctx)
}

// raceAccepts runs two concurrent accepts that are based on the same revision; exactly
// one must succeed.
func (d *deployment) raceAccepts(ctx context.Context) {
	b := d.teamRevision()
	var g sync.WaitGroup
	var e [2]error
	for n, id := range []string{"a1", "b1"} {
		g.Go(func() { e[n] = d.change(ctx, id, acceptChange("race"+id, "race"+id, b)) })
	}
	g.Wait()
	if e[0] == nil && e[1] == nil {
		d.reportViolation("two accepts based on revision %d succeeded, want one", b)
	}
	if e[0] != nil && e[1] != nil {
		d.reportViolation("both concurrent accepts failed, want one to succeed: %v; %v", e[0], e[1])
	}
}

// teamRevision waits until an entry has all earlier changes and returns the revision of
// the team's part of its document.
func (d *deployment) teamRevision() uint64 {
	for {
		for _, i := range d.w.Instances() {
			if i.Ready() && i.View.Get().Active.Revision() >= d.revision {
				return i.View.Get().Active.Document().Part("t").Revision
			}
		}
		time.Sleep(time.Second)
	}
}

// control returns the control process of the instance with that ID, or nil.
func (d *deployment) control(id string) *world.Proc {
	for _, i := range d.w.Instances() {
		if i.ID == id {
			return i.Control
		}
	}
	return nil
}

// changeMachines drains backend servers, stops an instance and starts another one.
func (d *deployment) changeMachines(ctx context.Context) {
	d.waitUntil(9.9)
	d.step("take-over", d.rolloutOwner())
	d.waitUntil(12)
	d.step("leave", d.w.Backend("e3").Proc)
	for _, id := range drainingBackends {
		d.w.Backend(id).SetDraining()
	}
	d.w.PublishList()
	d.mu.Lock()
	d.drainingAt = time.Now()
	d.mu.Unlock()
	d.waitUntil(16)
	i := d.instance("c1")
	d.stopped = i
	d.step("stop", i.Entry)
	i.Stop(ctx)
	d.w.PublishList()
	d.waitUntil(18)
	d.step("join", d.control("a1"))
	d.w.Start("c2", "dc-c")
	d.w.PublishList()
}

// rolloutOwner returns the control process that owns the next step of the roll-out.
func (d *deployment) rolloutOwner() *world.Proc {
	i := d.instance("a1")
	doc, _ := i.Node.Document()
	for _, c := range doc.DueSteps(time.Now().Add(time.Second)) {
		for _, x := range d.w.Instances() {
			if peer.Position("rollout/"+c.ID, x.ID, i.Node.Members()) == 0 {
				return x.Control
			}
		}
	}
	return i.Control
}

// instance returns the instance with that ID that was started first, or nil.
func (d *deployment) instance(id string) *world.Instance {
	for _, i := range d.w.Instances() {
		if i.ID == id {
			return i
		}
	}
	return nil
}
