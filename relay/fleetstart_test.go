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

// If each instance of a starting fleet reads a snapshot from the store, the load on the
// store grows as instances times replicas. Of 985 instances before 10,000 replicas that
// start together, each reads 21 pages, and the store's link carries some 200 of these reads
// in a second; a page that takes longer than a second fails, and its reader starts again.
// Such a fleet makes 35,000 calls of the store in place of 2,000, one instance is ready
// after 24 s, and 97 of 100 requests are refused. These tests guard against such a load.

const (
	// storeRate is the capacity of the store's link, in bytes a second, pageSize the number
	// of keys in a page, and minStoreLatency the shortest duration of a call.
	storeRate       = 1000e6 / 8
	pageSize        = 500
	minStoreLatency = 4 * time.Millisecond
	// itemBytes is the size of a replica's entry in an answer of the store.
	itemBytes = 700
	// narrowLink and wideLink are the capacities of the instances' links, in bytes a second.
	narrowLink = 20e6 / 8
	wideLink   = 200e6 / 8
	// startSpread is the time over which the instances start.
	startSpread = 300 * time.Millisecond
)

// pagedStore is a store with many keys whose answers share one link.
type pagedStore struct {
	fakeStore
	// keys are all items, sorted by key.
	keys []store.Item
	// list has the registered members by id.
	list map[string]peer.Member
	// delayFactor multiplies minStoreLatency.
	delayFactor float64
	// refused reports whether the store refuses an instance; nil serves all.
	refused func(id string) bool
	// missing has the members that the lists lack which an instance reads stale; nil for none.
	missing func(reader, member string) bool
	// linkFreeAt is when all bytes so far have been sent.
	linkFreeAt time.Time
	// bytes is the number of bytes sent, listReads how often the members were read, and
	// listWrites how many instances registered.
	bytes, listReads, listWrites int
}

func newPagedStore(replicas int) *pagedStore {
	s := &pagedStore{list: map[string]peer.Member{}, delayFactor: 1}
	for i := range replicas {
		s.keys = append(s.keys, store.Item{Key: fmt.Sprintf("servers/i-%08x", uint32(i)*2654435761), Value: fmt.Appendf(nil, "%d", i), Revision: int64(i + 1)})
	}
	slices.SortFunc(s.keys, byKey)
	s.items = make([]store.Item, replicas)
	return s
}

// refuse has the store refuse the instances for which match returns true; nil serves all.
func (s *pagedStore) refuse(match func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = match
}

// pagedStorePath is the path of one instance to the store.
type pagedStorePath struct {
	*pagedStore
	id string
}

func (w pagedStorePath) isRefused() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused != nil && w.refused(w.id)
}

func (w pagedStorePath) Read(ctx context.Context, prefix, after string) (store.Page, error) {
	if w.isRefused() {
		return store.Page{}, errDown
	}
	return w.pagedStore.Read(ctx, prefix, after)
}

func (w pagedStorePath) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	if w.isRefused() {
		return store.Changes{}, errDown
	}
	return w.pagedStore.Changes(ctx, prefix, after, wait)
}

func (w pagedStorePath) list(ctx context.Context, stale bool) ([]peer.Member, error) {
	if w.isRefused() {
		return nil, errDown
	}
	l, err := w.members(ctx, stale)
	if stale && w.missing != nil {
		l = slices.DeleteFunc(l, func(m peer.Member) bool { return w.missing(w.id, m.ID) })
	}
	return l, err
}

// transmit counts a call and waits until its answer has been sent.
func (s *pagedStore) transmit(ctx context.Context, bytes int) error {
	s.mu.Lock()
	s.calls++
	s.bytes += bytes
	if now := time.Now(); s.linkFreeAt.Before(now) {
		s.linkFreeAt = now
	}
	s.linkFreeAt = s.linkFreeAt.Add(time.Duration(float64(bytes) / storeRate * float64(time.Second)))
	d := time.Until(s.linkFreeAt) + time.Duration(s.delayFactor*float64(minStoreLatency))
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
func (s *pagedStore) Read(ctx context.Context, _, after string) (store.Page, error) {
	i, _ := slices.BinarySearchFunc(s.keys, store.Item{Key: after}, byKey)
	if after != "" {
		i++
	}
	end := min(len(s.keys), i+pageSize)
	if err := s.transmit(ctx, (end-i)*itemBytes); err != nil {
		return store.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if after == "" {
		s.reads++
	}
	return store.Page{Items: s.keys[i:end], Revision: int64(len(s.items)), More: end < len(s.keys)}, nil
}

// members reads the registered members.
func (s *pagedStore) members(ctx context.Context, _ bool) ([]peer.Member, error) {
	s.mu.Lock()
	l := slices.Collect(maps.Values(s.list))
	s.listReads++
	s.mu.Unlock()
	slices.SortFunc(l, func(a, b peer.Member) int { return cmp.Compare(a.ID, b.ID) })
	return l, s.transmit(ctx, 100+200*len(l))
}

// join registers an instance as a member.
func (s *pagedStore) join(ctx context.Context, m peer.Member) {
	for range 2 {
		if s.transmit(ctx, 100) != nil {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list[m.ID] = m
	s.listWrites++
}

// startingFleet is a fleet of instances that start together.
type startingFleet struct {
	store     *pagedStore
	net       *network
	listeners map[string]*recorder
	mu        sync.Mutex
	// completeAt is when each instance first had all keys.
	completeAt map[string]time.Time
}

// completionListener is a listener that records when an instance has all keys.
type completionListener struct {
	*recorder
	f  *startingFleet
	id string
}

func (k completionListener) Changed(u mirror.Update) {
	k.recorder.Changed(u)
	if keys := k.f.store.keys; !u.Snapshot || len(u.Items) < len(keys) {
		return
	}
	k.f.mu.Lock()
	defer k.f.mu.Unlock()
	if _, ok := k.f.completeAt[k.id]; !ok {
		k.f.completeAt[k.id] = time.Now()
	}
}

// runNode runs one instance.
func (f *startingFleet) runNode(ctx context.Context, m peer.Member) {
	l, listener := NewChangeLog(), &recorder{}
	n := NewNode(m, 1, Ports{
		ChangeLog: l, Store: pagedStorePath{f.store, m.ID}, Net: endpoint{f.net, m.Addr}, Fetcher: endpoint{f.net, m.Addr}, ListMembers: pagedStorePath{f.store, m.ID}.list,
		Register: func() { go f.store.join(ctx, m) }, Clock: time.Now, Event: func(string, ...any) {},
	}, TimingFor(5*time.Second))
	f.net.mu.Lock()
	f.net.nodes[m.Addr] = n
	f.net.linkRates[m.Addr] = m.LinkMbps * 1e6 / 8
	f.net.mu.Unlock()
	f.mu.Lock()
	f.listeners[m.ID] = listener
	f.mu.Unlock()
	_ = mirror.New(n, "", n.timing.StoreWait, time.Now, Tee{ChangeLog: l, Listener: completionListener{listener, f, m.ID}}).Run(ctx)
}

// runUntil runs one instance that starts again at each of the times after began, without the keys of its earlier run.
func (f *startingFleet) runUntil(ctx context.Context, m peer.Member, began time.Time, restarts []time.Duration) {
	for _, d := range restarts {
		x, cancel := context.WithDeadline(ctx, began.Add(d))
		f.runNode(x, m)
		cancel()
		f.mu.Lock()
		delete(f.completeAt, m.ID)
		f.mu.Unlock()
	}
}

// startScenario is the start of a whole fleet.
type startScenario struct {
	instances, replicas int
	// registered is how many instances are registered from an earlier run.
	registered int
	// spread is the time over which the instances start.
	spread time.Duration
	// fault runs concurrently with the start.
	fault func(f *startingFleet)
	// absent is how many of the first instances don't run, though they may be registered.
	absent int
	// isAbsent reports whether an instance doesn't run; nil if only the absent first ones don't.
	isAbsent func(id string) bool
	// restarts are the times at which all unregistered instances end and start again.
	restarts []time.Duration
	// within is the time within which all instances must have all keys.
	within time.Duration
	// maxIncomplete is how many instances may miss keys nevertheless.
	maxIncomplete int
	// check checks the fleet before it ends.
	check func(f *startingFleet)
}

// member returns the ith instance; one in twenty has a wide link.
func (p startScenario) member(i int) peer.Member {
	id := fmt.Sprint("n", i)
	m := peer.Member{ID: id, Addr: id, DataCentre: fmt.Sprint("dc", i%5), LinkMbps: narrowLink * 8 / 1e6}
	if i%20 == 0 {
		m.LinkMbps = wideLink * 8 / 1e6
	}
	return m
}

// run runs the start and returns the fleet in its final state.
func (p startScenario) run(t *testing.T) *startingFleet {
	t.Helper()
	f := &startingFleet{store: newPagedStore(p.replicas), listeners: map[string]*recorder{}, completeAt: map[string]time.Time{}}
	synctest.Test(t, func(t *testing.T) {
		f.net = &network{nodes: map[string]*Node{}, cut: map[string]bool{}, dropNext: map[string]int{}, delay: time.Millisecond, linkFreeAt: map[string]time.Time{}, linkRates: map[string]float64{}}
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		began := time.Now()
		for i := range p.registered {
			m := p.member(i)
			f.store.list[m.ID] = m
		}
		if p.fault != nil {
			g.Go(func() { p.fault(f) })
		}
		absent := p.absent
		for i := p.absent; i < p.instances; i++ {
			if p.isAbsent != nil && p.isAbsent(p.member(i).ID) {
				absent++
				continue
			}
			g.Go(func() {
				sleep(ctx, p.spread*time.Duration(i*7919%p.instances)/time.Duration(p.instances))
				if i >= p.registered {
					f.runUntil(ctx, p.member(i), began, p.restarts)
				}
				f.runNode(ctx, p.member(i))
			})
		}
		time.Sleep(p.within)
		f.mu.Lock()
		if late := p.instances - absent - len(f.completeAt); late > p.maxIncomplete {
			t.Errorf("%d of %d instances miss keys after %s, want at most %d", late, p.instances, p.within, p.maxIncomplete)
		}
		var last time.Duration
		for _, at := range f.completeAt {
			last = max(last, at.Sub(began))
		}
		f.mu.Unlock()
		f.store.mu.Lock()
		t.Logf("%d instances before %d replicas: %d have all keys, the last after %s; store: %d snapshot reads, %d calls, %.1f MB, %d reads of the members, %d registrations",
			p.instances, p.replicas, len(f.completeAt), last, f.store.reads, f.store.calls, float64(f.store.bytes)/1e6, f.store.listReads, f.store.listWrites)
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

// While all replicas start within seconds, their changes must reach all instances soon, and
// few instances may call the store.
func TestManyChangesReachAll(t *testing.T) {
	const rounds, each = 30, 150
	var made int64
	startScenario{instances: 600, registered: 48, spread: startSpread, within: 12 * time.Second,
		fault: func(f *startingFleet) {
			time.Sleep(4 * time.Second)
			for range rounds {
				for i := range each {
					made = f.store.put(fmt.Sprintf("servers/i-%08x", uint32(made)*2654435761), random(60)+fmt.Sprint(i))
				}
				time.Sleep(100 * time.Millisecond)
				f.checkLag(t, made, 15*each)
			}
		},
		check: func(f *startingFleet) {
			f.checkLag(t, made, 0)
			if f.store.calls > 1500 {
				t.Errorf("%d calls of the store, want at most 1,500", f.store.calls)
			}
		},
	}.run(t)
}

// checkLag fails if an instance is more than most revisions behind, or disconnected.
func (f *startingFleet) checkLag(t *testing.T, revision, maxLag int64) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	n, disconnected := 0, 0
	for _, listener := range f.listeners {
		r, _, l := listener.state()
		if revision-r > maxLag {
			n++
		}
		if l {
			disconnected++
		}
	}
	if n > 0 || disconnected > 0 {
		t.Errorf("%d instances are more than %d revisions behind, %d are disconnected, want none", n, maxLag, disconnected)
	}
}

// maxStoreBytes bounds the bytes that the store may send at a start of a fleet of any size.
const maxStoreBytes = 100e6

// At a start without members, and at one after all instances have ended, all instances must
// have all 10,000 replicas in time. The store must send no more for twice the instances.
func TestFleetStarts(t *testing.T) {
	for _, c := range []struct {
		name  string
		start startScenario
	}{
		{"1,000 instances for the first time", startScenario{instances: 1000, replicas: 10_000, spread: 1800 * time.Millisecond, within: 10 * time.Second}},
		{"2,000 instances for the first time", startScenario{instances: 2000, replicas: 10_000, spread: 1800 * time.Millisecond, within: 10 * time.Second}},
		{"1,000 instances again", startScenario{instances: 1000, replicas: 10_000, registered: 48, spread: startSpread, within: 5 * time.Second}},
		{"2,000 instances again", startScenario{instances: 2000, replicas: 10_000, registered: 48, spread: startSpread, within: 5 * time.Second}},
		{"7 instances for the first time", startScenario{instances: 7, replicas: 21, spread: startSpread, within: 2 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := c.start.run(t)
			if f.store.bytes > maxStoreBytes {
				t.Errorf("the store sent %.0f MB, want at most %.0f", float64(f.store.bytes)/1e6, maxStoreBytes/1e6)
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

// During faults at the start of a fleet only few instances may read a snapshot from the
// store, and all must have all keys soon after the fault ends.
func TestFleetStartsDuringFaults(t *testing.T) {
	const instances, replicas, registered = 500, 3000, 48
	for _, c := range []struct {
		name  string
		start startScenario
		// reads bounds how often a snapshot may be read from the store.
		reads int
	}{
		{"the store is sixty times slower", startScenario{registered: registered, within: 12 * time.Second, fault: func(f *startingFleet) {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			f.store.delayFactor = 60
		}}, 4},
		{"the store refuses a third for four seconds", startScenario{registered: registered, within: 9 * time.Second, fault: func(f *startingFleet) {
			f.store.refuse(func(id string) bool { return len(id)%3 == 0 || id[len(id)-1]%3 == 0 })
			time.Sleep(4 * time.Second)
			f.store.refuse(nil)
		}}, 6},
		{"the store is down for three seconds", startScenario{registered: registered, within: 8 * time.Second, fault: func(f *startingFleet) {
			f.store.setDown(true)
			time.Sleep(3 * time.Second)
			f.store.setDown(false)
		}}, 6},
		{"the store refuses both watchers", startScenario{registered: registered, within: 4 * time.Second, maxIncomplete: 2, fault: func(f *startingFleet) {
			var l []peer.Member
			for _, m := range f.store.list {
				l = append(l, m)
			}
			w := Watchers(l)
			f.store.refuse(func(id string) bool { return id == w[0].ID || id == w[1].ID })
		}}, 6},
		{"three datagrams in ten are lost", startScenario{registered: registered, within: 8 * time.Second, fault: func(f *startingFleet) {
			f.net.mu.Lock()
			defer f.net.mu.Unlock()
			f.net.lossRate = 0.3
		}}, 6},
		{"the watchers are cut off midway", startScenario{registered: registered, within: 10 * time.Second, maxIncomplete: 2, fault: func(f *startingFleet) {
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
		{"all members have ended", startScenario{registered: registered, absent: registered, within: 15 * time.Second}, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := c.start
			p.instances, p.replicas, p.spread = instances, replicas, startSpread
			if f := p.run(t); f.store.reads > c.reads {
				t.Errorf("%d snapshots were read from the store, want at most %d", f.store.reads, c.reads)
			}
		})
	}
}

// fixedFetcher returns the same bytes for each fetch.
type fixedFetcher []byte

func (b fixedFetcher) Fetch(context.Context, string, int64) ([]byte, error) { return b, nil }

// A fetched state that is truncated, corrupted, older than the receiver's own, or empty must
// be rejected.
func TestInvalidStateIsRejected(t *testing.T) {
	encodeSnapshot := func(revision int64) []byte {
		items, err := pack([]store.Item{{Key: "a", Value: []byte(random(2000)), Revision: 7}})
		if err != nil {
			t.Fatal(err)
		}
		b, err := encode(message{Answer: &answer{Snapshot: true, Revision: revision}}, items)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	flipped := encodeSnapshot(9)
	flipped[len(flipped)/2] ^= 1
	for _, c := range []struct {
		name string
		b    []byte
		ok   bool
	}{
		{"valid", encodeSnapshot(9), true},
		{"truncated", encodeSnapshot(9)[:1500], false},
		{"with a flipped bit", flipped, false},
		{"older", encodeSnapshot(7), false},
		{"empty", nil, false},
		{"no state", []byte("\x00{}"), false},
		{"other bytes", []byte(random(100)), false},
	} {
		l := NewChangeLog()
		l.Reset([]store.Item{{Key: "a", Revision: 7}}, 8)
		l.Confirm(time.Now())
		n := NewNode(peer.Member{ID: "n"}, 1, Ports{ChangeLog: l, Fetcher: fixedFetcher(c.b), Clock: time.Now, Event: func(string, ...any) {}}, testTiming)
		if a, err := n.fetch(t.Context(), "x", -1); (err == nil) != c.ok {
			t.Errorf("%s state: fetched %d items, error %v, want an error unless valid", c.name, len(a.Items), err)
		}
	}
}

// slowFetcher returns the bytes after a time, as if the process was paused meanwhile.
type slowFetcher struct {
	b    []byte
	took time.Duration
	now  *time.Time
}

func (s slowFetcher) Fetch(context.Context, string, int64) ([]byte, error) {
	*s.now = s.now.Add(s.took)
	return s.b, nil
}

// A snapshot whose transfer took long must be passed on with its actual age: otherwise the
// receiver counts it as confirmed too recently.
func TestFetchedSnapshotKeepsItsAge(t *testing.T) {
	items, err := pack([]store.Item{{Key: "a", Revision: 7}})
	if err != nil {
		t.Fatal(err)
	}
	b, err := encode(message{Answer: &answer{Snapshot: true, Revision: 9, AgeMs: 500}}, items)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_700_000_000, 0)
	n := NewNode(peer.Member{ID: "n"}, 1, Ports{ChangeLog: NewChangeLog(), Fetcher: slowFetcher{b, 3 * time.Second, &now}, Clock: func() time.Time { return now }, Event: func(string, ...any) {}}, testTiming)
	if _, err := n.fetch(t.Context(), "x", -1); err != nil {
		t.Fatal(err)
	}
	p, err := n.encodeState(-1)
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(p)
	if err != nil || m.Answer.age() < 3500*time.Millisecond {
		t.Errorf("the snapshot is passed on with an age of %s, want at least 3.5 s; error %v", m.Answer.age(), err)
	}
}
