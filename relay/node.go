package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/fleetsize"
	"fieldvale/peer"
	"fieldvale/reply"
	"fieldvale/store"
)

// longAvoid is how long an instance that did not answer twice in a row is not queried, and
// how long the store is not asked after it failed while another instance answered.
const longAvoid = 2 * time.Second

// Ports are the dependencies of a node.
type Ports struct {
	// ChangeLog holds the state that this instance passes on to its followers.
	ChangeLog *ChangeLog
	Store     store.Feed
	Net       Transport
	Fetcher   Fetcher
	// ListMembers reads the registered members from the store. stale allows an answer that
	// is some seconds old, which costs less. If it is nil, only SetMembers sets the members.
	ListMembers func(ctx context.Context, stale bool) ([]peer.Member, error)
	// Register has this instance register itself as a member: there are no registered
	// members, or none of them answers. It may be nil.
	Register func()
	Clock    func() time.Time
	Event    func(event string, fields ...any)
}

// Node follows the store or other instances, and serves the instances that follow it.
type Node struct {
	self        peer.Member
	changeLog   *ChangeLog
	store       store.Feed
	net         Transport
	fetcher     Fetcher
	listMembers func(ctx context.Context, stale bool) ([]peer.Member, error)
	register    func()
	clock       func() time.Time
	event       func(event string, fields ...any)
	timing      Timing
	// pending are the queries to other instances that wait for an answer.
	pending     *reply.Pending[answer]
	reassembler reassembler
	cache       *packCache
	tree        fetchTree
	// changeTree arranges the instances that fetch the newest large change.
	changeTree changeTree
	// transfers holds one element for each instance that is fetching state from this one.
	transfers chan struct{}
	// followers are the unregistered instances that query this one.
	followers *followers
	// followerReports are the numbers of followers that other members reported.
	followerReports *followerReports

	// reading is set while this instance reads a snapshot from the store, and until a page fails.
	reading atomic.Bool

	// The fields from backoff to batchUntil are used only by the single caller of Changes.
	// backoff is until when the store must not be asked again.
	backoff backoff
	// disconnected is set if the last call found neither the store nor a current source.
	disconnected bool
	// sourceDisconnected is set if an instance queried in the last round answered that it
	// is disconnected itself.
	sourceDisconnected bool
	// busySources are the instances of that round whose link had no capacity for the answer.
	busySources []peer.Member
	// storeDeferred is set while the store is left to the registered members.
	storeDeferred bool
	// batchUntil is when the store is next asked for changes after it has returned some.
	batchUntil time.Time

	mu         sync.Mutex
	members    []peer.Member
	avoidUntil map[string]time.Time
	// silent are the instances that did not answer the last query.
	silent map[string]bool
	// answeredAt is when an instance last answered a query.
	answeredAt time.Time
	source     string
	// linkFreeAt is when the link of this instance has capacity for another answer.
	linkFreeAt time.Time
	// sourceFollowers is how many unregistered followers, this instance included, the last
	// source reported.
	sourceFollowers int
	// sourceEstimate is the number of instances that the last source estimated.
	sourceEstimate int
	// size is what is known of the number of instances.
	size fleetsize.Record
}

var _ store.Feed = (*Node)(nil)

// NewNode returns the node of the instance self. start is the first query id.
func NewNode(self peer.Member, start uint64, p Ports, t Timing) *Node {
	return &Node{
		self: self, changeLog: p.ChangeLog, store: p.Store, net: p.Net, fetcher: p.Fetcher, listMembers: p.ListMembers, register: p.Register, clock: p.Clock, event: p.Event, timing: t,
		pending: reply.New[answer](start), cache: newPackCache(), transfers: make(chan struct{}, maxTransfers),
		avoidUntil: map[string]time.Time{}, silent: map[string]bool{}, followers: newFollowers(followerExpiryWaits * t.PeerWait), followerReports: newFollowerReports(followerExpiryWaits * t.PeerWait),
	}
}

// SetMembers replaces the registered members.
func (n *Node) SetMembers(m []peer.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = m
}

// Changes implements store.Feed. The members are ranked: those of the first tier watch
// the store, those of the second tier take over when the watchers fail. A registered
// member queries the members of the sourceTiers tiers before its own, an unregistered
// instance some of all members. If none of them has current state, the instance asks the
// store, and if the store can't be reached, other members. Changes must not be called
// concurrently.
func (n *Node) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	primary, fallback, tier := n.sources()
	c, s := n.follow(ctx, primary, after)
	if s == statusDisconnected {
		c, s = n.awaitEarlierTiers(ctx, tier, after)
	}
	if s == statusOK {
		n.markConnected()
		return c, nil
	}
	if s == statusDisconnected && n.sourceDisconnected && n.isUnregistered() {
		n.deferStore()
	}
	if s == statusDisconnected && n.backoff.isActive(n.clock()) {
		if c, ok := n.followAny(ctx, fallback, after, n.timing.PeerWait); ok {
			n.markConnected()
			return c, nil
		}
		if tier > 0 {
			return store.Changes{}, errors.Mark(errStoreBackoff, store.ErrUnavailable)
		}
	}
	return n.watchOrFollow(ctx, prefix, after, wait, fallback, tier)
}

// markConnected records that the store or a source answered, and ends a deferral of the
// store.
func (n *Node) markConnected() {
	n.disconnected = false
	n.recordFleetSize()
	if n.storeDeferred {
		n.storeDeferred, n.backoff = false, backoff{}
	}
}
