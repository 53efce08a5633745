package entry

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"fieldvale/placement"
	"fieldvale/pool"
)

// maxCandidates bounds the replicas among which a keeper chooses.
const maxCandidates = 12

// group returns the group of replicas that the key belongs to and its best
// candidates, the key's preferred replicas first.
func (w *forwarding) group(key string, c []*pool.Replica) (string, []*pool.Replica) {
	if key == "" {
		key = w.q.ID
	}
	n := placement.Groups(len(w.r.view.Get().byService[w.f.Service]))
	g := xxhash.Sum64String(key) % uint64(n)
	if n > 1 {
		if in := inGroup(c, g, uint64(n)); len(in) > 0 {
			c = in
		}
	}
	c = pool.Prefer(key, c)
	return w.f.Service + "/" + strconv.FormatUint(g, 10), c[:min(len(c), maxCandidates)]
}

// inGroup returns the replicas of the group.
func inGroup(c []*pool.Replica, g, n uint64) []*pool.Replica {
	var l []*pool.Replica
	for _, r := range c {
		if xxhash.Sum64String(r.ID)%n == g {
			l = append(l, r)
		}
	}
	return l
}

func ids(c []*pool.Replica) []string {
	l := make([]string, len(c))
	for i, r := range c {
		l[i] = r.ID
	}
	return l
}

func slots(c []*pool.Replica) []int {
	l := make([]int, len(c))
	for i, r := range c {
		l[i] = r.Slots
	}
	return l
}

// far returns the bits of the replicas in other data centres.
func (r *Router) far(c []*pool.Replica) uint64 {
	var m uint64
	for i, x := range c {
		if x.DataCentre != r.dataCentre {
			m |= 1 << i
		}
	}
	return m
}
