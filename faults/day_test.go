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

// A day is a short life of a small system: policies accepted, a roll-out, a
// backend server leaving, a planned stop, an instance joining, a withdrawal
// and two operators racing, all under traffic. A fault at a step is put in
// when the step is first taken; the promises are checked at the end.

var (
	cheap1 = version.New("cheap", "1")
	cheap2 = version.New("cheap", "2")
	large1 = version.New("large", "1")
)

// leavers are the backend servers that leave in the course of a day.
var leavers = []string{"e3", "s3"}

const (
	requests  = 80
	sendEvery = 400 * time.Millisecond
	// threads are the sessions that the requests belong to.
	threads   = 12
	allowance = 6 * time.Second
	leavingBy = 5 * time.Second
	spreadBy  = 7 * time.Second
	settle    = 75 * time.Second
	// operatorPatience is how long an operator's program waits for an answer.
	operatorPatience = 10 * time.Second
)

// customer is that of one request: a line of the bill for each request shows
// a request that is billed twice.
func customer(n int) string { return fmt.Sprintf("c%03d", n) }

// bronze customers may not use the large model.
func bronze(n int) bool { return n%7 == 3 }

func policyFiles(note string) map[string]string {
	var b strings.Builder
	b.WriteString("[team t]\n[version cheap@1]\ncost_out = 1000\ndefault = true\n[version cheap@2]\ncost_out = 1000\n[version large@1]\ncost_out = 9000\n[service memory]\nonce = write\n")
	for n := range requests {
		tier := "gold"
		if bronze(n) {
			tier = "bronze"
		}
		fmt.Fprintf(&b, "[customer %s]\ntier = %s\nkey_sha256 = %064x\n", customer(n), tier, n+1)
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

// acceptChange is an accept of a policy that differs by its note only.
func acceptChange(id, note string, base uint64) config.Change {
	s, e := policyfile.Parse(policyFiles(note))
	if len(e) > 0 {
		panic(e[0])
	}
	return config.Change{ID: id, Team: "t", Who: "op", Why: note, Action: audit.Accept, Base: base, Source: s, Key: session.Key{ID: "k1", Secret: []byte("secret")}}
}

// day is one run.
type day struct {
	t    *testing.T
	w    *world.World
	mu   sync.Mutex
	sent []*sent
	// sessions holds each thread's token as its client keeps it.
	sessions map[string]string
	versions map[string][]version.ID
	bad      []string
	changes  []change
	revision uint64

	withdrawnAt time.Time
	leavingAt   time.Time
	// touched are the processes that a fault holds, with its end.
	touched map[string]time.Time
	started time.Time
	stop    *world.Instance
	faulty  func(d *day, step string, p *world.Proc)
	late    time.Duration
}

type change struct {
	revision uint64
	at       time.Time
}

func times() control.Times {
	t := control.DefaultTimes()
	t.Flush, t.Orphan, t.Poll = 2*time.Second, 8*time.Second, 5*time.Second
	return t
}

func newDay(t *testing.T) *day {
	d := &day{t: t, w: world.New(times()), sessions: map[string]string{}, versions: map[string][]version.ID{}, touched: map[string]time.Time{}, started: time.Now()}
	d.w.ListLag = 2 * time.Second
	d.w.Hook = d.hook
	return d
}

func (d *day) fail(format string, a ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bad = append(d.bad, fmt.Sprintf(format, a...))
}

func (d *day) hook(step string, p *world.Proc) {
	if d.faulty != nil && time.Since(d.started) > 4*time.Second {
		d.faulty(d, step, p)
	}
}

// at waits until the given time of the day.
func (d *day) at(s float64) {
	time.Sleep(time.Until(d.started.Add(time.Duration(s * float64(time.Second)))))
}

func (d *day) build() {
	for n, s := range []string{"dc-a", "dc-b", "dc-c"} {
		d.w.AddEngine(fmt.Sprintf("e%d", n+1), s, 4, n != 1, cheap1, cheap2, large1)
		d.w.AddService(fmt.Sprintf("s%d", n+1), s, "memory", 4)
	}
	for _, s := range []string{"a", "b", "c"} {
		d.w.Start(s+"1", "dc-"+s)
	}
	d.w.Publish()
}

// run is the whole day.
func (d *day) run(ctx context.Context) {
	d.build()
	defer d.w.Close()
	d.at(1)
	d.change(ctx, "a1", acceptChange("first", "first", config.AnyBase))
	var g sync.WaitGroup
	g.Go(func() { d.traffic(ctx) })
	g.Go(func() { d.operators(ctx) })
	g.Go(func() { d.machines(ctx) })
	g.Wait()
	time.Sleep(settle)
	d.check(ctx)
}

// change makes an operator's change through an instance or, while that fails,
// through others: it is safe to repeat.
func (d *day) change(ctx context.Context, id string, c config.Change) error {
	var last error
	for range 40 {
		for _, i := range d.w.Instances() {
			if i.ID < id || !i.Ready() && d.revision > 0 || !i.Control.Alive() {
				continue
			}
			c.At = time.Now()
			y, cancel := context.WithTimeout(ctx, operatorPatience)
			r, err := world.Admin(y, d.w, i, func(x context.Context, n *control.Node) (control.Changed, error) { return n.Change(x, c) })
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
	d.fail("change %s was never made: %v", c.ID, last)
	return last
}

func (d *day) operators(ctx context.Context) {
	d.at(6)
	r, err := rollout.New(cheap1, cheap2, []int{1000, 5000, rollout.FullShare}, time.Now(), 4*time.Second)
	if err != nil {
		panic(err)
	}
	_ = d.change(ctx, "a1", config.Change{ID: "roll", Team: "t", Who: "op", Why: "newer", Action: audit.StartRoll, Rollout: r})
	d.at(22)
	d.hook("withdraw", d.control("b1"))
	if err := d.change(ctx, "b1", config.Change{ID: "withdraw", Team: "t", Who: "op", Why: "old", Action: audit.Withdraw, Version: cheap1}); err == nil {
		d.mu.Lock()
		d.withdrawnAt = time.Now()
		d.mu.Unlock()
	}
	d.at(28)
	d.race(ctx)
}

// race has two operators accept from the same base at the same time.
func (d *day) race(ctx context.Context) {
	b := d.base()
	var g sync.WaitGroup
	var e [2]error
	for n, id := range []string{"a1", "b1"} {
		g.Go(func() { e[n] = d.change(ctx, id, acceptChange("race"+id, "race"+id, b)) })
	}
	g.Wait()
	if e[0] == nil && e[1] == nil {
		d.fail("two operators accepted from the same base %d", b)
	}
	if e[0] != nil && e[1] != nil {
		d.fail("neither of two racing operators won: %v; %v", e[0], e[1])
	}
}

// base is the revision of the team's part once an entry has all of the
// operators' earlier changes.
func (d *day) base() uint64 {
	for {
		for _, i := range d.w.Instances() {
			if i.Ready() && i.View.Get().Active.Revision() >= d.revision {
				return i.View.Get().Active.Document().Part("t").Revision
			}
		}
		time.Sleep(time.Second)
	}
}

func (d *day) control(id string) *world.Proc {
	for _, i := range d.w.Instances() {
		if i.ID == id {
			return i.Control
		}
	}
	return nil
}

// machines leave, stop and join.
func (d *day) machines(ctx context.Context) {
	d.at(9.9)
	d.hook("take-over", d.driver())
	d.at(12)
	d.hook("leave", d.w.Backend("e3").Proc)
	for _, id := range leavers {
		d.w.Backend(id).SetLeaving()
	}
	d.w.Publish()
	d.mu.Lock()
	d.leavingAt = time.Now()
	d.mu.Unlock()
	d.at(16)
	i := d.instance("c1")
	d.stop = i
	d.hook("stop", i.Entry)
	i.Stop(ctx)
	d.w.Publish()
	d.at(18)
	d.hook("join", d.control("a1"))
	d.w.Start("c2", "dc-c")
	d.w.Publish()
}

// driver is the control whose turn the roll-out's next step is.
func (d *day) driver() *world.Proc {
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

func (d *day) instance(id string) *world.Instance {
	for _, i := range d.w.Instances() {
		if i.ID == id {
			return i
		}
	}
	return nil
}
