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

// avoidFor is how long an instance that could not tell, or a store that
// could not be reached while others could tell, is passed over.
const avoidFor = 2 * time.Second

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
	// followers are the unlisted instances that ask this one.
	followers *followers

	// backoff, lost, sourceLost, leftStore, large and gatherUntil belong to the
	// one caller of Changes. backoff is when the store may be asked again.
	backoff backoff
	// lost says that nobody could tell what is newest the last time.
	lost bool
	// sourceLost says that one of those asked the last time answered that it is
	// out of touch itself, leftStore that the store is left to them.
	sourceLost bool
	leftStore  bool
	// large says that the store failed where changes were too large for others
	// to pass on: they are asked for them all the same.
	large bool
	// gatherUntil is when changes that came after the last ones are asked for.
	gatherUntil time.Time

	mu      sync.Mutex
	members []peer.Member
	avoid   map[string]time.Time
	// silent are the instances that gave no answer the last time.
	silent map[string]bool
	source string
	// linkFree is when the link has room for another answer.
	linkFree time.Time
	// sourceFollowers is how many unlisted instances, this one among them, the
	// one followed last says it has.
	sourceFollowers int
}

var _ store.Feed = (*Node)(nil)

// NewNode returns the instance with that id. l is what it tells others.
func NewNode(self string, start uint64, l *Log, s store.Feed, net Transport, clock func() time.Time, event func(event string, fields ...any), t Times) *Node {
	return &Node{
		self: self, log: l, store: s, net: net, clock: clock, event: event, times: t,
		waiting: reply.New[answer](start), avoid: map[string]time.Time{}, silent: map[string]bool{}, followers: newFollowers(followerQuestions * t.Follow),
	}
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
// ones watch the store, the next ones stand in for them. A listed instance asks
// those ranked before its own tier, an unlisted one some of all, and, if none of
// them can tell, the store. Where its own way to the store is cut, it asks others
// of all tiers. It serves one caller at a time.
func (n *Node) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	before, rest, tier := n.sources()
	c, s := n.follow(ctx, before, after)
	if s == lostTouch {
		c, s = n.waitForBefore(ctx, tier, after)
	}
	if s == known {
		n.told()
		return c, nil
	}
	if s == lostTouch && n.sourceLost && n.unlisted() {
		n.leaveStore()
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
	return n.watchOrFollow(ctx, prefix, after, wait, rest, tier)
}

// told notes that what is newest is known again.
func (n *Node) told() {
	n.lost, n.large = false, false
	if n.leftStore {
		n.leftStore, n.backoff = false, backoff{}
	}
}
