package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/peer"
	"fieldvale/store"
)

// Few instances read a snapshot from the store: the watchers, and others, tier after tier,
// only where no instance ranked before them has a snapshot or is about to get one. All
// others fetch it from an instance that has it, so that the load on the store does not
// grow with the fleet.

const (
	// pageTimeout bounds the read of one page of the store.
	pageTimeout = 2 * time.Second
	// snapshotQueryTimeout bounds the query for the address of a snapshot, which is
	// answered without delay.
	snapshotQueryTimeout = 300 * time.Millisecond
	// maxRedirects is how often one instance is queried for another address after the
	// fetch from the address that it named has failed.
	maxRedirects = 3
	// roundPause is the mean pause between two rounds of queries to all sources.
	roundPause = 100 * time.Millisecond
	// tierDelay is how much longer the instances of a tier wait than those of the tier
	// before until they read the store themselves. It bounds the wait for instances that
	// are starting as well: they may be waiting for this one.
	tierDelay = 1500 * time.Millisecond
	// disconnectedTierDelay replaces tierDelay where the instances of the tiers before
	// answered that they can't reach the store, or that they wait for others themselves.
	disconnectedTierDelay = 300 * time.Millisecond
	// registerAfter is how long an unregistered instance queries the members without an
	// answer until it assumes that all of them have ended. Up to registerSpread is added
	// at random: the others then find the first instance that registers.
	registerAfter  = 2500 * time.Millisecond
	registerSpread = 4 * time.Second
	// registerWaitCalls times the duration of a call of the store, plus up to
	// registerWaitSpread, is how long an instance that has registered waits for others
	// that register at the same moment.
	registerWaitCalls  = 3
	registerWaitSpread = 50 * time.Millisecond
)

// noRevision is the revision of an instance that has no state yet.
const noRevision = -1

// Fetcher fetches the state of another instance over a connection: the changes after a
// revision or, where that instance no longer has them or the revision is below 0, a
// snapshot.
type Fetcher interface {
	Fetch(ctx context.Context, addr string, after int64) ([]byte, error)
}

// errNotNewer is returned if another instance has no newer state than this one.
var errNotNewer = errors.New("relay: the fetched state is no newer than the state of this instance")

// Read implements store.Feed. The first page has all keys if it is a snapshot of another
// instance.
func (n *Node) Read(ctx context.Context, prefix, after string) (store.Page, error) {
	if after != "" {
		return n.readPage(ctx, prefix, after)
	}
	if r, _, ok := n.changeLog.newest(); ok {
		return n.readNewer(ctx, prefix, r)
	}
	if err := n.loadMembers(ctx); err != nil {
		return store.Page{}, err
	}
	started := n.clock()
	registerWait := registerAfter + rand.N(registerSpread)
	logged := statusOK
	for {
		primary, fallback, tier := n.sources()
		if tier == 0 {
			return n.readOrFetch(ctx, prefix, fallback, noRevision)
		}
		p, s := n.fetchSnapshot(ctx, primary, fallback)
		waited := n.clock().Sub(started)
		if s != logged {
			n.event("snapshot_awaited", "sources", s, "queried", len(primary)+len(fallback), "tier", tier, "waited", waited)
			logged = s
		}
		switch {
		case s == statusOK:
			return p, nil
		case ctx.Err() != nil:
			return store.Page{}, errors.Wrap(ctx.Err(), "relay.Read")
		case waited > time.Duration(tier)*tierDelay, (s == statusDisconnected || s == statusWaiting) && waited > time.Duration(tier)*disconnectedTierDelay:
			return n.readPage(ctx, prefix, "")
		case s == statusNoAnswer && waited > registerWait:
			if l := n.reloadMembers(ctx); len(l) > 0 {
				if p, s := n.fetchSnapshot(ctx, l, nil); s == statusOK {
					return p, nil
				}
				registerWait = waited + rand.N(registerSpread)
				break
			}
			n.registerSelf()
			return n.readPage(ctx, prefix, "")
		}
		sleep(ctx, roundPause/2+rand.N(roundPause))
	}
}

// readPage reads one page from the store.
func (n *Node) readPage(ctx context.Context, prefix, after string) (store.Page, error) {
	x, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	n.reading.Store(true)
	p, err := n.store.Read(x, prefix, after)
	n.reading.Store(err == nil)
	if err == nil && !p.More {
		n.event("whole_read", "revision", p.Revision, "last_page", len(p.Items))
	}
	return p, err
}

// loadMembers reads the members from the store if none are known. A list that is seconds
// old will do, since its members are queried. If that list is empty, the current one is
// read, and read again after this instance has registered: instances that start together
// must not each take themselves for the first.
func (n *Node) loadMembers(ctx context.Context) error {
	if n.listMembers == nil || n.hasMembers() {
		return nil
	}
	l, err := n.listMembers(ctx, true)
	if err == nil && len(l) == 0 {
		requestedAt := n.clock()
		if l, err = n.listMembers(ctx, false); err == nil && len(l) == 0 {
			n.registerSelf()
			sleep(ctx, registerWaitCalls*n.clock().Sub(requestedAt)+rand.N(registerWaitSpread))
			l, err = n.listMembers(ctx, false)
		}
	}
	if err != nil {
		return errors.Wrap(err, "relay.loadMembers")
	}
	n.SetMembers(l)
	return nil
}

// registerSelf has this instance register itself as a member.
func (n *Node) registerSelf() {
	if n.register != nil {
		n.register()
	}
}

func (n *Node) hasMembers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.members) > 0
}

// reloadMembers reads the members again, since none of them answers, and returns those
// that are new.
func (n *Node) reloadMembers(ctx context.Context) []peer.Member {
	if n.listMembers == nil {
		return nil
	}
	l, err := n.listMembers(ctx, false)
	if err != nil {
		n.event("list_unread", "error", err)
		return nil
	}
	n.mu.Lock()
	previous := n.members
	n.mu.Unlock()
	n.SetMembers(l)
	return slices.DeleteFunc(slices.Clone(l), func(m peer.Member) bool { return n.isSelf(m) || slices.Contains(previous, m) })
}

// fetchSnapshot fetches a snapshot from one of the sources. Without one it returns
// statusStarting if an instance that this one waits for is about to have it,
// statusWaiting or statusDisconnected if one waits for others or is disconnected, else statusNoAnswer. A registered member
// does not wait for the fallback sources, as they may be waiting for it.
func (n *Node) fetchSnapshot(ctx context.Context, primary, fallback []peer.Member) (store.Page, status) {
	best := statusNoAnswer
	mayWait := n.isUnregistered()
	for i, m := range slices.Concat(primary, fallback) {
		if ctx.Err() != nil {
			break
		}
		a, s := n.fetchSnapshotVia(ctx, m, noRevision, mayWait || i < len(primary))
		if s == statusOK {
			return a.page(), statusOK
		}
		if s == statusStarting || best == statusNoAnswer {
			best = s
		}
	}
	return store.Page{}, best
}

// fetchSnapshotVia queries an instance for the address of a snapshot newer than the
// revision after, and fetches the snapshot from there. mayWait is set if this instance may
// wait until that instance has one.
func (n *Node) fetchSnapshotVia(ctx context.Context, m peer.Member, after int64, mayWait bool) (answer, status) {
	failedAddr := ""
	for range maxRedirects {
		a, ok := n.askSnapshotAddr(ctx, m, after, failedAddr)
		if !ok {
			n.avoidSilent(m)
			return a, statusNoAnswer
		}
		n.markResponsive(m)
		if a.Status == statusDisconnected || a.Status == statusStarting && !mayWait {
			n.avoidSource(m, shortAvoid)
			return a, statusDisconnected
		}
		if a.Status == statusStarting && a.Waits {
			return a, statusWaiting
		}
		from := m.Addr
		if a.FetchFrom != "" {
			from = a.FetchFrom
		}
		w, err := n.fetch(ctx, from, noRevision)
		if err == nil {
			n.event("whole_fetched", "source", m.ID, "addr", from, "after", after, "revision", w.Revision, "items", len(w.Items), "age", w.age())
			return w, statusOK
		}
		n.event("whole_unfetched", "source", m.ID, "addr", from, "error", err)
		if from == m.Addr {
			return a, a.Status
		}
		failedAddr = from
	}
	return answer{}, statusStarting
}

// askSnapshotAddr queries an instance for the address from which to fetch a snapshot;
// failedAddr, if not empty, is the address from which that failed before.
func (n *Node) askSnapshotAddr(ctx context.Context, m peer.Member, after int64, failedAddr string) (answer, bool) {
	return n.pending.Call(ctx, snapshotQueryTimeout, func(id uint64) error {
		q := query{ID: id, After: after, Snapshot: true, FailedAddr: failedAddr, Unregistered: n.isUnregistered()}
		return n.send(m.Addr, id, message{Query: &q}, nil)
	})
}

// answerSnapshotQuery sends the address from which to fetch a snapshot. An instance that waits for others
// names none: two instances that fetch from each other, each as another source told it, would both wait.
func (n *Node) answerSnapshotQuery(to string, q query) {
	a := answer{ID: q.ID, Status: n.snapshotStatus(q.After), Waits: !n.reading.Load()}
	if q.After == noRevision && (a.Status == statusFetchSnapshot || a.Status == statusStarting && !a.Waits) {
		a.FetchFrom = n.tree.parent(to, q.FailedAddr, n.clock())
	}
	if err := n.send(to, q.ID, message{Answer: &a}, nil); err != nil {
		n.event("answer_unsent", "to", to, "error", err)
	}
}

// snapshotStatus returns whether this instance has a snapshot newer than the revision
// after, or is about to have one.
func (n *Node) snapshotStatus(after int64) status {
	r, _, ok := n.changeLog.newest()
	switch {
	case ok && r > after, after == noRevision && n.cache.hasSnapshot():
		return statusFetchSnapshot
	case after != noRevision, n.changeLog.isDisconnected():
		return statusDisconnected
	}
	return statusStarting
}

// fetch fetches the state of the instance at addr after a revision. It fails if that
// state is older than the state of this instance.
func (n *Node) fetch(ctx context.Context, addr string, after int64) (answer, error) {
	requestedAt := n.clock()
	b, err := n.fetcher.Fetch(ctx, addr, after)
	if err != nil {
		return answer{}, errors.Wrapf(err, "relay.fetch from %s", addr)
	}
	m, err := decode(b)
	if err != nil {
		return answer{}, errors.Wrapf(err, "relay.fetch from %s", addr)
	}
	if m.Answer == nil || m.Answer.Status != statusOK {
		return answer{}, errors.Newf("relay.fetch from %s: the answer holds no state", addr)
	}
	if r, _, ok := n.changeLog.newest(); ok && (m.Answer.Revision < r || after == noRevision && m.Answer.Revision == r) {
		return answer{}, errNotNewer
	}
	if m.Answer.Snapshot {
		w := n.cache.addFetched(*m.Answer, b, requestedAt, n.clock())
		n.changeLog.setFetched(w.items, w.revision)
	}
	return *m.Answer, nil
}
