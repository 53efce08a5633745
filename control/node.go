// Package control is the part of an instance that talks to the platform's
// store, to the platform's list and to other instances, on behalf of the
// entry beside it. It keeps nothing that can't be had again from the store,
// its peers or its entry.
package control

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fieldvale/adapter/platform"
	"fieldvale/bill"
	"fieldvale/config"
	"fieldvale/peer"
	"fieldvale/pool"
	"fieldvale/ring"
	"fieldvale/rollout"
	"fieldvale/store"
	"fieldvale/version"
)

// Peers calls other instances' control processes.
type Peers interface {
	Exchange(ctx context.Context, m peer.Member, q peer.Message) (peer.Reply, error)
	// Document returns the peer's configuration, nil if it is not above.
	Document(ctx context.Context, m peer.Member, above uint64) ([]byte, error)
	// HandOver gives held bill records to another holder.
	HandOver(ctx context.Context, m peer.Member, r []bill.Record) error
}

// Platform is what the platform says of instances and takes as orders.
type Platform interface {
	Instances(ctx context.Context) (platform.List, error)
	Load(ctx context.Context, r pool.Replica) (platform.Report, error)
	Unload(ctx context.Context, r pool.Replica, v version.ID, fence uint64) error
}

// Times are how often and how late things are done. They are spans, not
// deadlines, since they say how a deadline is made when its event comes.
type Times struct {
	// Exchange is between rounds with peers, Beat between heartbeats of a
	// small fleet; a fleet of n beats at most every n*BeatPerPeer.
	Exchange    time.Duration
	Beat        time.Duration
	BeatPerPeer time.Duration
	// List and Load are between readings of the platform's list and of the
	// backend servers' load.
	List time.Duration
	Load time.Duration
	// Poll is how often an instance that does not watch reads the store.
	Poll time.Duration
	// Flush is between writes of a ledger.
	Flush time.Duration
	// Orphan is how long an entry must be gone before others settle its bills.
	Orphan time.Duration
	// Takeover is by how much the next in rank waits longer to do a duty.
	Takeover time.Duration
	// Call bounds one call of the store or a peer.
	Call time.Duration
}

// DefaultTimes suit 7 to 350 instances.
func DefaultTimes() Times {
	return Times{
		Exchange: 500 * time.Millisecond, Beat: 2 * time.Second, BeatPerPeer: 60 * time.Millisecond,
		List: 2 * time.Second, Load: 2 * time.Second, Poll: 30 * time.Second, Flush: 10 * time.Second,
		Orphan: 15 * time.Second, Takeover: 2 * time.Second, Call: 2 * time.Second,
	}
}

// Parts are what a node is made of.
type Parts struct {
	Self        peer.Member
	Incarnation string
	Store       store.Store
	Peers       Peers
	Platform    Platform
	Clock       func() time.Time
	Times       Times
	Rates       rollout.Rates
	// Log is told of each event that an operator may want to see; its
	// fields alternate names and values.
	Log func(event string, fields ...any)
}

// Node is one instance's control. It is safe for concurrent use.
type Node struct {
	Parts

	mu sync.Mutex
	// doc is the configuration in force; bytes its encoding, compiled the
	// proof that it can be used.
	doc          config.Document
	bytes        []byte
	storeVersion int64
	storeOKAt    time.Time
	fromPeers    bool
	storeOlder   bool

	table   *peer.Table
	cursors map[string]peer.Cursor
	listed  []peer.Member
	// lastMembers serves until membersUntil.
	lastMembers  []peer.Member
	membersUntil time.Time

	replicas map[string]pool.Replica
	local    map[string]int
	view     uint64

	entry   entryState
	ledgers map[string]*flushState
	book    *bill.Book
	seenAt  map[string]time.Time

	pooled    map[version.ID]*rollout.PooledOutcomes
	detectors map[version.ID]rollout.Detector
	tripped   map[version.ID]bool
	// held are the versions whose next step waits as they are near to being found
	// bad.
	held map[version.ID]bool
	// trials names, for each version, the roll-out that is being judged.
	trials map[version.ID]string

	claims   *ring.Ring[claimJob]
	abandons *ring.Ring[abandoned]
	fetches  *ring.Ring[peer.Member]
	kick     *ring.Ring[struct{}]
	stopping bool
	// settledBy is when the node counts as settled whatever it has reached;
	// the others say what it has.
	settledBy time.Time
	listRead  bool
	loadsRead bool
}

// entryState is what the entry beside the node last said.
type entryState struct {
	incarnation string
	revision    uint64
	heardAt     time.Time
	stopping    bool
}

// Sizes of the rings between duties.
const (
	claimRing   = 1024
	abandonRing = 1024
	fetchRing   = 16
)

// New returns a node that knows nothing yet.
func New(p Parts) *Node {
	n := &Node{
		Parts:     p,
		doc:       config.Document{},
		table:     peer.NewTable(),
		cursors:   map[string]peer.Cursor{},
		replicas:  map[string]pool.Replica{},
		local:     map[string]int{},
		ledgers:   map[string]*flushState{},
		book:      bill.NewBook(),
		seenAt:    map[string]time.Time{},
		pooled:    map[version.ID]*rollout.PooledOutcomes{},
		detectors: map[version.ID]rollout.Detector{},
		tripped:   map[version.ID]bool{},
		held:      map[version.ID]bool{},
		trials:    map[version.ID]string{},
		claims:    ring.New[claimJob](claimRing),
		abandons:  ring.New[abandoned](abandonRing),
		fetches:   ring.New[peer.Member](fetchRing),
		kick:      ring.New[struct{}](1),
	}
	n.settledBy = n.Clock().Add(settleWithin)
	n.beat()
	return n
}

// settleWithin is the longest that a new node keeps its entry from being
// ready because it has not reached the list, a backend server or a peer.
const settleWithin = 10 * time.Second

// settled reports whether the node has read the list and the loads and has
// heard of a peer that can hold bills, if there is one.
func (n *Node) settled() bool {
	met := len(n.members()) > 1 || len(n.known()) == 1
	return n.listRead && n.loadsRead && met || !n.Clock().Before(n.settledBy)
}

// Run does the node's duties until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	g, x := errgroup.WithContext(ctx)
	for _, f := range n.duties() {
		g.Go(func() error { f(x); return nil })
	}
	return g.Wait()
}

// duties is the one list of what a node does by itself.
func (n *Node) duties() []func(context.Context) {
	return []func(context.Context){
		n.watchStore,
		n.every(&n.Times.Poll, n.pollStore),
		n.fetchDocuments,
		n.exchangeRounds,
		n.every(&n.Times.Beat, func(context.Context) { n.beatIfDue() }),
		n.every(&n.Times.List, n.readList),
		n.every(&n.Times.Load, n.readLoads),
		n.every(&n.Times.Load, n.orderUnloads),
		n.every(&n.Times.Flush, n.flushLedgers),
		n.every(&n.Times.Flush, n.settleOrphans),
		n.every(&n.Times.Exchange, n.driveRollouts),
		n.grantClaims,
		n.freeAbandoned,
	}
}

// every repeats f until ctx ends, once at the start.
func (n *Node) every(d *time.Duration, f func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		t := time.NewTicker(*d)
		defer t.Stop()
		for {
			f(ctx)
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		}
	}
}

// log reports an event.
func (n *Node) log(event string, fields ...any) {
	if n.Log != nil {
		n.Log(event, fields...)
	}
}

// call returns a context for one call of the store or a peer.
func (n *Node) call(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, n.Times.Call)
}

// stopPause is between tries to hand bills over.
const stopPause = 500 * time.Millisecond

// Stop is a planned stop: peers learn of it, and what the store lacks of the
// entry's bills is written. Bills that peers hold need not wait for a store
// that is out; those that no one else has keep the node until they are
// written or ctx ends.
func (n *Node) Stop(ctx context.Context) {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.beat()
	n.exchange(ctx)
	n.flushLedgers(ctx)
	n.handOver(ctx)
	for n.heldAlone() && ctx.Err() == nil {
		n.pause(ctx, stopPause)
		n.flushLedgers(ctx)
	}
	if n.heldAlone() {
		n.log("bills_lost", "why", "no peer and no store was reached until the end of the stop")
	}
}
