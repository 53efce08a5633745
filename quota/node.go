package quota

import (
	"sync"
	"time"

	"fieldvale/peer"
	"fieldvale/reply"
)

// Transport sends datagrams to other instances. Datagrams may be lost.
type Transport interface {
	Send(addr string, b []byte) error
}

// Config holds a node's identity and dependencies.
type Config struct {
	// Self is the id of this instance.
	Self string
	// Net may be nil, if instances can't reach one another. Each instance then uses its share of
	// each limit, by FleetSize.
	Net   Transport
	Clock func() time.Time
	// FleetSize returns the number of instances, 0 if it is unknown. It must not be too small
	// where this instance is isolated.
	FleetSize func() int
	// Followers returns the addresses of the unregistered instances to which this instance relays
	// the records that it receives. It may be nil.
	Followers func() []string
	// IsMembershipCurrent reports whether the list of members was confirmed recently. All instances
	// learn of a change of the list within MaxPropagationDelay.
	IsMembershipCurrent func() bool
	MaxPropagationDelay time.Duration
	// Rand returns a random number in [0, 1).
	Rand func() float64
	Log  func(event string, fields ...any)
}

// Node is one instance's part in enforcing limits: it keeps limit records, asks owners for permits,
// and owns services itself.
type Node struct {
	Config
	// records hold the limits on requests that replicas advertise, rejections those on requests that
	// they have to reject.
	records, rejections *recordTable
	pending             *reply.Pending[wireAnswer]

	mu       sync.Mutex
	members  []peer.Member
	rankings map[string][]peer.Member
	services map[string]*serviceState
	// lastReceived is when the last datagram of each other instance arrived.
	lastReceived map[string]time.Time
	// avoid maps instances that sent no answer to the time until which they are not asked.
	avoid map[string]time.Time
	// lastRejection is the id of the last rejection that this instance reported.
	lastRejection uint64
	// exhaustedUntil maps replicas to the time until which their owner grants no permit.
	exhaustedUntil map[string]time.Time
	// nextShare is when this instance may next send to a replica without a permit of the owner.
	nextShare map[string]time.Time
	// mayOwnFrom is the time from which this instance may own services, lastTick the time of the
	// last Tick, nextSweep that of the next sweep.
	mayOwnFrom, lastTick, nextSweep time.Time
	updates                         updates
	// nextInvalidLog is the earliest time for the next log line about an invalid limit.
	nextInvalidLog time.Time
}

// NewNode returns a node without records or members. start is the first question id; it must differ
// from run to run, so that late answers to an earlier run match no question.
func NewNode(start uint64, cfg Config) *Node {
	now := cfg.Clock()
	return &Node{
		Config: cfg, records: newRecordTable(), rejections: newRecordTable(), lastRejection: start, pending: reply.New[wireAnswer](start), rankings: map[string][]peer.Member{}, services: map[string]*serviceState{},
		lastReceived: map[string]time.Time{}, avoid: map[string]time.Time{}, exhaustedUntil: map[string]time.Time{}, nextShare: map[string]time.Time{},
		mayOwnFrom: now.Add(cfg.MaxPropagationDelay + settleMargin), lastTick: now, updates: updates{},
	}
}

// SetMembers replaces the list of registered members.
func (n *Node) SetMembers(m []peer.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = m
	clear(n.rankings)
}

// Observe records the limit report of a response of the service's replica.
func (n *Node) Observe(service, replica string, w LimitReport) {
	n.handleChange(n.records.update(replica, func(r LimitRecord) LimitRecord { return r.WithReport(w, n.Self).withService(service) }))
}

// ReportUnreachable records that the service's replica could not be connected to. It may have restarted,
// and be cold without having reported it yet.
func (n *Node) ReportUnreachable(service, replica string) {
	now := n.Clock()
	c := n.records.update(replica, func(r LimitRecord) LimitRecord { return r.withMaybeCold(now.Add(MaybeColdFor)).withService(service) })
	if !now.Before(c.Before.MaybeColdUntil) {
		n.Log("replica_may_be_cold", "replica", replica, "reason", "not reached", "left", MaybeColdFor)
		n.publish(replica, now)
	}
}

// handleChange logs and publishes a change of the limit in force that this instance observed.
func (n *Node) handleChange(c Change) {
	if !c.LimitChanged() {
		return
	}
	n.logChange(c)
	n.publish(c.Replica, n.Clock())
}

// invalidLogInterval is the minimum time between two log lines about invalid limits.
const invalidLogInterval = time.Second

// LogInvalidLimit logs that a response of the replica has an invalid limit, which changes nothing else.
// Log lines are limited to one per invalidLogInterval.
func (n *Node) LogInvalidLimit(replica string, err error) {
	now := n.Clock()
	n.mu.Lock()
	due := !now.Before(n.nextInvalidLog)
	if due {
		n.nextInvalidLog = now.Add(invalidLogInterval)
	}
	n.mu.Unlock()
	if due {
		n.Log("replica_limit_unreadable", "replica", replica, "error", err)
	}
}

// IsUnrestricted reports whether there are no records, so that, as far as this instance knows, no replica
// has a limit or may be cold.
func (n *Node) IsUnrestricted() bool { return n.records.len() == 0 && n.rejections.len() == 0 }

// LimitedReplicas returns the records of the replicas that are limited now.
func (n *Node) LimitedReplicas() map[string]LimitRecord { return n.records.limited() }

// UsedRates returns how many requests a second each limited replica was granted recently, for the
// services that this instance owns.
func (n *Node) UsedRates() map[string]float64 {
	limited := n.records.limited()
	now := n.Clock()
	n.mu.Lock()
	defer n.mu.Unlock()
	l := map[string]float64{}
	for _, s := range n.services {
		if !s.isOwner {
			continue
		}
		for r := range s.grants.byReplica {
			if _, ok := limited[r]; ok {
				l[r] = s.grants.rate(r, now)
			}
		}
	}
	return l
}

// Bound returns what the replica may get from all instances. coldPerSecond is what it may get while
// it is cold, 0 if that is not limited. isCold is true if the replica reports that it is cold.
func (n *Node) Bound(replica string, coldPerSecond float64, isCold bool) Bound {
	r := n.records.get(replica)
	x := Bound{IsLimited: r.IsLimited(), PerSecond: r.PerSecond}
	x.IsFragile, x.Rejections = n.rejectionBound(replica, true)
	if coldPerSecond > 0 && (isCold || n.Clock().Before(r.MaybeColdUntil)) {
		x.ColdPerSecond = coldPerSecond
	}
	return x
}

// IsExhausted reports whether the replica's permits are exhausted, by the owner's last answer.
func (n *Node) IsExhausted(replica string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Clock().Before(n.exhaustedUntil[replica])
}

// logChange logs a change of the limit in force.
func (n *Node) logChange(c Change) {
	if !c.LimitChanged() {
		return
	}
	event := "replica_limit_changed"
	switch {
	case !c.Before.IsLimited():
		event = "replica_limited"
	case !c.After.IsLimited():
		event = "replica_limit_over"
	}
	now := n.Clock()
	n.Log(event, "replica", c.Replica, "service", c.After.Service, "per_second", c.After.PerSecond, "before", c.Before.PerSecond, "heard_by", c.After.ReportedBy, "named_ago", now.Sub(c.After.ReceivedAt), "free_from_ago", ago(now, c.After.UnlimitedSince))
}

// ago returns the time from t until now; 0 if t is zero.
func ago(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return now.Sub(t)
}
