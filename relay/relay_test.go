package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fieldvale/mirror"
	"fieldvale/peer"
	"fieldvale/standin/seed"
	"fieldvale/store"
)

var _ = seed.Fix()

// fakeStore is a feed whose history is kept whole.
type fakeStore struct {
	mu    sync.Mutex
	items []store.Item
	down  bool
	calls int
	// reads are the calls that read all keys.
	reads int
	// forgotten is the revision before which the history is gone.
	forgotten int64
}

// compact forgets the history and ends the calls that wait.
func (f *fakeStore) compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgotten = int64(len(f.items)) + 1
	f.items = append(f.items, store.Item{Key: "z", Revision: f.forgotten})
}

var errDown = errors.New("down")

func (f *fakeStore) put(key, value string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := int64(len(f.items) + 1)
	f.items = append(f.items, store.Item{Key: key, Value: []byte(value), Revision: r})
	return r
}

func (f *fakeStore) Read(context.Context, string, string) (store.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	f.reads++
	if f.down {
		return store.Page{}, errDown
	}
	return store.Page{Items: append([]store.Item(nil), f.items...), Revision: int64(len(f.items))}, nil
}

func (f *fakeStore) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (store.Changes, error) {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		n := int64(len(f.items))
		l := append([]store.Item(nil), f.items[min(after, n):]...)
		d, gone := f.down, after < f.forgotten
		f.mu.Unlock()
		switch {
		case gone:
			return store.Changes{}, store.ErrCompacted
		case d:
			return store.Changes{}, errDown
		case ctx.Err() != nil:
			return store.Changes{}, ctx.Err()
		case len(l) > 0 || !time.Now().Before(end):
			return store.Changes{Items: l, Revision: n}, nil
		}
	}
}

// network delivers datagrams after a delay; cut holds the ways that are cut.
type network struct {
	mu    sync.Mutex
	nodes map[string]*Node
	cut   map[string]bool
	delay time.Duration
}

type way struct {
	n    *network
	from string
}

func (w way) Send(to string, b []byte) error {
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	x := w.n.nodes[to]
	if x == nil || w.n.cut[w.from+">"+to] {
		return nil
	}
	time.AfterFunc(w.n.delay, func() { x.Receive(w.from, b) })
	return nil
}

// listener notes what a follower learns.
type listener struct {
	mu        sync.Mutex
	revision  int64
	confirmed time.Time
	lost      bool
}

func (l *listener) Changed(u mirror.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = u.Revision
}

func (l *listener) Confirmed(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.After(l.confirmed) {
		l.confirmed = t
	}
}

func (l *listener) Lost(error) { l.set(true) }
func (l *listener) Regained()  { l.set(false) }

func (l *listener) set(b bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = b
}

func (l *listener) state() (int64, time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision, l.confirmed, l.lost
}

type flag struct {
	mu sync.Mutex
	on bool
}

func (f *flag) set(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.on = on
}

func (f *flag) get() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.on
}

// gate is one instance's way to the store. A call that waits when the way is
// cut hears nothing any more.
type gate struct {
	*fakeStore
	away *flag
}

func (g gate) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	if g.away.get() {
		return store.Changes{}, errDown
	}
	c, err := g.fakeStore.Changes(ctx, prefix, after, wait)
	if g.away.get() {
		<-ctx.Done()
		return store.Changes{}, ctx.Err()
	}
	return c, err
}

type fleet struct {
	net *network
	// away says whose way to the store is cut.
	away map[string]*flag
	on   map[string]*listener
}

// start runs n instances; each has its own way to the store, so that the
// store can turn single ones away.
func start(ctx context.Context, g *sync.WaitGroup, n int, shared *fakeStore) *fleet {
	f := &fleet{net: &network{nodes: map[string]*Node{}, cut: map[string]bool{}, delay: time.Millisecond}, away: map[string]*flag{}, on: map[string]*listener{}}
	var m []peer.Member
	for i := range n {
		id := fmt.Sprint("n", i)
		m = append(m, peer.Member{ID: id, Addr: id})
	}
	for _, x := range m {
		l, on := NewLog(), &listener{}
		f.away[x.ID] = &flag{}
		r := NewNode(x.ID, 1, l, gate{shared, f.away[x.ID]}, way{f.net, x.ID}, time.Now, func(string, ...any) {}, times)
		r.SetMembers(m)
		f.net.mu.Lock()
		f.net.nodes[x.ID] = r
		f.net.mu.Unlock()
		f.on[x.ID] = on
		g.Go(func() { _ = mirror.New(r, "", times.Watch, time.Now, Tee{Log: l, On: on}).Run(ctx) })
	}
	return f
}

var times = TimesFor(2 * time.Second)

// withFleet runs n instances over one store for some seconds, lets play go on
// from there, and ends them.
func withFleet(t *testing.T, n int, play func(t *testing.T, f *fleet, s *fakeStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		s := &fakeStore{}
		s.put("a", "1")
		f := start(ctx, &g, n, s)
		time.Sleep(5 * time.Second)
		play(t, f, s)
		cancel()
		g.Wait()
		time.Sleep(3 * time.Second)
	})
}

func TestChangesReachAllAndAgesAddUp(t *testing.T) {
	withFleet(t, 7, func(t *testing.T, f *fleet, s *fakeStore) {
		calls := s.calls
		r := s.put("a", "2")
		time.Sleep(100 * time.Millisecond)
		for id, on := range f.on {
			if got, _, _ := on.state(); got != r {
				t.Errorf("%s is at revision %d 100 ms after revision %d", id, got, r)
			}
		}
		time.Sleep(15 * time.Second)
		// Two watch, 25 calls each in 15 s.
		if n := s.calls - calls; n > 60 {
			t.Errorf("%d calls of the store in 15 s of an idle fleet, want about 50", n)
		}
		for id, on := range f.on {
			if _, c, _ := on.state(); time.Since(c) > 3*time.Second || time.Since(c) < 0 {
				t.Errorf("%s was confirmed %s ago", id, time.Since(c))
			}
		}
	})
}

// The instances that watch are turned away by the store, each on its own way,
// and others are not: all know of a change within its bound.
func TestChangesReachAllWhenWatchersAreTurnedAway(t *testing.T) {
	withFleet(t, 7, func(t *testing.T, f *fleet, s *fakeStore) {
		var m []peer.Member
		for id := range f.on {
			m = append(m, peer.Member{ID: id, Addr: id})
		}
		for _, w := range Watchers(m) {
			f.away[w.ID].set(true)
		}
		for i := range 12 {
			time.Sleep(time.Duration(150+70*i) * time.Millisecond)
			r := s.put("a", "2")
			time.Sleep(2 * time.Second)
			for id, on := range f.on {
				if got, _, _ := on.state(); got < r {
					t.Errorf("%s is at revision %d 2 s after revision %d", id, got, r)
				}
			}
		}
	})
}

// An instance never takes knowledge for newer than it is, whatever is cut or
// down meanwhile: a change that was made before the moment of a confirmation
// is in force by then.
func TestConfirmationsAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 5, 25).Draw(rt, "steps")
		waits := rapid.SliceOfN(rapid.IntRange(1, 3000), 25, 25).Draw(rt, "waits")
		who := rapid.SliceOfN(rapid.IntRange(0, 4), 50, 50).Draw(rt, "who")
		synctest.Test(t, func(t *testing.T) { playRelay(t, rt, steps, waits, who) })
	})
}

func playRelay(t *testing.T, rt *rapid.T, steps, waits, who []int) {
	ctx, cancel := context.WithCancel(t.Context())
	var g sync.WaitGroup
	s := &fakeStore{}
	s.put("a", "0")
	f := start(ctx, &g, 5, s)
	made := map[int64]time.Time{}
	for i, x := range steps {
		time.Sleep(time.Duration(waits[i]) * time.Millisecond)
		f.disturb(x, who[2*i], who[2*i+1], s, made)
		for id, on := range f.on {
			r, c, _ := on.state()
			for v, at := range made {
				if v > r && at.Before(c) {
					rt.Errorf("%s is at revision %d and confirmed for %s after revision %d was made", id, r, c.Sub(at), v)
				}
			}
		}
	}
	cancel()
	g.Wait()
	time.Sleep(3 * time.Second)
}

func (f *fleet) disturb(step, a, b int, s *fakeStore, made map[int64]time.Time) {
	w := fmt.Sprintf("n%d>n%d", a, b)
	switch step {
	case 0, 1:
		r := s.put("a", "x")
		made[r] = time.Now()
	case 2:
		s.mu.Lock()
		s.down = !s.down
		s.mu.Unlock()
	case 3, 4:
		f.net.mu.Lock()
		f.net.cut[w] = !f.net.cut[w]
		f.net.mu.Unlock()
	case 5:
		f.net.mu.Lock()
		f.net.delay = time.Duration(1+100*a) * time.Millisecond
		f.net.mu.Unlock()
	}
}

// While the store is away few instances go on asking it, and all are back
// soon after it.
func TestStoreThatIsAwayIsLeftAlone(t *testing.T) {
	withFleet(t, 30, func(t *testing.T, f *fleet, s *fakeStore) {
		s.mu.Lock()
		s.down = true
		calls := s.calls
		s.mu.Unlock()
		time.Sleep(10 * time.Second)
		// Two ask each half second or so, the others the less the further
		// behind they are ranked.
		if n := s.calls - calls; n > 130 {
			t.Errorf("%d calls in 10 s of a store that is away, want at most 130", n)
		}
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		r := s.put("a", "2")
		time.Sleep(2 * time.Second)
		for id, on := range f.on {
			if got, _, lost := on.state(); got != r || lost {
				t.Errorf("%s is at revision %d of %d, lost %t, 2 s after the store's return", id, got, r, lost)
			}
		}
	})
}

// The watching instances end while the store is away: all others know what is
// newest three seconds after its return.
func TestStoreReturnsWithoutItsWatchers(t *testing.T) {
	withFleet(t, 30, func(t *testing.T, f *fleet, s *fakeStore) {
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		ended := f.endWatchers()
		time.Sleep(time.Second)
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		r := s.put("a", "2")
		time.Sleep(3 * time.Second)
		for id, on := range f.on {
			if got, _, lost := on.state(); !ended[id] && (got != r || lost) {
				t.Errorf("%s is at revision %d of %d, lost %t, 3 s after the store's return", id, got, r, lost)
			}
		}
	})
}

// endWatchers cuts the watching instances off from all, as if they had ended.
func (f *fleet) endWatchers() map[string]bool {
	var m []peer.Member
	for id := range f.on {
		m = append(m, peer.Member{ID: id, Addr: id})
	}
	ended := map[string]bool{}
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	for _, w := range Watchers(m) {
		ended[w.ID] = true
		f.away[w.ID].set(true)
		for id := range f.on {
			f.net.cut[w.ID+">"+id] = true
			f.net.cut[id+">"+w.ID] = true
		}
	}
	return ended
}

// Changes that come in a crowd cost few calls, and the last one is known to
// all soon after it was made.
func TestCrowdsOfChangesAreGathered(t *testing.T) {
	withFleet(t, 30, func(t *testing.T, f *fleet, s *fakeStore) {
		calls := s.calls
		var r int64
		for range 200 {
			time.Sleep(20 * time.Millisecond)
			r = s.put("a", "2")
		}
		// Two watch, each 200 ms for 4 s.
		if n := s.calls - calls; n > 44 {
			t.Errorf("%d calls for 200 changes in 4 s, want at most 44", n)
		}
		time.Sleep(300 * time.Millisecond)
		for id, on := range f.on {
			if got, _, _ := on.state(); got != r {
				t.Errorf("%s is at revision %d 300 ms after revision %d", id, got, r)
			}
		}
	})
}

// A change that no datagram holds is read from the store by each instance.
func TestLargeChangesReachAll(t *testing.T) {
	withFleet(t, 7, func(t *testing.T, f *fleet, s *fakeStore) {
		r := s.put("a", string(make([]byte, 500_000)))
		time.Sleep(100 * time.Millisecond)
		for id, on := range f.on {
			if got, _, _ := on.state(); got != r {
				t.Errorf("%s is at revision %d 100 ms after revision %d", id, got, r)
			}
		}
	})
}

// A store that forgets its history is read whole by those that watch it; the
// others are told what is new and what is gone.
func TestForgottenHistoryIsReadByFew(t *testing.T) {
	withFleet(t, 30, func(t *testing.T, f *fleet, s *fakeStore) {
		reads := s.reads
		s.compact()
		r := s.put("a", "2")
		time.Sleep(1500 * time.Millisecond)
		for id, on := range f.on {
			if got, _, _ := on.state(); got != r {
				t.Errorf("%s is at revision %d 1.5 s after revision %d", id, got, r)
			}
		}
		if n := s.reads - reads; n > 2 {
			t.Errorf("the store was read whole %d times, want 2 at most", n)
		}
	})
}

func TestLogTellsWhatAWholeReadShows(t *testing.T) {
	l := NewLog()
	l.Reset([]store.Item{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, 3)
	l.Add([]store.Item{{Key: "c", Revision: 4}}, 4)
	l.SetDirect(true)
	l.Confirm(time.Now())
	l.Reset([]store.Item{{Key: "a", Revision: 1}, {Key: "c", Revision: 7}, {Key: "d", Revision: 6}}, 9)
	c, _, s := l.since(3, time.Now())
	got := map[string]string{}
	for _, i := range c.Items {
		got[i.Key] = fmt.Sprint(i.Revision, i.Deleted)
	}
	want := map[string]string{"b": "9 true", "c": "7 false", "d": "6 false"}
	if d := cmp.Diff(want, got); d != "" || s != known || c.Revision != 9 {
		t.Errorf("status %d, revision %d: %s", s, c.Revision, d)
	}
}

// The log keeps a bounded size, whatever is written.
func TestLogIsBounded(t *testing.T) {
	l := NewLog()
	l.Reset(nil, 0)
	for i := range int64(2000) {
		l.Add([]store.Item{{Key: "config", Value: make([]byte, 400_000), Revision: 2*i + 1}, {Key: fmt.Sprint(i), Value: make([]byte, 10_000), Revision: 2*i + 2}}, 2*i+2)
	}
	n := 0
	for _, i := range l.items {
		n += len(i.Value)
	}
	if n > maxLogBytes || len(l.items) > maxLog {
		t.Errorf("%d bytes in %d items", n, len(l.items))
	}
	l.SetDirect(true)
	l.Confirm(time.Now())
	if _, _, s := l.since(10, time.Now()); s != forgotten {
		t.Errorf("a follower far behind is told %d, want %d", s, forgotten)
	}
	if c, _, s := l.since(4000, time.Now()); s != known || len(c.Items) != 0 {
		t.Errorf("a follower that is up to date is told %d with %d items", s, len(c.Items))
	}
}

func TestMessagesSurvivePacking(t *testing.T) {
	var l []store.Item
	for i := range 100 {
		l = append(l, store.Item{Key: fmt.Sprint("key", i), Value: make([]byte, 200), Revision: int64(i)})
	}
	p, err := pack(l)
	if err != nil || len(p) > 4<<10 {
		t.Fatalf("%d bytes, %v", len(p), err)
	}
	b, err := encode(message{Answer: &answer{ID: 7, Revision: 9}}, p)
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(b)
	if err != nil || len(m.Answer.Items) != 100 || m.Answer.Items[99].Key != "key99" || m.Answer.ID != 7 {
		t.Fatalf("%v, %v", m.Answer, err)
	}
	for _, x := range [][]byte{nil, {packed, 1, 2}, {packed, 0, 0, 0, 9, 1}, append([]byte{packed, 0, 0, 0, 2, '{', '}'}, p...), {plain}, {9}, b[:len(b)-3]} {
		if _, err := decode(x); err == nil {
			t.Errorf("%v was read", x)
		}
	}
}

// Pieces come in any order, some twice, those of several messages mixed.
func TestPiecesAreJoined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p pieces
		want := map[string]bool{}
		var all [][]byte
		for id := range rapid.IntRange(1, 4).Draw(t, "messages") {
			b := []byte{plain}
			for len(b) < rapid.IntRange(1, 5*pieceSize).Draw(t, "size") {
				b = append(b, byte(id), byte(len(b)>>8), byte(len(b)))
			}
			l, err := split(uint64(id), b)
			if err != nil {
				t.Fatal(err)
			}
			want[string(b)] = true
			all = append(all, l...)
			if len(l) > 1 {
				all = append(all, l[0])
			}
		}
		for _, i := range rapid.Permutation(indexes(len(all))).Draw(t, "order") {
			m, err := p.join("a", all[i])
			if err != nil {
				t.Fatal(err)
			}
			if m != nil {
				if _, ok := want[string(m)]; !ok {
					t.Fatalf("a message of %d bytes was never sent", len(m))
				}
				want[string(m)] = false
			}
		}
		for m, missing := range want {
			if missing {
				t.Errorf("a message of %d bytes did not come", len(m))
			}
		}
	})
}

func indexes(n int) []int {
	l := make([]int, n)
	for i := range l {
		l[i] = i
	}
	return l
}

// A configuration of the usual size reaches all without the store; an instance
// that the store turns away gets one of any size from others.
func TestLargeChangesPassBetweenInstances(t *testing.T) {
	for _, size := range []int{10_000, 300_000} {
		withFleet(t, 7, func(t *testing.T, f *fleet, s *fakeStore) {
			var m []peer.Member
			for id := range f.on {
				m = append(m, peer.Member{ID: id, Addr: id})
			}
			last := peer.Rank(watchersKey, m)[6].ID
			f.away[last].set(true)
			calls := s.calls
			v := make([]byte, size)
			r := rand.New(rand.NewPCG(1, 1))
			for i := range v {
				v[i] = byte(r.Uint32())
			}
			rev := s.put("a", string(v))
			time.Sleep(time.Second)
			for id, on := range f.on {
				if got, _, _ := on.state(); got != rev {
					t.Errorf("%s is at revision %d 1 s after revision %d of %d bytes", id, got, rev, size)
				}
			}
			// Two watch, each 600 ms.
			if n := s.calls - calls; size < maxPacked && n > 6 {
				t.Errorf("%d calls of the store for %d bytes", n, size)
			}
		})
	}
}
