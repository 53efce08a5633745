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

// The first use of the packer creates its channels, which must not happen inside the
// synctest bubble of a test.
var _, _ = pack([]store.Item{{Key: "k"}})

// fakeStore is a feed that keeps its full history until compact is called.
type fakeStore struct {
	mu    sync.Mutex
	items []store.Item
	down  bool
	calls int
	// reads is the number of calls that read all keys.
	reads int
	// compactedTo is the revision before which the history is gone.
	compactedTo int64
	// missesChanges has calls for changes return none.
	missesChanges bool
}

// setMissesChanges sets whether calls for changes return none.
func (f *fakeStore) setMissesChanges(missesChanges bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missesChanges = missesChanges
}

// compact compacts the history and ends the calls that wait.
func (f *fakeStore) compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.compactedTo = int64(len(f.items)) + 1
	f.items = append(f.items, store.Item{Key: "z", Revision: f.compactedTo})
}

var errDown = errors.New("down")

func (f *fakeStore) put(key, value string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := int64(len(f.items) + 1)
	f.items = append(f.items, store.Item{Key: key, Value: []byte(value), Revision: r})
	return r
}

// setDown sets whether the store fails all calls, and returns the number of calls so far.
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
		d, isCompacted, missesChanges := f.down, after < f.compactedTo, f.missesChanges
		f.mu.Unlock()
		switch {
		case isCompacted:
			return store.Changes{}, store.ErrCompacted
		case d:
			return store.Changes{}, errDown
		case missesChanges && ctx.Err() == nil:
			continue
		case ctx.Err() != nil:
			return store.Changes{}, ctx.Err()
		case len(l) > 0 || !time.Now().Before(end):
			return store.Changes{Items: l, Revision: n}, nil
		}
	}
}

// network delivers datagrams after a delay. cut has the links that are cut, as "from>to".
type network struct {
	mu    sync.Mutex
	nodes map[string]*Node
	cut   map[string]bool
	// dropNext is how many of the next datagrams of each link are lost.
	dropNext map[string]int
	delay    time.Duration
	// rate is what each instance's link sends in a second, in bytes; 0 for no bound. A
	// datagram that would wait longer than maxQueueDelay is lost.
	rate       float64
	linkFreeAt map[string]time.Time
	// transferDelay is added to the time that the bytes of a fetch take.
	transferDelay time.Duration
	// lossRate is the part of all datagrams that is lost.
	lossRate float64
	// linkRates are the rates of the links that differ from rate.
	linkRates map[string]float64
}

// rateOf returns what the instance's link sends in a second, in bytes; n.mu is held.
func (n *network) rateOf(from string) float64 {
	if r, ok := n.linkRates[from]; ok {
		return r
	}
	return n.rate
}

// maxQueueDelay is the length of a link's queue.
const maxQueueDelay = 200 * time.Millisecond

// reserve returns how long the bytes of a connection take on the sender's link; n.mu is
// held.
func (n *network) reserve(from string, bytes int) time.Duration {
	rate := n.rateOf(from)
	if rate == 0 {
		return 0
	}
	now := time.Now()
	at := n.linkFreeAt[from]
	if at.Before(now) {
		at = now
	}
	at = at.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	n.linkFreeAt[from] = at
	return at.Sub(now)
}

// queue returns how long a datagram takes on the sender's link, and whether it is sent at
// all; n.mu is held.
func (n *network) queue(from string, bytes int) (time.Duration, bool) {
	rate := n.rateOf(from)
	if rate == 0 {
		return 0, true
	}
	now := time.Now()
	at := n.linkFreeAt[from]
	if at.Before(now) {
		at = now
	}
	if at.Sub(now) > maxQueueDelay {
		return 0, false
	}
	at = at.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	n.linkFreeAt[from] = at
	return at.Sub(now), true
}

type endpoint struct {
	n    *network
	from string
}

func (w endpoint) Send(to string, b []byte) error {
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	x := w.n.nodes[to]
	if x == nil || w.n.cut[w.from+">"+to] {
		return nil
	}
	if w.n.dropNext[w.from+">"+to] > 0 {
		w.n.dropNext[w.from+">"+to]--
		return nil
	}
	if rand.Float64() < w.n.lossRate {
		return nil
	}
	d, ok := w.n.queue(w.from, len(b))
	if ok {
		time.AfterFunc(d+w.n.delay, func() { x.Receive(w.from, b) })
	}
	return nil
}

// Fetch implements Fetcher. The bytes take capacity of the link of the serving instance.
func (w endpoint) Fetch(ctx context.Context, to string, after int64) ([]byte, error) {
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
		d := w.n.reserve(to, len(b)) + w.n.transferDelay
		w.n.mu.Unlock()
		if !sleep(ctx, d) {
			return ctx.Err()
		}
		return nil
	})
	return got, err
}

// recorder records the updates that an instance receives.
type recorder struct {
	mu           sync.Mutex
	revision     int64
	confirmed    time.Time
	disconnected bool
}

func (l *recorder) Changed(u mirror.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = u.Revision
}

func (l *recorder) Confirmed(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.After(l.confirmed) {
		l.confirmed = t
	}
}

func (l *recorder) Disconnected(error) { l.set(true) }

func (l *recorder) Reconnected() { l.set(false) }

func (l *recorder) set(b bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = b
}

func (l *recorder) state() (int64, time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision, l.confirmed, l.disconnected
}

// outage is the state of one instance's path to the store; on is set while it is cut.
type outage struct {
	mu sync.Mutex
	on bool
	// silent has calls during the outage wait until their context ends, instead of failing.
	silent bool
}

func (f *outage) set(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.on = on
}

func (f *outage) get() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.on
}

// storePath is the path of one instance to the store. A call that waits when an outage
// begins gets no answer any more.
type storePath struct {
	*fakeStore
	outage *outage
}

func (g storePath) Read(ctx context.Context, prefix, after string) (store.Page, error) {
	if g.outage.get() {
		if g.outage.silent {
			<-ctx.Done()
		}
		return store.Page{}, errDown
	}
	return g.fakeStore.Read(ctx, prefix, after)
}

func (g storePath) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	if g.outage.get() {
		if g.outage.silent {
			<-ctx.Done()
		}
		return store.Changes{}, errDown
	}
	c, err := g.fakeStore.Changes(ctx, prefix, after, wait)
	if g.outage.get() {
		<-ctx.Done()
		return store.Changes{}, ctx.Err()
	}
	return c, err
}

type fleet struct {
	net   *network
	store *fakeStore
	all   []peer.Member
	// run starts an instance; cancel ends the instances that are running.
	run    func(m peer.Member)
	cancel map[string]context.CancelFunc
	// registered is how many instances, from the first on, are registered as members.
	registered int
	// outages are the outages of each instance's path to the store.
	outages   map[string]*outage
	listeners map[string]*recorder
	// trace receives each event of each instance.
	trace func(instance, event string, fields []any)
}

// startFleet runs n instances, of which the first ones are registered. Each has its own
// path to the store, so that the store can refuse single instances.
func startFleet(ctx context.Context, g *sync.WaitGroup, n, registered int, shared *fakeStore) *fleet {
	f := &fleet{registered: registered, net: &network{nodes: map[string]*Node{}, cut: map[string]bool{}, dropNext: map[string]int{}, delay: time.Millisecond, linkFreeAt: map[string]time.Time{}}, outages: map[string]*outage{}, listeners: map[string]*recorder{}}
	f.store, f.cancel, f.trace = shared, map[string]context.CancelFunc{}, func(string, string, []any) {}
	var m []peer.Member
	for i := range n {
		id := fmt.Sprint("n", i)
		m = append(m, peer.Member{ID: id, Addr: id})
		f.outages[id] = &outage{}
	}
	f.all = m
	f.run = func(x peer.Member) {
		l, listener := NewChangeLog(), &recorder{}
		ctx, cancel := context.WithCancel(ctx)
		f.cancel[x.ID] = cancel
		r := NewNode(x, 1, Ports{ChangeLog: l, Store: storePath{shared, f.outages[x.ID]}, Net: endpoint{f.net, x.ID}, Fetcher: endpoint{f.net, x.ID}, Clock: time.Now, Event: func(e string, l ...any) { f.trace(x.ID, e, l) }}, testTiming)
		r.SetMembers(m[:registered])
		f.net.mu.Lock()
		f.net.nodes[x.ID] = r
		f.net.mu.Unlock()
		f.listeners[x.ID] = listener
		g.Go(func() {
			_ = mirror.New(r, "", testTiming.StoreWait, time.Now, Tee{ChangeLog: l, Listener: listener, Event: func(string, ...any) {}}).Run(ctx)
		})
	}
	for _, x := range m {
		f.run(x)
	}
	return f
}

// restart ends instances and starts them again without state.
func (f *fleet) restart(m ...peer.Member) {
	for _, x := range m {
		f.cancel[x.ID]()
		f.run(x)
	}
}

var testTiming = TimingFor(2 * time.Second)

// withFleet runs n instances on one store for some seconds, calls body, and ends them.
func withFleet(t *testing.T, n int, body func(t *testing.T, f *fleet, s *fakeStore)) {
	t.Helper()
	withRegistered(t, n, n, body)
}

// withRegistered is withFleet for n instances of which the first ones are registered.
func withRegistered(t *testing.T, n, registered int, body func(t *testing.T, f *fleet, s *fakeStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		s := &fakeStore{}
		s.put("a", "1")
		f := startFleet(ctx, &g, n, registered, s)
		time.Sleep(5 * time.Second)
		body(t, f, s)
		cancel()
		g.Wait()
		time.Sleep(3 * time.Second)
	})
}

// members returns the registered members.
func (f *fleet) members() []peer.Member {
	var m []peer.Member
	for i := range f.registered {
		id := fmt.Sprint("n", i)
		m = append(m, peer.Member{ID: id, Addr: id})
	}
	return m
}

// endWatchers cuts the watchers off from all others and the store, as if they had ended.
func (f *fleet) endWatchers() map[string]bool {
	ended := map[string]bool{}
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	for _, w := range Watchers(f.members()) {
		ended[w.ID] = true
		f.outages[w.ID].set(true)
		for id := range f.listeners {
			f.net.cut[w.ID+">"+id] = true
			f.net.cut[id+">"+w.ID] = true
		}
	}
	return ended
}

// random returns a string of the size that does not compress.
func random(size int) string {
	r := rand.New(rand.NewPCG(1, 1))
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return string(b)
}
