package entry

import (
	"slices"
	"strconv"

	"fieldvale/placement"
	"fieldvale/pool"
)

const (
	// maxCandidates bounds the replicas among which a group's owner chooses.
	maxCandidates = 12
	// maxCompletionCandidates is the bound for requests that are placed by completion. The load of
	// streams differs between replicas by more than that of prompts, so that the whole group is
	// looked at. placement.Request.RemoteBits has room for 64.
	maxCompletionCandidates = 48
)

// placementGroup returns the key's group among the allowed replicas, and its best candidates in
// the key's order of preference.
func (w *forwarding) placementGroup(key string, allowed, c []*pool.Replica) (group string, best []*pool.Replica) {
	if key == "" {
		key = w.q.ID
	}
	g := placement.NewGroups(len(allowed), pool.IDs(allowed))
	k := g.ForKey(key)
	if in := inGroup(c, g, k); len(in) > 0 {
		c = in
	}
	return w.result.Service + "/" + strconv.Itoa(k), firstCandidates(key, c, w.candidateLimit())
}

// candidateLimit is the bound on the request's candidates.
func (w *forwarding) candidateLimit() int {
	if w.placesByCompletion() {
		return maxCompletionCandidates
	}
	return maxCandidates
}

// firstCandidates returns the first replicas in the key's order of preference.
func firstCandidates(key string, l []*pool.Replica, limit int) []*pool.Replica {
	if len(l) == 0 {
		return nil
	}
	l = pool.RendezvousOrder(key, l)
	return l[:min(len(l), limit)]
}

// inGroup returns the replicas of the group.
func inGroup(c []*pool.Replica, g placement.Groups, group int) []*pool.Replica {
	if g.Len() == 1 {
		return c
	}
	var l []*pool.Replica
	for _, r := range c {
		if g.ForReplica(r.ID) == group {
			l = append(l, r)
		}
	}
	return l
}

func ids(c []*pool.Replica) []string {
	return slices.AppendSeq(make([]string, 0, len(c)), pool.IDs(c))
}

// remoteBits returns a bit mask of the replicas in other data centres.
func (r *Router) remoteBits(c []*pool.Replica) uint64 {
	var m uint64
	for i, x := range c {
		if x.DataCentre != r.dataCentre {
			m |= 1 << i
		}
	}
	return m
}
