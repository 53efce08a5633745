package placement

import (
	"slices"
	"sync"
	"time"

	"fieldvale/peer"
)

const (
	// maxOpenRuns bounds the open runs that an instance keeps in order to report them
	// to a new owner, at some 300 bytes each. It is several times what an instance has
	// open at its peak. Runs beyond it are reported to the owner that placed them only.
	maxOpenRuns = 1024
	// maxOpenGroups bounds the groups for which an instance keeps the owner.
	maxOpenGroups = 256
	// maxRunOwners bounds the owners to which the end of a run is reported: the one
	// that placed it and the latest ones to which it was reported.
	maxRunOwners = 3
	// idleGroupLifetime is how long the owner of a group is kept after its last use.
	idleGroupLifetime = time.Minute
	// repeatDelay is the time after which reports are sent once more, in case that a
	// datagram was lost. It is long compared with a burst of losses in the network
	// and leaves a new owner's state complete within a second.
	repeatDelay = 300 * time.Millisecond
)

// openRun is a run that this instance placed and that has not ended.
type openRun struct {
	reportedRun
	// owners know the run; the first one placed it.
	owners []peer.Member
}

// openGroup has this instance's open runs of one group.
type openGroup struct {
	// owner is the one that knows all of the runs.
	owner peer.Member
	runs  map[uint64]*openRun
	// repeatAt is when the runs are to be reported once more; zero if they are not.
	repeatAt time.Time
	// displaced is set while owner stands in for a silent one, which is probed from
	// probeAt on.
	displaced bool
	probeAt   time.Time
	usedAt    time.Time
}

// openRuns has this instance's open runs by group. It is safe for concurrent use.
type openRuns struct {
	mu     sync.Mutex
	groups map[string]*openGroup
	count  int
}

func newOpenRuns() *openRuns { return &openRuns{groups: map[string]*openGroup{}} }

// runReport is a set of runs to report to an owner.
type runReport struct {
	group    string
	oldOwner string
	to       peer.Member
	runs     []reportedRun
}

// use returns the group, and adds it with the given owner if it is not there. It
// returns nil if there are too many groups.
func (o *openRuns) use(group string, owner peer.Member, now time.Time) *openGroup {
	g, ok := o.groups[group]
	if !ok {
		if len(o.groups) >= maxOpenGroups {
			return nil
		}
		g = &openGroup{owner: owner, runs: map[uint64]*openRun{}}
		o.groups[group] = g
	}
	g.usedAt = now
	return g
}

// add keeps a run that the owner placed. If another owner is the one that knows the
// group's other runs, add returns their report to this one. If this one is avoided
// since it left another request unanswered, the run is reported to the other owner with
// the next repeat, so that the owner does not change with each answer that arrives late.
func (o *openRuns) add(group string, owner peer.Member, x reportedRun, avoided bool, now time.Time) (runReport, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.use(group, owner, now)
	if g == nil {
		return runReport{}, false
	}
	var r runReport
	moved := false
	switch {
	case !avoided:
		r, moved = o.move(g, group, owner, false, now)
	case g.repeatAt.IsZero() && g.owner.ID != owner.ID:
		g.repeatAt = now.Add(repeatDelay)
	}
	if g.runs[x.ticket] != nil {
		o.remove(g, x.ticket)
	}
	if o.count < maxOpenRuns {
		g.runs[x.ticket] = &openRun{reportedRun: x, owners: []peer.Member{owner}}
		o.count++
	}
	return r, moved
}

// moveTo makes another instance the owner that knows the group's runs, and returns
// their report to it. It returns false if it is the owner already. oldOwner is the
// owner so far of a group that has not been used here, and displaced is set if it is
// silent.
func (o *openRuns) moveTo(group string, oldOwner, owner peer.Member, displaced bool, now time.Time) (runReport, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.use(group, oldOwner, now)
	if g == nil {
		return runReport{}, false
	}
	return o.move(g, group, owner, displaced, now)
}

// move is moveTo for a group with the lock held.
func (o *openRuns) move(g *openGroup, group string, owner peer.Member, displaced bool, now time.Time) (runReport, bool) {
	if g.owner.ID == owner.ID {
		g.owner = owner
		return runReport{}, false
	}
	old := g.owner.ID
	g.owner, g.displaced = owner, displaced
	g.repeatAt = now.Add(repeatDelay)
	return runReport{group: group, oldOwner: old, to: owner, runs: g.report(owner)}, true
}

// report returns all runs of the group, and notes that the owner knows them.
func (g *openGroup) report(owner peer.Member) []reportedRun {
	l := make([]reportedRun, 0, len(g.runs))
	for _, x := range g.runs {
		x.addOwner(owner)
		l = append(l, x.reportedRun)
	}
	return l
}

// addOwner notes that the owner knows the run.
func (x *openRun) addOwner(owner peer.Member) {
	if slices.ContainsFunc(x.owners, func(m peer.Member) bool { return m.ID == owner.ID }) {
		return
	}
	if len(x.owners) == maxRunOwners {
		x.owners = slices.Delete(x.owners, 1, 2)
	}
	x.owners = append(x.owners, owner)
}

// collect returns the report of the group's runs to an instance that asks for them,
// which then is the owner that knows them.
func (o *openRuns) collect(group string, collector peer.Member) (runReport, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, ok := o.groups[group]
	if !ok || len(g.runs) == 0 {
		return runReport{}, false
	}
	old := g.owner.ID
	g.owner, g.displaced = collector, true
	return runReport{group: group, oldOwner: old, to: collector, runs: g.report(collector)}, true
}

// update applies a report of the ticket's state, and returns the owners that are to
// receive it.
func (o *openRuns) update(t Ticket, m message) []peer.Member {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, ok := o.groups[t.group]
	if !ok {
		return []peer.Member{{ID: t.owner, Addr: t.addr}}
	}
	x, ok := g.runs[t.id]
	if !ok {
		return []peer.Member{{ID: t.owner, Addr: t.addr}}
	}
	if m.Prefilled != 0 {
		x.prefillMs = 0
		return slices.Clone(x.owners)
	}
	o.remove(g, t.id)
	return x.owners
}

func (o *openRuns) remove(g *openGroup, ticket uint64) {
	delete(g.runs, ticket)
	o.count--
}

// owners returns the owner that knows the runs, by group.
func (o *openRuns) owners() map[string]peer.Member {
	o.mu.Lock()
	defer o.mu.Unlock()
	m := make(map[string]peer.Member, len(o.groups))
	for k, g := range o.groups {
		m[k] = g.owner
	}
	return m
}

// dueReports drops what has expired and returns the reports that are to be repeated.
func (o *openRuns) dueReports(now time.Time) []runReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	var due []runReport
	for k, g := range o.groups {
		for t, x := range g.runs {
			if now.After(x.endsAt.Add(runExpiry)) {
				o.remove(g, t)
			}
		}
		if len(g.runs) == 0 && now.Sub(g.usedAt) > idleGroupLifetime {
			delete(o.groups, k)
			continue
		}
		if !g.repeatAt.IsZero() && !now.Before(g.repeatAt) {
			g.repeatAt = time.Time{}
			due = append(due, runReport{group: k, oldOwner: g.owner.ID, to: g.owner, runs: g.report(g.owner)})
		}
	}
	return due
}

// displaced returns the owners that stand in for silent ones, by group, of the groups
// with open runs whose owner may be probed now.
func (o *openRuns) displaced(now time.Time) map[string]peer.Member {
	o.mu.Lock()
	defer o.mu.Unlock()
	var m map[string]peer.Member
	for k, g := range o.groups {
		if g.displaced && len(g.runs) > 0 && !now.Before(g.probeAt) {
			m = withEntry(m, k, g.owner)
		}
	}
	return m
}

// setProbe sets the time of the next probe of the group's owner.
func (o *openRuns) setProbe(group string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if g, ok := o.groups[group]; ok {
		g.probeAt = at
	}
}

// settle notes that the owner that knows the group's runs does not stand in for another.
func (o *openRuns) settle(group string, owner peer.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if g, ok := o.groups[group]; ok && g.owner.ID == owner.ID {
		g.displaced = false
	}
}
