package relay

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fieldvale/peer"
)

const (
	// scenarioLength is the length of a random scenario, checkInterval the interval of checks.
	scenarioLength = 20 * time.Second
	checkInterval  = 50 * time.Millisecond
	// settleTime is how long an instance must have been without faults until it has to meet
	// applyBound. compactionGrace is added to the bound if the store lost its history within
	// settleTime.
	settleTime      = 3 * time.Second
	applyBound      = 2 * time.Second
	compactionGrace = 5 * time.Second
	// defaultScenarios is the number of scenarios of small fleets, defaultLargeScenarios that
	// of each size of large fleets; the environment variable FIELDVALE_DAYS replaces both.
	defaultScenarios      = 100
	defaultLargeScenarios = 4
)

func scenarioCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("FIELDVALE_DAYS")); err == nil {
		return n
	}
	return defaultCount
}

// lateSeeds are seeds of scenarios in which a change was late at an instance.
var lateSeeds = []int{489, 2117, 2917, 1007, 2346}

// Under random faults of instances, links and the store, each instance that has been
// without faults for settleTime must have every change within its bound.
func TestChangesAreInForceOnDrawnDays(t *testing.T) {
	for _, seed := range lateSeeds {
		t.Run(fmt.Sprint("late ", seed), func(t *testing.T) { t.Parallel(); runScenario(t, uint64(seed), smallFleet) })
	}
	for seed := range scenarioCount(defaultScenarios) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { t.Parallel(); runScenario(t, uint64(seed), smallFleet) })
	}
}

// The same must hold in large fleets, of which some 50 instances are registered.
func TestChangesAreInForceInLargeFleets(t *testing.T) {
	for _, n := range []int{58, 150, 300} {
		for seed := range scenarioCount(defaultLargeScenarios) {
			t.Run(fmt.Sprint(n, " ", seed), func(t *testing.T) {
				t.Parallel()
				runScenario(t, uint64(seed), func(*rand.Rand) (int, int) { return n, min(n, 50) })
			})
		}
	}
}

// smallFleet draws the number of instances, and how many of them are registered.
func smallFleet(r *rand.Rand) (n, registered int) {
	n = 2 + r.IntN(12)
	if r.IntN(10) == 0 {
		n = 45
	}
	return n, n
}

// scenario is a sequence of random changes and faults in one fleet.
type scenario struct {
	f     *fleet
	s     *fakeStore
	r     *rand.Rand
	began time.Time
	// due are the events that are still to happen, in no order.
	due []scheduledEvent
	// faultyUntil is when the last fault of each instance ends, storeDownUntil when the last
	// outage of the store ends, historyLostAt when the store compacts its history.
	faultyUntil                   map[string]time.Time
	storeDownUntil, historyLostAt time.Time
	acked                         []ackedChange

	mu sync.Mutex
	// lines are the log lines of each instance; those of the whole fleet are under "".
	lines map[string][]string
}

// logf adds a log line of an instance, or of the fleet if instance is empty.
func (d *scenario) logf(instance, format string, a ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lines[instance] = append(d.lines[instance], fmt.Sprintf("%.3f ", time.Since(d.began).Seconds())+fmt.Sprintf(format, a...))
}

// history returns the log lines of the fleet and of the instance in the order of time.
func (d *scenario) history(instance string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := slices.Concat(d.lines[""], d.lines[instance])
	slices.SortStableFunc(l, func(a, b string) int {
		var x, y float64
		_, _ = fmt.Sscan(a, &x)
		_, _ = fmt.Sscan(b, &y)
		return cmp.Compare(x, y)
	})
	return strings.Join(l, "\n")
}

// scheduledEvent is an event that is due at a moment.
type scheduledEvent struct {
	at time.Time
	do func()
}

// ackedChange is a change of the store and when it was acknowledged.
type ackedChange struct {
	revision int64
	at       time.Time
}

func runScenario(t *testing.T, seed uint64, size func(*rand.Rand) (n, registered int)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		r := rand.New(rand.NewPCG(seed, 1))
		s := &fakeStore{}
		s.put("a", "1")
		n, registered := size(r)
		d := &scenario{f: startFleet(ctx, &g, n, registered, s), s: s, r: r, faultyUntil: map[string]time.Time{}, lines: map[string][]string{}}
		time.Sleep(5 * time.Second)
		d.began = time.Now()
		d.f.trace = func(instance, event string, fields []any) { d.logf(instance, "%s %s %v", instance, event, fields) }
		d.draw()
		d.run(t)
		cancel()
		g.Wait()
		time.Sleep(settleTime)
	})
}

// draw draws the changes and faults of the scenario.
func (d *scenario) draw() {
	for at := time.Duration(0); at < scenarioLength; at += d.between(300*time.Millisecond, 2*time.Second) {
		d.after(at, d.change)
	}
	for range 2 + d.r.IntN(5) {
		k := []func(){d.refuse, d.cut, d.compact, d.stopStore, d.restart, d.loseDatagrams}[d.r.IntN(6)]
		d.after(d.between(0, scenarioLength-settleTime), k)
	}
}

func (d *scenario) between(a, b time.Duration) time.Duration {
	return a + time.Duration(d.r.Int64N(int64(b-a)))
}

// after schedules an event.
func (d *scenario) after(in time.Duration, do func()) {
	d.due = append(d.due, scheduledEvent{time.Now().Add(in), do})
}

// run runs the scenario until its end or the first late change.
func (d *scenario) run(t *testing.T) {
	for end := time.Now().Add(scenarioLength); time.Now().Before(end); time.Sleep(checkInterval) {
		d.runDue()
		if d.check(t) {
			return
		}
	}
}

// runDue runs the events that are due.
func (d *scenario) runDue() {
	l := d.due
	d.due = nil
	for _, h := range l {
		if time.Now().Before(h.at) {
			d.due = append(d.due, h)
			continue
		}
		h.do()
	}
}

func (d *scenario) change() {
	r := d.s.put("a", "2")
	d.logf("", "change %d", r)
	d.acked = append(d.acked, ackedChange{r, time.Now()})
}

// pickInstances returns random instances, in a third of the cases the watchers.
func (d *scenario) pickInstances() []peer.Member {
	if d.r.IntN(3) == 0 {
		return Watchers(d.f.members())
	}
	var l []peer.Member
	for _, i := range d.r.Perm(len(d.f.all))[:1+d.r.IntN(max(1, len(d.f.all)/2))] {
		l = append(l, d.f.all[i])
	}
	return l
}

// markFaulty records that the instances are faulty until the given moment.
func (d *scenario) markFaulty(m []peer.Member, until time.Time) {
	for _, x := range m {
		if until.After(d.faultyUntil[x.ID]) {
			d.faultyUntil[x.ID] = until
		}
	}
}

// refuse has the store refuse instances, or not answer them, for a while.
func (d *scenario) refuse() {
	m, duration := d.pickInstances(), d.between(time.Second, 8*time.Second)
	silent := d.r.IntN(2) == 0
	d.logf("", "the store refuses instances for %s, silent=%t: %v", duration, silent, m)
	d.f.refuse(m, silent)
	d.markFaulty(m, time.Now().Add(duration))
	d.after(duration, func() {
		for _, x := range m {
			d.f.outages[x.ID].set(false)
		}
	})
}

// cut cuts instances off from all others and from the store for a while.
func (d *scenario) cut() {
	m, duration := d.pickInstances(), d.between(time.Second, 8*time.Second)
	d.logf("", "instances are cut off for %s: %v", duration, m)
	d.f.refuse(m, true)
	d.setCut(m, true)
	d.markFaulty(m, time.Now().Add(duration))
	d.after(duration, func() {
		d.setCut(m, false)
		for _, x := range m {
			d.f.outages[x.ID].set(false)
		}
	})
}

// setCut cuts or restores the links between the instances and all others.
func (d *scenario) setCut(m []peer.Member, cut bool) {
	d.f.net.mu.Lock()
	defer d.f.net.mu.Unlock()
	for _, x := range m {
		for _, o := range d.f.all {
			d.f.net.cut[x.ID+">"+o.ID] = cut
			d.f.net.cut[o.ID+">"+x.ID] = cut
		}
	}
}

// compact has calls for changes miss all changes for a second; then the history is
// compacted.
func (d *scenario) compact() {
	const duration = time.Second
	d.logf("", "the history is compacted in %s", duration)
	d.s.setMissesChanges(true)
	d.historyLostAt = time.Now().Add(duration)
	d.after(duration, func() {
		d.s.setMissesChanges(false)
		d.s.compact()
	})
}

// stopStore has the store fail all calls for a while.
func (d *scenario) stopStore() {
	duration := d.between(time.Second, 6*time.Second)
	d.logf("", "the store is down for %s", duration)
	d.s.setDown(true)
	if u := time.Now().Add(duration); u.After(d.storeDownUntil) {
		d.storeDownUntil = u
	}
	d.after(duration, func() { d.s.setDown(time.Now().Before(d.storeDownUntil)) })
}

// restart restarts instances.
func (d *scenario) restart() {
	m := d.pickInstances()
	d.logf("", "instances are restarted: %v", m)
	d.markFaulty(m, time.Now())
	d.f.restart(m...)
}

// loseDatagrams has a part of all datagrams lost for a while.
func (d *scenario) loseDatagrams() {
	duration := d.between(time.Second, 8*time.Second)
	d.logf("", "datagrams are lost for %s", duration)
	d.setLossRate(0.03)
	d.markFaulty(d.f.all, time.Now().Add(duration))
	d.after(duration, func() { d.setLossRate(0) })
}

func (d *scenario) setLossRate(p float64) {
	d.f.net.mu.Lock()
	defer d.f.net.mu.Unlock()
	d.f.net.lossRate = p
}

// check reports whether a change is late at an instance without faults, and fails the test
// then.
func (d *scenario) check(t *testing.T) bool {
	now := time.Now()
	bound := applyBound
	switch {
	case now.Sub(d.storeDownUntil) < settleTime:
		return false
	case now.Sub(d.historyLostAt) < settleTime:
		bound += compactionGrace
	}
	late := false
	for _, a := range d.acked {
		if now.Sub(a.at) <= bound {
			break
		}
		for id, listener := range d.f.listeners {
			got, confirmed, _ := listener.state()
			if now.Sub(d.faultyUntil[id]) >= settleTime && got < a.revision {
				t.Errorf("at %s one of %d instances, %s, is at revision %d, confirmed %s ago; want at least %d, acknowledged %s ago\n%s", now.Sub(d.began), len(d.f.all), id, got, now.Sub(confirmed), a.revision, now.Sub(a.at), d.history(id))
				late = true
			}
		}
	}
	return late
}
