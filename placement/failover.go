package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"fieldvale/peer"
)

const (
	// maxRunsPerDatagram bounds the size of a report to some 6 kB.
	maxRunsPerDatagram = 32
	// collectInterval is the least time between two collections of a group's runs.
	collectInterval = time.Second
	// receiptPeriod is the time for which received runs are counted for one log line.
	receiptPeriod = time.Second
	// maxTakeovers bounds the groups for which collections and receipts are kept.
	maxTakeovers = 256
)

// collection is a request to all members for their open runs of a group.
type collection struct {
	silentOwner string
	// repeatAt is when the request is to be sent once more; zero if it is not.
	repeatAt time.Time
	// endsAt is when the runs may be collected again.
	endsAt time.Time
}

// receipt counts the runs of a group that were reported to this instance.
type receipt struct {
	oldOwner       string
	received, news int
	endsAt         time.Time
}

// takeovers has the groups whose state this instance takes over as their new owner, and
// the counts of reported runs. It is safe for concurrent use.
type takeovers struct {
	mu          sync.Mutex
	collections map[string]collection
	receipts    map[string]receipt
	// reported and received count runs since the start.
	reported, received uint64
}

func newTakeovers() *takeovers {
	return &takeovers{collections: map[string]collection{}, receipts: map[string]receipt{}}
}

// RunCounts are counts of runs that were placed by completion.
type RunCounts struct {
	// Known is the number of running ones that this instance counts as an owner.
	Known int
	// Reported and Received are the numbers that were reported to new owners, and
	// that were reported to this instance, since its start.
	Reported, Received uint64
}

// RunCounts returns the current counts.
func (n *Node) RunCounts() RunCounts {
	t := n.takeover
	t.mu.Lock()
	defer t.mu.Unlock()
	return RunCounts{Known: n.tracker.runCount(), Reported: t.reported, Received: t.received}
}

// placed returns the ticket of a choice, and keeps the run if it was placed by
// completion.
func (n *Node) placed(group string, owner peer.Member, r Request, c Choice) Ticket {
	t := Ticket{owner: owner.ID, addr: owner.Addr, id: c.Ticket, group: group}
	if !r.ByCompletion || c.Index < 0 {
		return t
	}
	now := n.clock()
	x := reportedRun{
		ticket: c.Ticket, replica: r.Replicas[c.Index], pace: r.Pace, memoryTokens: r.MemoryTokens,
		endsAt: r.expectedEnd(c, now), prefillMs: c.PrefillMs, customer: r.Customer,
	}
	if report, moved := n.open.add(group, owner, x, n.isAvoided(owner.ID), now); moved {
		n.sendRuns(report, "")
	}
	return t
}

// followSilence reports the open runs of a group whose owner did not answer to the next
// owner. It also does so without any runs, since the next owner then collects those of
// the instances that have not asked the silent one.
func (n *Node) followSilence(group string, silent peer.Member, r Request) {
	if !r.ByCompletion {
		return
	}
	if report, moved := n.open.moveTo(group, silent, n.ownerOrSelf(group), true, n.clock()); moved {
		n.sendRuns(report, silent.ID)
	}
}

// ownerOrSelf returns the group's owner, or this instance if there is none.
func (n *Node) ownerOrSelf(group string) peer.Member {
	if o, ok := n.owner(group); ok {
		return o
	}
	return peer.Member{ID: n.self}
}

// followMembers reports the open runs of the groups whose owner was removed from the
// list of members or was added to it. An owner that is on both lists differs from the
// one that knows the runs only if it was silent, and is probed before it gets them.
func (n *Node) followMembers(old, members []peer.Member) {
	for group, was := range n.open.owners() {
		o := n.ownerOrSelf(group)
		if hasMember(members, was.ID) && hasMember(old, o.ID) {
			continue
		}
		if report, moved := n.open.moveTo(group, was, o, false, n.clock()); moved {
			n.sendRuns(report, "")
		}
	}
}

func hasMember(l []peer.Member, id string) bool {
	return slices.ContainsFunc(l, func(m peer.Member) bool { return m.ID == id })
}

// sendRuns reports runs to an owner. silentOwner is the one that did not answer, empty
// if there is none.
func (n *Node) sendRuns(r runReport, silentOwner string) {
	n.takeover.mu.Lock()
	n.takeover.reported += uint64(len(r.runs))
	n.takeover.mu.Unlock()
	if len(r.runs) > 0 && r.oldOwner != r.to.ID {
		n.log("runs_reported", "group", r.group, "old_owner", r.oldOwner, "owner", r.to.ID, "runs", len(r.runs), "addr", r.to.Addr)
	}
	now := n.clock()
	if r.to.ID == n.self {
		n.adoptRuns(r.group, r.oldOwner, r.runs)
		n.collect(r.group, silentOwner)
		return
	}
	if len(r.runs) == 0 && silentOwner != "" {
		_ = n.net.Send(r.to.Addr, encode(message{Group: r.group, SilentOwner: silentOwner}))
	}
	for part := range slices.Chunk(r.runs, maxRunsPerDatagram) {
		m := message{Group: r.group, SilentOwner: silentOwner}
		for _, x := range part {
			m.Runs = append(m.Runs, newWireRun(x, now))
		}
		_ = n.net.Send(r.to.Addr, encode(m))
	}
}

// receiveRuns handles a report of open runs, or a request for them.
func (n *Node) receiveRuns(from string, m message) {
	if m.Collector != "" {
		if r, ok := n.open.collect(m.Group, peer.Member{ID: m.Collector, Addr: from}); ok {
			n.sendRuns(r, "")
		}
		return
	}
	if len(m.Runs) > 0 {
		now, runs := n.clock(), make([]reportedRun, 0, len(m.Runs))
		for _, w := range m.Runs[:min(len(m.Runs), maxRunsPerDatagram)] {
			runs = append(runs, w.run(now))
		}
		n.adoptRuns(m.Group, m.SilentOwner, runs)
	}
	n.collect(m.Group, m.SilentOwner)
}

// adoptRuns counts the reported runs of a group.
func (n *Node) adoptRuns(group, oldOwner string, runs []reportedRun) {
	now := n.clock()
	added := n.tracker.adopt(runs, now)
	t := n.takeover
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received += uint64(len(runs))
	c, ok := t.receipts[group]
	if !ok && len(t.receipts) >= maxTakeovers {
		return
	}
	if !ok {
		c.endsAt = now.Add(receiptPeriod)
	}
	if oldOwner != "" {
		c.oldOwner = oldOwner
	}
	c.received += len(runs)
	c.news += added
	t.receipts[group] = c
}

// collect asks all members for their open runs of a group whose owner did not answer
// another instance: those without a new request for the group would not notice. It does
// so only if the owner doesn't answer this instance either, because a lost datagram or a
// link that fails must not cause a message to each member.
func (n *Node) collect(group, silentOwner string) {
	if silentOwner == "" || silentOwner == n.self || !n.takeover.startCollection(group, silentOwner, n.clock()) {
		return
	}
	if o, ok := n.member(silentOwner); ok && !n.isAvoided(silentOwner) {
		go n.collectUnlessAnswered(group, o)
		return
	}
	n.sendCollection(group, silentOwner)
}

// collectUnlessAnswered asks the members for their runs if the owner does not answer.
func (n *Node) collectUnlessAnswered(group string, owner peer.Member) {
	if n.probe(owner) {
		n.takeover.cancelCollection(group)
		return
	}
	n.sendCollection(group, owner.ID)
}

// probe reports whether the owner answers, and has it avoided if it does not. A request
// without candidates gets an answer and places nothing, also in earlier builds.
func (n *Node) probe(owner peer.Member) bool {
	if _, ok := n.ask(context.Background(), owner, Request{Replicas: []string{}}); ok {
		return true
	}
	n.avoidOwner(owner)
	return false
}

// sendCollection asks all members but the silent owner for their open runs of the group.
func (n *Node) sendCollection(group, silentOwner string) {
	b := encode(message{Group: group, SilentOwner: silentOwner, Collector: n.self})
	for _, m := range n.Members() {
		if m.ID != n.self && m.ID != silentOwner {
			_ = n.net.Send(m.Addr, b)
		}
	}
	if r, ok := n.open.collect(group, peer.Member{ID: n.self}); ok {
		n.adoptRuns(group, silentOwner, r.runs)
	}
}

// startCollection reports whether the runs of the group may be collected now, which is
// at most once per collectInterval.
func (t *takeovers) startCollection(group, silentOwner string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.collections[group]; ok && now.Before(c.endsAt) || !ok && len(t.collections) >= maxTakeovers {
		return false
	}
	t.collections[group] = collection{silentOwner: silentOwner, repeatAt: now.Add(repeatDelay), endsAt: now.Add(collectInterval)}
	return true
}

// cancelCollection allows the next collection of the group at once.
func (t *takeovers) cancelCollection(group string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.collections, group)
}

// due drops what has ended. It returns the collections that are to be repeated and the
// receipts that are to be logged, by group.
func (t *takeovers) due(now time.Time) (repeats map[string]collection, ended map[string]receipt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, c := range t.collections {
		if !c.repeatAt.IsZero() && !now.Before(c.repeatAt) {
			c.repeatAt = time.Time{}
			t.collections[k] = c
			repeats = withEntry(repeats, k, c)
		}
		if !now.Before(c.endsAt) {
			delete(t.collections, k)
		}
	}
	for k, c := range t.receipts {
		if !now.Before(c.endsAt) {
			delete(t.receipts, k)
			ended = withEntry(ended, k, c)
		}
	}
	return repeats, ended
}

// withEntry adds an entry to a map that may be nil.
func withEntry[V any](m map[string]V, k string, v V) map[string]V {
	if m == nil {
		m = map[string]V{}
	}
	m[k] = v
	return m
}

// Tick performs what is due: reports that are repeated, probes of owners that were
// silent, and the log lines of received runs. It is to be called some times a second.
func (n *Node) Tick() {
	now := n.clock()
	n.tracker.dropExpired(now)
	for _, r := range n.open.dueReports(now) {
		n.sendRuns(r, "")
	}
	repeats, ended := n.takeover.due(now)
	for group, c := range repeats {
		n.sendCollection(group, c.silentOwner)
	}
	for group, c := range ended {
		n.log("runs_received", "group", group, "old_owner", c.oldOwner, "owner", n.self, "runs", c.received, "not_known_before", c.news)
	}
	n.probeOwners(now)
}

// probeOwners probes the owners of groups for which another instance stands in since
// they were silent, and reports the open runs to those that answer.
func (n *Node) probeOwners(now time.Time) {
	for group, was := range n.open.displaced(now) {
		o := n.ownerOrSelf(group)
		if o.ID == was.ID {
			if !n.avoidsAny(now) {
				n.open.settle(group, was)
			}
			continue
		}
		n.open.setProbe(group, now.Add(avoidOwnerFor))
		go func() {
			if o.ID != n.self && !n.probe(o) {
				return
			}
			if r, moved := n.open.moveTo(group, was, o, false, n.clock()); moved {
				n.sendRuns(r, "")
			}
		}()
	}
}

// member returns the member with the id.
func (n *Node) member(id string) (peer.Member, bool) {
	for _, m := range n.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return peer.Member{}, false
}

// isAvoided reports whether the owner did not answer lately.
func (n *Node) isAvoided(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.clock().Before(n.avoidUntil[id])
}

// avoidsAny reports whether any owner is avoided.
func (n *Node) avoidsAny(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range n.avoidUntil {
		if now.Before(t) {
			return true
		}
	}
	return false
}
