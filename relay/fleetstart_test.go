package relay

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fieldvale/mirror"
	"fieldvale/peer"
	"fieldvale/store"
)

// What users saw: of 985 instances before 10,000 replicas one was ready as traffic began,
// 24 s after their start; 97 of 100 requests were refused.
//
// Order of events: all instances start at once; each reads the store whole, in 21 pages;
// the store's link carries some 200 of these reads in a second in place of 985 times 21; a
// page that takes longer than a second fails, and its reader begins anew.
//
// Cause: what the store gives out at a start grows as instances times replicas. Evidence:
// 35,000 calls of the store where 2,000 were expected, 149 times "the store is lost" at the
// 111 instances of one data centre, processors and memory idle.

const (
	// storeRate is what the store's link carries, in bytes a second, pageItems how many
	// keys a page has, and storeTakes how long an answer takes at least.
	storeRate  = 1000e6 / 8
	pageItems  = 500
	storeTakes = 4 * time.Millisecond
	// itemBytes is what a replica's entry takes in an answer of the store.
	itemBytes = 700
	// narrowLink and wideLink are what instances' links carry, in bytes a second.
	narrowLink = 20e6 / 8
	wideLink   = 200e6 / 8
	// startSpread is over how long instances come up.
	startSpread = 300 * time.Millisecond
)

// wideStore is a store of many keys whose answers pass one link.
type wideStore struct {
	fakeStore
	// keys are all that it holds, sorted.
	keys []store.Item
	// list are the fleet's instances that are listed.
	list map[string]peer.Member
	// slow times as long as usual takes each answer.
	slow float64
	// away says which instances the store refuses.
	away func(id string) bool
	// gone is until when the bytes given out so far are under way.
	gone time.Time
	// bytes and listReads are what was given out, listWrites how many joined.
	bytes, listReads, listWrites int
}

func newWideStore(replicas int) *wideStore {
	s := &wideStore{list: map[string]peer.Member{}, slow: 1}
	for i := range replicas {
		s.keys = append(s.keys, store.Item{Key: fmt.Sprintf("servers/i-%08x", uint32(i)*2654435761), Value: fmt.Appendf(nil, "%d", i), Revision: int64(i + 1)})
	}
	slices.SortFunc(s.keys, byKey)
	s.items = make([]store.Item, replicas)
	return s
}

// turnAway has the store refuse the instances for which who is true; nil serves all.
func (s *wideStore) turnAway(who func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = who
}

// wayOf is one instance's way to the store.
type wayOf struct {
	*wideStore
	id string
}

func (w wayOf) isAway() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.away != nil && w.away(w.id)
}

func (w wayOf) Read(ctx context.Context, prefix, after string) (store.Page, error) {
	if w.isAway() {
		return store.Page{}, errDown
	}
	return w.wideStore.Read(ctx, prefix, after)
}

func (w wayOf) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	if w.isAway() {
		return store.Changes{}, errDown
	}
	return w.wideStore.Changes(ctx, prefix, after, wait)
}

func (w wayOf) list(ctx context.Context, stale bool) ([]peer.Member, error) {
	if w.isAway() {
		return nil, errDown
	}
	return w.members(ctx, stale)
}

// give waits until so many bytes have left.
func (s *wideStore) give(ctx context.Context, bytes int) error {
	s.mu.Lock()
	s.calls++
	s.bytes += bytes
	if now := time.Now(); s.gone.Before(now) {
		s.gone = now
	}
	s.gone = s.gone.Add(time.Duration(float64(bytes) / storeRate * float64(time.Second)))
	d := time.Until(s.gone) + time.Duration(s.slow*float64(storeTakes))
	down := s.down
	s.mu.Unlock()
	if down {
		return errDown
	}
	if !sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// Read implements store.Feed.
func (s *wideStore) Read(ctx context.Context, _, after string) (store.Page, error) {
	i, _ := slices.BinarySearchFunc(s.keys, store.Item{Key: after}, byKey)
	if after != "" {
		i++
	}
	end := min(len(s.keys), i+pageItems)
	if err := s.give(ctx, (end-i)*itemBytes); err != nil {
		return store.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if after == "" {
		s.reads++
	}
	return store.Page{Items: s.keys[i:end], Revision: int64(len(s.items)), More: end < len(s.keys)}, nil
}

// members reads the list.
func (s *wideStore) members(ctx context.Context, _ bool) ([]peer.Member, error) {
	s.mu.Lock()
	l := slices.Collect(maps.Values(s.list))
	s.listReads++
	s.mu.Unlock()
	slices.SortFunc(l, func(a, b peer.Member) int { return cmp.Compare(a.ID, b.ID) })
	return l, s.give(ctx, 100+200*len(l))
}

// join puts an instance on the list.
func (s *wideStore) join(ctx context.Context, m peer.Member) {
	for range 2 {
		if s.give(ctx, 100) != nil {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list[m.ID] = m
	s.listWrites++
}

// startingFleet are instances that start together.
type startingFleet struct {
	store *wideStore
	net   *network
	on    map[string]*listener
	// knows is when each knew all for the first time.
	mu    sync.Mutex
	knows map[string]time.Time
}

// knowing notes when an instance knows all.
type knowing struct {
	*listener
	f  *startingFleet
	id string
}

func (k knowing) Changed(u mirror.Update) {
	k.listener.Changed(u)
	if keys := k.f.store.keys; !u.Snapshot || len(u.Items) < len(keys) {
		return
	}
	k.f.mu.Lock()
	defer k.f.mu.Unlock()
	if _, ok := k.f.knows[k.id]; !ok {
		k.f.knows[k.id] = time.Now()
	}
}

// node runs one instance.
func (f *startingFleet) node(ctx context.Context, m peer.Member) {
	l, on := NewChangeLog(), &listener{}
	n := NewNode(m, 1, Ports{
		ChangeLog: l, Store: wayOf{f.store, m.ID}, Net: way{f.net, m.Addr}, Fetcher: way{f.net, m.Addr}, ListMembers: wayOf{f.store, m.ID}.list,
		Register: func() { go f.store.join(ctx, m) }, Clock: time.Now, Event: func(string, ...any) {},
	}, TimingFor(5*time.Second))
	f.net.mu.Lock()
	f.net.nodes[m.Addr] = n
	f.net.links[m.Addr] = m.LinkMbps * 1e6 / 8
	f.net.mu.Unlock()
	f.mu.Lock()
	f.on[m.ID] = on
	f.mu.Unlock()
	_ = mirror.New(n, "", n.times.StoreWait, time.Now, Tee{ChangeLog: l, Listener: knowing{on, f, m.ID}}).Run(ctx)
}

// startPlay is a start of a whole fleet.
type startPlay struct {
	instances, replicas int
	// listed is how many a list of an earlier run names.
	listed int
	// spread is over how long instances come up.
	spread time.Duration
	// disturb happens beside the start.
	disturb func(f *startingFleet)
	// absent is how many of the first instances don't run, though they may be listed.
	absent int
	// within is when all have to know all.
	within time.Duration
	// except is how many need not.
	except int
	// check looks at the fleet before it ends.
	check func(f *startingFleet)
}

// member is the ith instance; one in twenty has a wide link.
func (p startPlay) member(i int) peer.Member {
	id := fmt.Sprint("n", i)
	m := peer.Member{ID: id, Addr: id, DataCentre: fmt.Sprint("dc", i%5), LinkMbps: narrowLink * 8 / 1e6}
	if i%20 == 0 {
		m.LinkMbps = wideLink * 8 / 1e6
	}
	return m
}

// run plays the start and returns the fleet as it stood at the end.
func (p startPlay) run(t *testing.T) *startingFleet {
	t.Helper()
	f := &startingFleet{store: newWideStore(p.replicas), on: map[string]*listener{}, knows: map[string]time.Time{}}
	synctest.Test(t, func(t *testing.T) {
		f.net = &network{nodes: map[string]*Node{}, cut: map[string]bool{}, lose: map[string]int{}, delay: time.Millisecond, until: map[string]time.Time{}, links: map[string]float64{}}
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		began := time.Now()
		for i := range p.listed {
			m := p.member(i)
			f.store.list[m.ID] = m
		}
		if p.disturb != nil {
			g.Go(func() { p.disturb(f) })
		}
		for i := p.absent; i < p.instances; i++ {
			g.Go(func() {
				sleep(ctx, p.spread*time.Duration(i*7919%p.instances)/time.Duration(p.instances))
				f.node(ctx, p.member(i))
			})
		}
		time.Sleep(p.within)
		f.mu.Lock()
		if late := p.instances - p.absent - len(f.knows); late > p.except {
			t.Errorf("%d of %d instances do not know all after %s, want at most %d", late, p.instances, p.within, p.except)
		}
		var last time.Duration
		for _, at := range f.knows {
			last = max(last, at.Sub(began))
		}
		f.mu.Unlock()
		f.store.mu.Lock()
		t.Logf("%d instances before %d replicas: the last of %d that know all after %s, the store read whole %d times, %d calls, %.1f MB, %d reads of the list, %d joined",
			p.instances, p.replicas, len(f.knows), last, f.store.reads, f.store.calls, float64(f.store.bytes)/1e6, f.store.listReads, f.store.listWrites)
		f.store.mu.Unlock()
		if p.check != nil {
			p.check(f)
		}
		cancel()
		g.Wait()
		time.Sleep(3 * time.Second)
	})
	return f
}

// All replicas come up within seconds: their changes reach all soon after they are made,
// and few ask the store.
func TestManyChangesReachTheWholeFleet(t *testing.T) {
	const rounds, each = 30, 150
	var made int64
	startPlay{instances: 600, listed: 48, spread: startSpread, within: 12 * time.Second,
		disturb: func(f *startingFleet) {
			time.Sleep(4 * time.Second)
			for range rounds {
				for i := range each {
					made = f.store.put(fmt.Sprintf("servers/i-%08x", uint32(made)*2654435761), random(60)+fmt.Sprint(i))
				}
				time.Sleep(100 * time.Millisecond)
				f.behind(t, made, 15*each)
			}
		},
		check: func(f *startingFleet) {
			f.behind(t, made, 0)
			if f.store.calls > 1500 {
				t.Errorf("%d calls of the store, want at most 1,500", f.store.calls)
			}
		},
	}.run(t)
}

// behind fails if an instance is more than so many revisions behind, or out of touch.
func (f *startingFleet) behind(t *testing.T, revision, most int64) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	n, lost := 0, 0
	for _, on := range f.on {
		r, _, l := on.state()
		if revision-r > most {
			n++
		}
		if l {
			lost++
		}
	}
	if n > 0 || lost > 0 {
		t.Errorf("%d instances are more than %d revisions behind, %d are out of touch", n, most, lost)
	}
}

// mostBytes is what a start may take from the store, in bytes, for any size of fleet.
const mostBytes = 100e6

// A whole fleet starts, with nobody known, and after all were ended: all know all 10,000
// replicas in time, and the store gives out no more for twice the instances.
func TestWholeFleetStarts(t *testing.T) {
	for _, c := range []struct {
		name string
		play startPlay
	}{
		{"1,000 instances for the first time", startPlay{instances: 1000, replicas: 10_000, spread: 1800 * time.Millisecond, within: 10 * time.Second}},
		{"2,000 instances for the first time", startPlay{instances: 2000, replicas: 10_000, spread: 1800 * time.Millisecond, within: 10 * time.Second}},
		{"1,000 instances again", startPlay{instances: 1000, replicas: 10_000, listed: 48, spread: startSpread, within: 5 * time.Second}},
		{"2,000 instances again", startPlay{instances: 2000, replicas: 10_000, listed: 48, spread: startSpread, within: 5 * time.Second}},
		{"7 instances for the first time", startPlay{instances: 7, replicas: 21, spread: startSpread, within: 2 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := c.play.run(t)
			if f.store.bytes > mostBytes {
				t.Errorf("the store gave out %.0f MB, want at most %.0f", float64(f.store.bytes)/1e6, mostBytes/1e6)
			}
		})
	}
}

// cutOff cuts an instance off from all others; f.net.mu is held.
func (f *startingFleet) cutOff(id string) {
	for other := range f.net.nodes {
		f.net.cut[id+">"+other] = true
		f.net.cut[other+">"+id] = true
	}
}

// The start of a whole fleet beside troubles: nobody reads the store whole but few, and
// all know all soon after it is over.
func TestWholeFleetStartsInTrouble(t *testing.T) {
	const instances, replicas, listed = 500, 3000, 48
	for _, c := range []struct {
		name string
		play startPlay
		// reads is how often the store may be read whole.
		reads int
	}{
		{"the store is sixty times slower", startPlay{listed: listed, within: 12 * time.Second, disturb: func(f *startingFleet) {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			f.store.slow = 60
		}}, 4},
		{"the store turns a third away for four seconds", startPlay{listed: listed, within: 9 * time.Second, disturb: func(f *startingFleet) {
			f.store.turnAway(func(id string) bool { return len(id)%3 == 0 || id[len(id)-1]%3 == 0 })
			time.Sleep(4 * time.Second)
			f.store.turnAway(nil)
		}}, 6},
		{"the store is away for three seconds", startPlay{listed: listed, within: 8 * time.Second, disturb: func(f *startingFleet) {
			f.store.setDown(true)
			time.Sleep(3 * time.Second)
			f.store.setDown(false)
		}}, 6},
		{"both that read the store first are turned away", startPlay{listed: listed, within: 4 * time.Second, except: 2, disturb: func(f *startingFleet) {
			var l []peer.Member
			for _, m := range f.store.list {
				l = append(l, m)
			}
			w := Watchers(l)
			f.store.turnAway(func(id string) bool { return id == w[0].ID || id == w[1].ID })
		}}, 6},
		{"three datagrams in ten are lost", startPlay{listed: listed, within: 8 * time.Second, disturb: func(f *startingFleet) {
			f.net.mu.Lock()
			defer f.net.mu.Unlock()
			f.net.lossPart = 0.3
		}}, 6},
		{"those that read the store are cut off midway", startPlay{listed: listed, within: 10 * time.Second, except: 2, disturb: func(f *startingFleet) {
			time.Sleep(400 * time.Millisecond)
			var l []peer.Member
			for _, m := range f.store.list {
				l = append(l, m)
			}
			f.net.mu.Lock()
			defer f.net.mu.Unlock()
			for _, w := range Watchers(l) {
				f.cutOff(w.ID)
			}
		}}, 8},
		{"all that are listed have ended", startPlay{listed: listed, absent: listed, within: 15 * time.Second}, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := c.play
			p.instances, p.replicas, p.spread = instances, replicas, startSpread
			if f := p.run(t); f.store.reads > c.reads {
				t.Errorf("the store was read whole %d times, want at most %d", f.store.reads, c.reads)
			}
		})
	}
}

// transferOf gives the same bytes to all that fetch.
type transferOf []byte

func (b transferOf) Fetch(context.Context, string, int64) ([]byte, error) { return b, nil }

// An instance takes no state that is torn, older than its own, or none at all.
func TestNoBadStateIsTaken(t *testing.T) {
	whole := func(revision int64) []byte {
		items, err := pack([]store.Item{{Key: "a", Value: []byte(random(2000)), Revision: 7}})
		if err != nil {
			t.Fatal(err)
		}
		b, err := encode(message{Answer: &answer{All: true, Revision: revision}}, items)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	flipped := whole(9)
	flipped[len(flipped)/2] ^= 1
	for _, c := range []struct {
		name string
		b    []byte
		ok   bool
	}{
		{"sound", whole(9), true},
		{"torn", whole(9)[:1500], false},
		{"with a bit turned", flipped, false},
		{"older", whole(7), false},
		{"empty", nil, false},
		{"no state", []byte("\x00{}"), false},
		{"other bytes", []byte(random(100)), false},
	} {
		l := NewChangeLog()
		l.Reset([]store.Item{{Key: "a", Revision: 7}}, 8)
		l.Confirm(time.Now())
		n := NewNode(peer.Member{ID: "n"}, 1, Ports{ChangeLog: l, Fetcher: transferOf(c.b), Clock: time.Now, Event: func(string, ...any) {}}, times)
		if a, err := n.fetch(t.Context(), "x", -1); (err == nil) != c.ok {
			t.Errorf("%s: %d items, %v", c.name, len(a.Items), err)
		}
	}
}

// slowTransfer takes its time, as where the process stands still.
type slowTransfer struct {
	b    []byte
	took time.Duration
	now  *time.Time
}

func (s slowTransfer) Fetch(context.Context, string, int64) ([]byte, error) {
	*s.now = s.now.Add(s.took)
	return s.b, nil
}

// A whole that was long under way is passed on as old as it is.
func TestAWholeIsPassedOnAsOldAsItIs(t *testing.T) {
	items, err := pack([]store.Item{{Key: "a", Revision: 7}})
	if err != nil {
		t.Fatal(err)
	}
	b, err := encode(message{Answer: &answer{All: true, Revision: 9, Age: 500}}, items)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_700_000_000, 0)
	n := NewNode(peer.Member{ID: "n"}, 1, Ports{ChangeLog: NewChangeLog(), Fetcher: slowTransfer{b, 3 * time.Second, &now}, Clock: func() time.Time { return now }, Event: func(string, ...any) {}}, times)
	if _, err := n.fetch(t.Context(), "x", -1); err != nil {
		t.Fatal(err)
	}
	p, err := n.passedOn(-1)
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(p)
	if err != nil || m.Answer.age() < 3500*time.Millisecond {
		t.Errorf("it is passed on as %s old, want 3.5 s at least, %v", m.Answer.age(), err)
	}
}
