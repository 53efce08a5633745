// Package control implements the control process of an instance. It talks to the
// platform's store, to the platform's list of instances and replicas and to other
// instances, on behalf of the entry process on the same instance. All its state
// can be read again from the store, its peers or its entry.
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

// PeerClient is a client for other instances' control processes.
type PeerClient interface {
	Exchange(ctx context.Context, m peer.Member, q peer.Message) (peer.Reply, error)
	// Document returns the peer's encoded configuration, or nil if its revision
	// is not higher than above.
	Document(ctx context.Context, m peer.Member, above uint64) ([]byte, error)
	// HandOver sends held bill records to another holder.
	HandOver(ctx context.Context, m peer.Member, r []bill.Record) error
}

// PlatformClient is a client for the platform: it returns the list of instances and
// replicas and a replica's load, and orders a replica to unload a version.
type PlatformClient interface {
	Instances(ctx context.Context) (platform.InstanceList, error)
	Load(ctx context.Context, r pool.Replica) (platform.EngineReport, error)
	Unload(ctx context.Context, r pool.Replica, v version.ID, fence uint64) error
}

// Times are the intervals, delays and timeouts of a node's duties.
type Times struct {
	// Exchange is the interval between rounds of exchanges with peers.
	Exchange time.Duration
	// Heartbeat is the interval between heartbeats in a small fleet.
	Heartbeat time.Duration
	// HeartbeatPerItem is the least interval between heartbeats per item of the peer
	// table, which stretches the interval in a large fleet.
	HeartbeatPerItem time.Duration
	// List and Load are the intervals between reads of the platform's list and
	// of the backend servers' load.
	List time.Duration
	Load time.Duration
	// Poll is the interval at which every instance reads the configuration from
	// the store, and the timeout of one watch.
	Poll time.Duration
	// Flush is the interval between writes of a ledger.
	Flush time.Duration
	// OrphanDelay is how long an entry must be missing before its holders add its
	// bills to the ledger in the store.
	OrphanDelay time.Duration
	// TakeoverDelay is the extra delay, per rank, before an instance takes over a duty
	// from those that rank above it.
	TakeoverDelay time.Duration
	// CallTimeout is the timeout of one call to the store, the platform or a peer.
	CallTimeout time.Duration
}

// DefaultTimes returns values for fleets of 7 to 350 instances.
func DefaultTimes() Times {
	return Times{
		Exchange: 500 * time.Millisecond, Heartbeat: 2 * time.Second, HeartbeatPerItem: 60 * time.Millisecond,
		List: 2 * time.Second, Load: 2 * time.Second, Poll: 30 * time.Second, Flush: 10 * time.Second,
		OrphanDelay: 15 * time.Second, TakeoverDelay: 2 * time.Second, CallTimeout: 2 * time.Second,
	}
}

// Options are the dependencies and settings of a node.
type Options struct {
	Self        peer.Member
	Incarnation string
	Store       store.Store
	Peers       PeerClient
	Platform    PlatformClient
	Clock       func() time.Time
	Times       Times
	Rates       rollout.Rates
	// Log is called for each event that an operator may want to see. Its fields
	// alternate keys and values.
	Log func(event string, fields ...any)
}

// Node is the control process of one instance. It is safe for concurrent use.
type Node struct {
	Options

	mu sync.Mutex
	// doc is the configuration document in force and encodedDoc its encoded form.
	// fromPeers means that the document has not been read from the store yet,
	// and storeOlder that the store had a lower revision when it was last read.
	doc          config.Document
	encodedDoc   []byte
	storeVersion int64
	storeOKAt    time.Time
	fromPeers    bool
	storeOlder   bool

	table   *peer.Table
	cursors map[string]peer.Cursor
	// registered are the instances that the platform lists.
	registered []peer.Member
	// cachedMembers is the list of members, valid until cachedMembersUntil.
	cachedMembers      []peer.Member
	cachedMembersUntil time.Time

	replicas map[string]pool.Replica
	// local is the number of the entry's requests in flight by replica.
	local map[string]int
	// view counts the changes of what the entry receives.
	view uint64

	entry     entryState
	ledgers   map[string]*flushState
	heldBills *bill.HeldRecords
	// ownersSeenAt is when the entry incarnations that own held records were last
	// named in a heartbeat.
	ownersSeenAt map[string]time.Time

	pooled    map[version.ID]*rollout.PooledOutcomes
	detectors map[version.ID]rollout.Detector
	tripped   map[version.ID]bool
	// heldSteps are the versions whose next roll-out step is held back, because
	// their outcomes are close to the limit at which they trip.
	heldSteps map[version.ID]bool
	// pooledRollouts holds, by version, the name of the roll-out to which the
	// pooled outcomes belong.
	pooledRollouts map[version.ID]string

	claims      *ring.Queue[queuedClaim]
	abandons    *ring.Queue[abandonedClaim]
	fetches     *ring.Queue[peer.Member]
	exchangeNow *ring.Queue[struct{}]
	stopping    bool
	// readyBy is when the node counts as ready even if it has not read the list
	// and the loads or reached a peer.
	readyBy   time.Time
	listRead  bool
	loadsRead bool
}

// entryState is the last report of the entry on the same instance.
type entryState struct {
	incarnation string
	revision    uint64
	reportedAt  time.Time
	stopping    bool
}

// Capacities of the queues between duties.
const (
	claimQueueSize   = 1024
	abandonQueueSize = 1024
	fetchQueueSize   = 16
)

// New returns a node without configuration, members or replicas, and with its
// first heartbeat in the peer table.
func New(p Options) *Node {
	n := &Node{
		Options:        p,
		doc:            config.Document{},
		table:          peer.NewTable(),
		cursors:        map[string]peer.Cursor{},
		replicas:       map[string]pool.Replica{},
		local:          map[string]int{},
		ledgers:        map[string]*flushState{},
		heldBills:      bill.NewHeldRecords(),
		ownersSeenAt:   map[string]time.Time{},
		pooled:         map[version.ID]*rollout.PooledOutcomes{},
		detectors:      map[version.ID]rollout.Detector{},
		tripped:        map[version.ID]bool{},
		heldSteps:      map[version.ID]bool{},
		pooledRollouts: map[version.ID]string{},
		claims:         ring.New[queuedClaim](claimQueueSize),
		abandons:       ring.New[abandonedClaim](abandonQueueSize),
		fetches:        ring.New[peer.Member](fetchQueueSize),
		exchangeNow:    ring.New[struct{}](1),
	}
	n.readyBy = n.Clock().Add(maxStartupDelay)
	n.publishHeartbeat()
	return n
}

// maxStartupDelay is the longest time for which a new node keeps its entry from
// being ready because it has not reached the platform's list, the backend servers
// or a peer.
const maxStartupDelay = 10 * time.Second

// isReady reports whether the node has read the list and the loads and has
// received a heartbeat from a peer that can hold bills, or has no peer.
func (n *Node) isReady() bool {
	peersReached := len(n.members()) > 1 || len(n.knownMembers()) == 1
	return n.listRead && n.loadsRead && peersReached || !n.Clock().Before(n.readyBy)
}

// Run runs the node's duties until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	g, x := errgroup.WithContext(ctx)
	for _, f := range n.duties() {
		g.Go(func() error { f(x); return nil })
	}
	return g.Wait()
}

// duties returns all background loops of a node.
func (n *Node) duties() []func(context.Context) {
	return []func(context.Context){
		n.watchStore,
		n.loopEvery(&n.Times.Poll, n.pollStore),
		n.fetchDocuments,
		n.exchangeRounds,
		n.loopEvery(&n.Times.Heartbeat, func(context.Context) { n.publishHeartbeatIfDue() }),
		n.loopEvery(&n.Times.List, n.readList),
		n.loopEvery(&n.Times.Load, n.readLoads),
		n.loopEvery(&n.Times.Load, n.orderUnloads),
		n.loopEvery(&n.Times.Flush, n.flushLedgers),
		n.loopEvery(&n.Times.Flush, n.settleOrphans),
		n.loopEvery(&n.Times.Exchange, n.advanceRollouts),
		n.grantClaims,
		n.freeAbandoned,
	}
}

// loopEvery returns a loop that calls f at once and then at intervals of *d, until
// ctx ends.
func (n *Node) loopEvery(d *time.Duration, f func(context.Context)) func(context.Context) {
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

// log passes the event to the Log function, if one is set.
func (n *Node) log(event string, fields ...any) {
	if n.Log != nil {
		n.Log(event, fields...)
	}
}

// call returns a context with the timeout of one call.
func (n *Node) call(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, n.Times.CallTimeout)
}

// stopRetryDelay is the delay between flushes while a stopping node waits for the
// store.
const stopRetryDelay = 500 * time.Millisecond

// Stop prepares a planned stop: it notifies peers, writes the entry's bills to the
// store and hands over the records held for others. Bills that peers hold need
// not wait for an unreachable store; for bills that no other instance has, Stop
// retries until they are written or ctx ends.
func (n *Node) Stop(ctx context.Context) {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.publishHeartbeat()
	n.exchange(ctx)
	n.flushLedgers(ctx)
	n.handOver(ctx)
	for n.hasUnprotectedBills() && ctx.Err() == nil {
		n.sleep(ctx, stopRetryDelay)
		n.flushLedgers(ctx)
	}
	if n.hasUnprotectedBills() {
		n.log("bills_lost", "why", "no peer and no store was reached until the end of the stop")
	}
}
