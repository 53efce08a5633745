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

	"fieldvale/mirror"
	"fieldvale/peer"
	"fieldvale/standin/seed"
	"fieldvale/store"
)

var _ = seed.Fix()

// The packer makes its channels with its first use, which has to be outside the bubbles
// of tests.
var _, _ = pack([]store.Item{{Key: "k"}})

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
	// deaf says that calls for changes hear of none.
	deaf bool
}

// setDeaf has calls for changes hear of none, or of all again.
func (f *fakeStore) setDeaf(deaf bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deaf = deaf
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

// setDown has the store fail all calls, or none, and returns how many calls
// there were until then.
func (f *fakeStore) setDown(down bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	return f.calls
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
		d, gone, deaf := f.down, after < f.forgotten, f.deaf
		f.mu.Unlock()
		switch {
		case gone:
			return store.Changes{}, store.ErrCompacted
		case d:
			return store.Changes{}, errDown
		case deaf && ctx.Err() == nil:
			continue
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
	// lose has how many of the next datagrams of each way are lost.
	lose  map[string]int
	delay time.Duration
	// rate is what each instance's link sends in a second, in bytes; 0 for no
	// bound. What would wait longer than fullAfter is lost.
	rate  float64
	until map[string]time.Time
	// transit is how long what was fetched is under way once it was given.
	transit time.Duration
	// lossPart is the part of all datagrams that are lost.
	lossPart float64
	// links are the rates of single instances' links, where they differ.
	links map[string]float64
}

// rateOf returns what the instance's link sends in a second, in bytes; n.mu is held.
func (n *network) rateOf(from string) float64 {
	if r, ok := n.links[from]; ok {
		return r
	}
	return n.rate
}

// fullAfter is how long the queue of a link is.
const fullAfter = 200 * time.Millisecond

// reserve returns how long bytes of a connection take over their sender's link; n.mu is
// held.
func (n *network) reserve(from string, bytes int) time.Duration {
	rate := n.rateOf(from)
	if rate == 0 {
		return 0
	}
	now := time.Now()
	at := n.until[from]
	if at.Before(now) {
		at = now
	}
	at = at.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	n.until[from] = at
	return at.Sub(now)
}

// queue returns how long the datagram waits for its sender's link, and whether
// it is sent at all; n.mu is held.
func (n *network) queue(from string, bytes int) (time.Duration, bool) {
	rate := n.rateOf(from)
	if rate == 0 {
		return 0, true
	}
	now := time.Now()
	at := n.until[from]
	if at.Before(now) {
		at = now
	}
	if at.Sub(now) > fullAfter {
		return 0, false
	}
	at = at.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	n.until[from] = at
	return at.Sub(now), true
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
	if w.n.lose[w.from+">"+to] > 0 {
		w.n.lose[w.from+">"+to]--
		return nil
	}
	if rand.Float64() < w.n.lossPart {
		return nil
	}
	d, ok := w.n.queue(w.from, len(b))
	if ok {
		time.AfterFunc(d+w.n.delay, func() { x.Receive(w.from, b) })
	}
	return nil
}

// Fetch implements Transfer. The bytes pass the link of the one who gives them.
func (w way) Fetch(ctx context.Context, to string, after int64) ([]byte, error) {
	w.n.mu.Lock()
	x := w.n.nodes[to]
	cut := x == nil || w.n.cut[w.from+">"+to] || w.n.cut[to+">"+w.from]
	w.n.mu.Unlock()
	if cut {
		sleep(ctx, time.Second)
		return nil, errDown
	}
	if !sleep(ctx, 2*w.n.delay) {
		return nil, ctx.Err()
	}
	var got []byte
	err := x.Serve(ctx, after, func(b []byte) error {
		got = b
		w.n.mu.Lock()
		d := w.n.reserve(to, len(b)) + w.n.transit
		w.n.mu.Unlock()
		if !sleep(ctx, d) {
			return ctx.Err()
		}
		return nil
	})
	return got, err
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

func (l *listener) Disconnected(error) { l.set(true) }

func (l *listener) Reconnected() { l.set(false) }

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
	// silent says that calls made while it is on hear nothing, in place of a refusal.
	silent bool
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

func (g gate) Read(ctx context.Context, prefix, after string) (store.Page, error) {
	if g.away.get() {
		if g.away.silent {
			<-ctx.Done()
		}
		return store.Page{}, errDown
	}
	return g.fakeStore.Read(ctx, prefix, after)
}

func (g gate) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	if g.away.get() {
		if g.away.silent {
			<-ctx.Done()
		}
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
	net   *network
	store *fakeStore
	all   []peer.Member
	// run starts an instance anew; ended ends those that ran before.
	run   func(m peer.Member)
	ended map[string]context.CancelFunc
	// listed is how many instances, from the first on, are on the list.
	listed int
	// away says whose way to the store is cut.
	away map[string]*flag
	on   map[string]*listener
	// trace gets each event of each instance.
	trace func(instance, event string, fields []any)
}

// start runs n instances, of which the first ones are listed; each has its
// own way to the store, so that the store can turn single ones away.
func start(ctx context.Context, g *sync.WaitGroup, n, listed int, shared *fakeStore) *fleet {
	f := &fleet{listed: listed, net: &network{nodes: map[string]*Node{}, cut: map[string]bool{}, lose: map[string]int{}, delay: time.Millisecond, until: map[string]time.Time{}}, away: map[string]*flag{}, on: map[string]*listener{}}
	f.store, f.ended, f.trace = shared, map[string]context.CancelFunc{}, func(string, string, []any) {}
	var m []peer.Member
	for i := range n {
		id := fmt.Sprint("n", i)
		m = append(m, peer.Member{ID: id, Addr: id})
		f.away[id] = &flag{}
	}
	f.all = m
	f.run = func(x peer.Member) {
		l, on := NewChangeLog(), &listener{}
		ctx, cancel := context.WithCancel(ctx)
		f.ended[x.ID] = cancel
		r := NewNode(x, 1, Ports{ChangeLog: l, Store: gate{shared, f.away[x.ID]}, Net: way{f.net, x.ID}, Fetcher: way{f.net, x.ID}, Clock: time.Now, Event: func(e string, l ...any) { f.trace(x.ID, e, l) }}, times)
		r.SetMembers(m[:listed])
		f.net.mu.Lock()
		f.net.nodes[x.ID] = r
		f.net.mu.Unlock()
		f.on[x.ID] = on
		g.Go(func() {
			_ = mirror.New(r, "", times.StoreWait, time.Now, Tee{ChangeLog: l, Listener: on, Event: func(string, ...any) {}}).Run(ctx)
		})
	}
	for _, x := range m {
		f.run(x)
	}
	return f
}

// restart ends instances and starts them again, which know nothing then.
func (f *fleet) restart(m ...peer.Member) {
	for _, x := range m {
		f.ended[x.ID]()
		f.run(x)
	}
}

var times = TimingFor(2 * time.Second)

// withFleet runs n instances over one store for some seconds, lets play go on
// from there, and ends them.
func withFleet(t *testing.T, n int, play func(t *testing.T, f *fleet, s *fakeStore)) {
	t.Helper()
	withListed(t, n, n, play)
}

// withListed is withFleet for n instances of which the first ones are listed.
func withListed(t *testing.T, n, listed int, play func(t *testing.T, f *fleet, s *fakeStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		s := &fakeStore{}
		s.put("a", "1")
		f := start(ctx, &g, n, listed, s)
		time.Sleep(5 * time.Second)
		play(t, f, s)
		cancel()
		g.Wait()
		time.Sleep(3 * time.Second)
	})
}

// members returns the fleet's listed instances.
func (f *fleet) members() []peer.Member {
	var m []peer.Member
	for i := range f.listed {
		id := fmt.Sprint("n", i)
		m = append(m, peer.Member{ID: id, Addr: id})
	}
	return m
}

// endWatchers cuts the watching instances off from all, as if they had ended.
func (f *fleet) endWatchers() map[string]bool {
	ended := map[string]bool{}
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	for _, w := range Watchers(f.members()) {
		ended[w.ID] = true
		f.away[w.ID].set(true)
		for id := range f.on {
			f.net.cut[w.ID+">"+id] = true
			f.net.cut[id+">"+w.ID] = true
		}
	}
	return ended
}

// random returns so many bytes that do not compress.
func random(size int) string {
	r := rand.New(rand.NewPCG(1, 1))
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return string(b)
}
