package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/peer"
	"fieldvale/reply"
	"fieldvale/store"
)

const (
	// avoidFor is how long an instance that could not tell, or a store that
	// could not be reached while others could tell, is passed over.
	avoidFor = 2 * time.Second
	// storeSlack is how much longer than asked for the store may take before
	// it counts as lost; well above its usual 4 ms and below the second in
	// which an instance has to notice.
	storeSlack = 700 * time.Millisecond
	// askAgain is how long an instance is passed over that answered without
	// knowing: it may have to watch the store itself any moment.
	askAgain = 200 * time.Millisecond
	// mostGathers bounds, in Times.Gather, how long an instance of the later
	// tiers waits for the second tier when the watching ones can't tell.
	mostGathers = 3
)

// Node follows other instances and is followed.
type Node struct {
	self  string
	log   *Log
	store store.Feed
	net   Transport
	clock func() time.Time
	event func(event string, fields ...any)
	times Times
	// waiting are the questions to other instances.
	waiting *reply.Waiters[answer]
	pieces  pieces
	packs   packs

	// backoff, untold, large and gatherUntil belong to the one caller of
	// Changes. backoff is when the store may be asked again.
	backoff backoff
	// untold says that nobody could tell what is newest the last time.
	untold bool
	// large says that the store failed where changes were too large for others
	// to pass on: they are asked for them all the same.
	large bool
	// gatherUntil is when changes that came after the last ones are asked for.
	gatherUntil time.Time

	mu      sync.Mutex
	members []peer.Member
	avoid   map[string]time.Time
	source  string
}

var _ store.Feed = (*Node)(nil)

// NewNode returns the instance with that id. l is what it tells others.
func NewNode(self string, start uint64, l *Log, s store.Feed, net Transport, clock func() time.Time, event func(event string, fields ...any), t Times) *Node {
	return &Node{times: t, self: self, log: l, store: s, net: net, clock: clock, event: event, avoid: map[string]time.Time{}, waiting: reply.New[answer](start)}
}

// SetMembers replaces the list of the fleet's instances.
func (n *Node) SetMembers(m []peer.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = m
}

// Read implements store.Feed. The store is read whole at the store.
func (n *Node) Read(ctx context.Context, prefix, after string) (store.Page, error) {
	return n.store.Read(ctx, prefix, after)
}

// Changes implements store.Feed. The fleet's instances are ranked; the first
// ones watch the store, the next ones stand in for them. An instance asks
// those ranked before its own tier and, if none of them can tell, the store.
// Where its own way to the store is cut, it asks all tiers. It serves one
// caller at a time.
func (n *Node) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	before, rest, tier := n.sources()
	c, s := n.follow(ctx, before, after)
	if s == lostTouch {
		c, s = n.standBack(ctx, tier, after)
	}
	if s == known {
		n.told()
		return c, nil
	}
	if s == lostTouch && n.backoff.waits(n.clock()) {
		if c, s := n.follow(ctx, rest, after); s == known {
			n.told()
			return c, nil
		}
		if tier > 0 {
			return store.Changes{}, errors.Mark(errWaits, store.ErrUnavailable)
		}
	}
	c, err := n.watchOrFollow(ctx, prefix, after, wait, rest, tier)
	n.large = err != nil && s == tooLarge
	return c, err
}

// told notes that another instance could tell what is newest.
func (n *Node) told() { n.untold, n.large = false, false }

// standBack has an instance of the later tiers wait for those before it when
// they can't tell any more: the second tier asks the store at once, and tells
// the others.
func (n *Node) standBack(ctx context.Context, tier int, after int64) (store.Changes, status) {
	if n.untold || tier < tiers {
		return store.Changes{}, lostTouch
	}
	n.untold = true
	for range min(mostGathers, tier-tiers+1) {
		if !n.sleep(ctx, n.times.Gather) {
			break
		}
		before, _, _ := n.sources()
		if c, s := n.follow(ctx, before, after); s != lostTouch {
			return c, s
		}
	}
	return store.Changes{}, lostTouch
}

// sleep waits for d; it reports false if ctx ended before.
func (n *Node) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// watchOrFollow asks the store, and the rest if it can't be reached.
func (n *Node) watchOrFollow(ctx context.Context, prefix string, after int64, wait time.Duration, rest []peer.Member, tier int) (store.Changes, error) {
	c, err := n.watch(ctx, prefix, after, wait)
	if err == nil || errors.Is(err, store.ErrCompacted) || ctx.Err() != nil {
		n.backoff, n.untold = n.backoff.withAnswer(), false
		return c, err
	}
	n.backoff = n.backoff.withFailure(tier, n.clock())
	if f, s := n.follow(ctx, rest, after); s == known {
		n.backoff = n.backoff.withSource(n.clock())
		return f, nil
	}
	return c, err
}

// errWaits says that neither the store nor another instance was reached, and
// that it is not yet time to ask the store again.
var errWaits = errors.New("relay: the store was not reached, and other instances can't tell")

// watch asks the store. Only what it says may be told to others: instances
// that follow each other would all be wrong together.
func (n *Node) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	n.from("store")
	if d := n.gatherUntil.Sub(n.clock()); d > 0 && !n.sleep(ctx, d) {
		return store.Changes{}, errors.Wrap(ctx.Err(), "relay.watch")
	}
	x, cancel := context.WithTimeout(ctx, wait+storeSlack)
	defer cancel()
	c, err := n.store.Changes(x, prefix, after, wait)
	n.log.SetDirect(err == nil || errors.Is(err, store.ErrCompacted))
	if len(c.Items) > 0 {
		n.gatherUntil = n.clock().Add(n.times.Gather)
	}
	return c, err
}

// follow asks one instance after another. It gives up at one that knows of
// changes which only the store can tell.
func (n *Node) follow(ctx context.Context, sources []peer.Member, after int64) (store.Changes, status) {
	for _, m := range sources {
		a, ok := n.ask(ctx, m, after)
		if ok && a.Status == known && a.age() <= n.times.MaxAge {
			n.from(m.ID)
			n.log.SetDirect(false)
			c := a.changes()
			c.Waited = n.times.Follow
			return c, known
		}
		if ctx.Err() != nil {
			return store.Changes{}, lostTouch
		}
		switch {
		case !ok:
			n.pass(m, avoidFor)
		case a.Status == tooLarge || a.Status == forgotten:
			return store.Changes{}, a.Status
		case a.Status == lostTouch || a.Status == known:
			n.pass(m, askAgain)
		}
	}
	return store.Changes{}, lostTouch
}

// from logs whom the instance follows when that changes.
func (n *Node) from(source string) {
	n.mu.Lock()
	was := n.source
	n.source = source
	n.mu.Unlock()
	if was != source {
		n.event("following", "source", source, "before", was)
	}
}
