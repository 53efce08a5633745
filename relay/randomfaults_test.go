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
	// dayLength is how long a drawn day lasts, and dayStep how often it is looked at.
	dayLength = 20 * time.Second
	dayStep   = 50 * time.Millisecond
	// contact is how long an instance must have been without trouble to be held to the bound
	// applied; outer is how much more it has where the store dropped its history within contact.
	contact = 3 * time.Second
	applied = 2 * time.Second
	outer   = 5 * time.Second
	// daysDrawn are played by default, and largeDrawn of each large fleet; FIELDVALE_DAYS names
	// another number.
	daysDrawn  = 100
	largeDrawn = 4
)

func daysOr(most int) int {
	if n, err := strconv.Atoi(os.Getenv("FIELDVALE_DAYS")); err == nil {
		return n
	}
	return most
}

// lateDays were late once.
var lateDays = []int{489, 2117, 2917, 1007, 2346}

// Whatever befalls instances and the store, those in touch know a change in time.
func TestChangesAreInForceOnDrawnDays(t *testing.T) {
	for _, seed := range lateDays {
		t.Run(fmt.Sprint("late ", seed), func(t *testing.T) { t.Parallel(); drawnDay(t, uint64(seed), smallFleet) })
	}
	for seed := range daysOr(daysDrawn) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { t.Parallel(); drawnDay(t, uint64(seed), smallFleet) })
	}
}

// The same holds in large fleets, of which some 50 instances are listed.
func TestChangesAreInForceInLargeFleetsOnDrawnDays(t *testing.T) {
	for _, n := range []int{58, 150, 300} {
		for seed := range daysOr(largeDrawn) {
			t.Run(fmt.Sprint(n, " ", seed), func(t *testing.T) {
				t.Parallel()
				drawnDay(t, uint64(seed), func(*rand.Rand) (int, int) { return n, min(n, 50) })
			})
		}
	}
}

// smallFleet draws how many instances there are, and how many of them are listed.
func smallFleet(r *rand.Rand) (n, listed int) {
	n = 2 + r.IntN(12)
	if r.IntN(10) == 0 {
		n = 45
	}
	return n, n
}

// day is a drawn day on one fleet.
type day struct {
	f     *fleet
	s     *fakeStore
	r     *rand.Rand
	began time.Time
	// due are what is still to happen, in no order.
	due []happening
	// until is until when each instance has had trouble; down and dropped are that of the store
	// that did not answer, and that dropped its history.
	until         map[string]time.Time
	down, dropped time.Time
	acked         []acked

	mu sync.Mutex
	// lines tell what befell the day, under "", and each instance.
	lines map[string][]string
}

// noted keeps a line of the day, or of an instance.
func (d *day) noted(instance, format string, a ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lines[instance] = append(d.lines[instance], fmt.Sprintf("%.3f ", time.Since(d.began).Seconds())+fmt.Sprintf(format, a...))
}

// story returns the lines of the day and of the instance.
func (d *day) story(instance string) string {
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

// happening is something that happens at a moment.
type happening struct {
	at time.Time
	do func()
}

// acked is a change and when it was acknowledged.
type acked struct {
	revision int64
	at       time.Time
}

func drawnDay(t *testing.T, seed uint64, size func(*rand.Rand) (n, listed int)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		r := rand.New(rand.NewPCG(seed, 1))
		s := &fakeStore{}
		s.put("a", "1")
		n, listed := size(r)
		d := &day{f: start(ctx, &g, n, listed, s), s: s, r: r, until: map[string]time.Time{}, lines: map[string][]string{}}
		time.Sleep(5 * time.Second)
		d.began = time.Now()
		d.f.trace = func(instance, event string, fields []any) { d.noted(instance, "%s %s %v", instance, event, fields) }
		d.draw()
		d.play(t)
		cancel()
		g.Wait()
		time.Sleep(contact)
	})
}

// draw draws what happens.
func (d *day) draw() {
	for at := time.Duration(0); at < dayLength; at += d.between(300*time.Millisecond, 2*time.Second) {
		d.after(at, d.change)
	}
	for range 2 + d.r.IntN(5) {
		k := []func(){d.turnAway, d.cut, d.drop, d.away, d.restart, d.lose}[d.r.IntN(6)]
		d.after(d.between(0, dayLength-contact), k)
	}
}

func (d *day) between(a, b time.Duration) time.Duration {
	return a + time.Duration(d.r.Int64N(int64(b-a)))
}

// after has something happen so long from now.
func (d *day) after(in time.Duration, do func()) {
	d.due = append(d.due, happening{time.Now().Add(in), do})
}

// play goes through the day.
func (d *day) play(t *testing.T) {
	for end := time.Now().Add(dayLength); time.Now().Before(end); time.Sleep(dayStep) {
		d.happen()
		if d.check(t) {
			return
		}
	}
}

// happen does what is due.
func (d *day) happen() {
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

func (d *day) change() {
	r := d.s.put("a", "2")
	d.noted("", "change %d", r)
	d.acked = append(d.acked, acked{r, time.Now()})
}

// some returns some of the instances, often those that watch.
func (d *day) some() []peer.Member {
	if d.r.IntN(3) == 0 {
		return Watchers(d.f.members())
	}
	var l []peer.Member
	for _, i := range d.r.Perm(len(d.f.all))[:1+d.r.IntN(max(1, len(d.f.all)/2))] {
		l = append(l, d.f.all[i])
	}
	return l
}

// trouble notes that instances have trouble until then.
func (d *day) trouble(m []peer.Member, until time.Time) {
	for _, x := range m {
		if until.After(d.until[x.ID]) {
			d.until[x.ID] = until
		}
	}
}

// turnAway has the store turn instances away for a while.
func (d *day) turnAway() {
	m, last := d.some(), d.between(time.Second, 8*time.Second)
	silent := d.r.IntN(2) == 0
	d.noted("", "turned away for %s, silent=%t: %v", last, silent, m)
	d.f.turnAway(m, silent)
	d.trouble(m, time.Now().Add(last))
	d.after(last, func() {
		for _, x := range m {
			d.f.away[x.ID].set(false)
		}
	})
}

// cut cuts instances off from all others and the store for a while.
func (d *day) cut() {
	m, last := d.some(), d.between(time.Second, 8*time.Second)
	d.noted("", "cut off for %s: %v", last, m)
	d.f.turnAway(m, true)
	d.ways(m, true)
	d.trouble(m, time.Now().Add(last))
	d.after(last, func() {
		d.ways(m, false)
		for _, x := range m {
			d.f.away[x.ID].set(false)
		}
	})
}

// ways cuts the ways between the instances and all others, or mends them.
func (d *day) ways(m []peer.Member, cut bool) {
	d.f.net.mu.Lock()
	defer d.f.net.mu.Unlock()
	for _, x := range m {
		for _, o := range d.f.all {
			d.f.net.cut[x.ID+">"+o.ID] = cut
			d.f.net.cut[o.ID+">"+x.ID] = cut
		}
	}
}

// drop has calls for changes hear nothing for a second; then the history is gone.
func (d *day) drop() {
	const last = time.Second
	d.noted("", "history is dropped in %s", last)
	d.s.setDeaf(true)
	d.dropped = time.Now().Add(last)
	d.after(last, func() {
		d.s.setDeaf(false)
		d.s.compact()
	})
}

// away has the store fail all calls for a while.
func (d *day) away() {
	last := d.between(time.Second, 6*time.Second)
	d.noted("", "the store is away for %s", last)
	d.s.setDown(true)
	if u := time.Now().Add(last); u.After(d.down) {
		d.down = u
	}
	d.after(last, func() { d.s.setDown(time.Now().Before(d.down)) })
}

// restart ends instances and starts them again.
func (d *day) restart() {
	m := d.some()
	d.noted("", "restarted: %v", m)
	d.trouble(m, time.Now())
	d.f.restart(m...)
}

// lose has datagrams lost for a while.
func (d *day) lose() {
	last := d.between(time.Second, 8*time.Second)
	d.noted("", "datagrams are lost for %s", last)
	d.lossPart(0.03)
	d.trouble(d.f.all, time.Now().Add(last))
	d.after(last, func() { d.lossPart(0) })
}

func (d *day) lossPart(p float64) {
	d.f.net.mu.Lock()
	defer d.f.net.mu.Unlock()
	d.f.net.lossPart = p
}

// check reports whether an instance in touch is late to know a change.
func (d *day) check(t *testing.T) bool {
	now := time.Now()
	bound := applied
	switch {
	case now.Sub(d.down) < contact:
		return false
	case now.Sub(d.dropped) < contact:
		bound += outer
	}
	late := false
	for _, a := range d.acked {
		if now.Sub(a.at) <= bound {
			break
		}
		for id, on := range d.f.on {
			got, confirmed, _ := on.state()
			if now.Sub(d.until[id]) >= contact && got < a.revision {
				t.Errorf("at %s one of %d instances, %s, is at revision %d, confirmed %s ago; %d was acknowledged %s ago\n%s", now.Sub(d.began), len(d.f.all), id, got, now.Sub(confirmed), a.revision, now.Sub(a.at), d.story(id))
				late = true
			}
		}
	}
	return late
}
