package quota

import (
	"sync"
	"time"

	"fieldvale/peer"
	"fieldvale/reply"
)

// Transport sends datagrams to other instances. One may be lost.
type Transport interface {
	Send(addr string, b []byte) error
}

// Config are what a node works through.
type Config struct {
	// Self is this instance's id.
	Self string
	// Net may be nil: then instances have no way to each other, and each allows itself its
	// share of what a replica takes, by FleetSize.
	Net   Transport
	Clock func() time.Time
	// FleetSize is how many instances there are, 0 if that is not known.
	FleetSize func() int
	// Followers returns the addresses of the instances on no list that this one tells
	// what it hears. It may be nil.
	Followers func() []string
	// IsMembershipCurrent reports whether the list of instances was confirmed lately; a change of it is
	// known everywhere within KnownWithin.
	IsMembershipCurrent func() bool
	MaxPropagationDelay time.Duration
	// Rand returns a number from 0 to 1, below that.
	Rand func() float64
	Log  func(event string, fields ...any)
}

// Node is one instance's part in what replicas ask of all.
type Node struct {
	Config
	beliefs *beliefs
	waiting *reply.Waiters[wireAnswer]

	mu       sync.Mutex
	members  []peer.Member
	rankings map[string][]peer.Member
	charges  map[string]*charge
	// heardOf is when a datagram of another instance came last.
	heardOf map[string]time.Time
	// avoid is until when a silent instance is not asked.
	avoid map[string]time.Time
	// resting is until when a replica gets nothing, as who counts said.
	resting map[string]time.Time
	// shares are when this instance may send to a replica without asking.
	shares map[string]time.Time
	// size is the largest fleet seen lately, until sizeUntil.
	size      int
	sizeUntil time.Time
	// settledAt is when this instance may count, and tickedAt when its timed duties ran last.
	settledAt, tickedAt, sweepAt time.Time
	news                         news
	// complainAt is when the next line may be written on a figure that can't be read.
	complainAt time.Time
}

// NewNode returns an instance that knows of no limit and of no other instance yet. start
// makes its questions differ from those of an earlier run.
func NewNode(start uint64, p Config) *Node {
	now := p.Clock()
	return &Node{
		Config: p, beliefs: newBeliefs(), waiting: reply.New[wireAnswer](start), rankings: map[string][]peer.Member{}, charges: map[string]*charge{},
		heardOf: map[string]time.Time{}, avoid: map[string]time.Time{}, resting: map[string]time.Time{}, shares: map[string]time.Time{},
		settledAt: now.Add(p.MaxPropagationDelay + settleMargin), tickedAt: now, news: news{},
	}
}

// SetMembers replaces the list of the fleet's instances.
func (n *Node) SetMembers(m []peer.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = m
	clear(n.rankings)
}

// Hear counts what an answer of the service's replica says.
func (n *Node) Observe(service, replica string, w LimitReport) {
	n.heard(n.beliefs.change(replica, func(b Belief) Belief { return b.With(w, n.Self).withService(service) }))
}

// Unreached says that the service's replica could not be connected to: it may have started
// again, and be cold without its word for it yet.
func (n *Node) Unreached(service, replica string) {
	now := n.Clock()
	c := n.beliefs.change(replica, func(b Belief) Belief { return b.withSuspect(now.Add(SuspectFor)).withService(service) })
	if !now.Before(c.Before.SuspectUntil) {
		n.Log("replica_may_be_cold", "replica", replica, "reason", "not reached", "left", SuspectFor)
		n.tell(replica, now)
	}
}

// heard logs and tells what this instance heard, if it is news.
func (n *Node) heard(c Change) {
	if !c.IsNews() {
		return
	}
	n.logChange(c)
	n.tell(c.Replica, n.Clock())
}

// complainEvery bounds the lines on figures that can't be read.
const complainEvery = time.Second

// Unreadable says that an answer of the replica names what is no figure. It changes nothing.
func (n *Node) Unreadable(replica string, err error) {
	now := n.Clock()
	n.mu.Lock()
	due := !now.Before(n.complainAt)
	if due {
		n.complainAt = now.Add(complainEvery)
	}
	n.mu.Unlock()
	if due {
		n.Log("replica_limit_unreadable", "replica", replica, "error", err)
	}
}

// IsQuiet reports whether no replica has a limit or may be cold, as far as is known.
func (n *Node) IsQuiet() bool { return n.beliefs.len() == 0 }

// LimitedReplicas returns what is believed of the replicas that are limited.
func (n *Node) LimitedReplicas() map[string]Belief { return n.beliefs.limited() }

// UsedRates returns how many requests a second each limited replica got lately, for those that this
// instance counts for.
func (n *Node) UsedRates() map[string]float64 {
	limited := n.beliefs.limited()
	now := n.Clock()
	n.mu.Lock()
	defer n.mu.Unlock()
	l := map[string]float64{}
	for _, c := range n.charges {
		if !c.mine {
			continue
		}
		for r := range c.book.m {
			if _, ok := limited[r]; ok {
				l[r] = c.book.used(r, now)
			}
		}
	}
	return l
}

// Bound returns what the replica may get from all instances. coldPerSecond is what it bears
// while it is cold, 0 where it bears all at once, and isCold whether it says that it is.
func (n *Node) Bound(replica string, coldPerSecond float64, isCold bool) Bound {
	b := n.beliefs.of(replica)
	x := Bound{IsLimited: b.IsLimited(), PerSecond: b.PerSecond}
	if coldPerSecond > 0 && (isCold || n.Clock().Before(b.SuspectUntil)) {
		x.ColdPerSecond = coldPerSecond
	}
	return x
}

// IsResting reports whether the replica gets nothing now, by what this instance was told the
// last time that it asked.
func (n *Node) IsResting(replica string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Clock().Before(n.resting[replica])
}

func (n *Node) logChange(c Change) {
	if !c.IsNews() {
		return
	}
	event := "replica_limit_changed"
	switch {
	case !c.Before.IsLimited():
		event = "replica_limited"
	case !c.Now.IsLimited():
		event = "replica_limit_over"
	}
	now := n.Clock()
	n.Log(event, "replica", c.Replica, "service", c.Now.Service, "per_second", c.Now.PerSecond, "before", c.Before.PerSecond, "heard_by", c.Now.By, "named_ago", now.Sub(c.Now.NamedAt), "free_from_ago", ago(now, c.Now.FreeFrom))
}

// ago is how long before now the moment was; 0 for none.
func ago(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return now.Sub(t)
}
