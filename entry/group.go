package entry

import (
	"slices"
	"strconv"

	"fieldvale/placement"
	"fieldvale/pool"
)

// maxCandidates bounds the replicas among which a group's owner chooses.
const maxCandidates = 12

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
	return w.result.Service + "/" + strconv.Itoa(k), firstCandidates(key, c)
}

// firstCandidates returns the first replicas in the key's order of preference.
func firstCandidates(key string, l []*pool.Replica) []*pool.Replica {
	if len(l) == 0 {
		return nil
	}
	l = pool.RendezvousOrder(key, l)
	return l[:min(len(l), maxCandidates)]
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
