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

// Ports are what a node works with.
type Ports struct {
	// ChangeLog is what it tells others.
	ChangeLog *ChangeLog
	Store     store.Feed
	Net       Transport
	Fetcher   Fetcher
	// ListMembers reads the list of the fleet's instances at the store; stale allows an answer
	// that is some seconds old, which costs less. nil leaves it to SetMembers.
	ListMembers func(ctx context.Context, stale bool) ([]peer.Member, error)
	// Register has this instance put itself on the list, as nobody is there or all that are
	// seem to have ended. It may be nil.
	Register func()
	Clock    func() time.Time
	Event    func(event string, fields ...any)
}

// Node follows other instances and is followed.
type Node struct {
	self     peer.Member
	log      *ChangeLog
	store    store.Feed
	net      Transport
	transfer Fetcher
	list     func(ctx context.Context, stale bool) ([]peer.Member, error)
	join     func()
	clock    func() time.Time
	event    func(event string, fields ...any)
	times    Timing
	// waiting are the questions to other instances.
	waiting *reply.Waiters[answer]
	pieces  pieces
	packs   *packs
	tree    tree
	// changeTree is of those that fetch the newest large change.
	changeTree changeTree
	// transfers holds one for each instance that fetches now.
	transfers chan struct{}
	// followers are the unlisted instances that ask this one.
	followers *followers

	// backoff, lost, sourceLost, leftStore and gatherUntil belong to the
	// one caller of Changes. backoff is when the store may be asked again.
	backoff backoff
	// lost says that nobody could tell what is newest the last time.
	lost bool
	// sourceLost says that one of those asked the last time answered that it is
	// out of touch itself, leftStore that the store is left to them.
	sourceLost bool
	// busy are those of them whose link had no room for the answer.
	busy      []peer.Member
	leftStore bool
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

// NewNode returns the instance self.
func NewNode(self peer.Member, start uint64, p Ports, t Timing) *Node {
	return &Node{
		self: self, log: p.ChangeLog, store: p.Store, net: p.Net, transfer: p.Fetcher, list: p.ListMembers, join: p.Register, clock: p.Clock, event: p.Event, times: t,
		waiting: reply.New[answer](start), packs: newPacks(), transfers: make(chan struct{}, transfersAtOnce),
		avoid: map[string]time.Time{}, silent: map[string]bool{}, followers: newFollowers(followerQuestions * t.Follow),
	}
}

// SetMembers replaces the list of the fleet's instances.
func (n *Node) SetMembers(m []peer.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = m
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
		if c, ok := n.followAny(ctx, rest, after, n.times.Follow); ok {
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
	n.lost = false
	if n.leftStore {
		n.leftStore, n.backoff = false, backoff{}
	}
}
