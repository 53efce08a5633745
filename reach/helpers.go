package reach

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fieldvale/peer"
)

const (
	// maxHelpers bounds the instances that are asked to reach a server for one connection.
	maxHelpers = 8
	// refusedSpan is how long an instance that refused or did not answer is asked after all others.
	refusedSpan = 3 * time.Second
)

// helper is what is known of another instance as a way to servers.
type helper struct {
	// open is the number of this instance's connections through it.
	open int
	// refusedUntil is until when it is asked after all others.
	refusedUntil time.Time
}

// Helpers chooses the instances through which servers are reached. It is safe for concurrent use.
type Helpers struct {
	mu         sync.Mutex
	clock      func() time.Time
	rand       func() float64
	self       peer.Member
	members    []peer.Member
	byInstance map[string]*helper
}

// NewHelpers returns the helpers of the instance self; rand returns random numbers in [0, 1).
func NewHelpers(self peer.Member, clock func() time.Time, rand func() float64) *Helpers {
	return &Helpers{clock: clock, rand: rand, self: self, byInstance: map[string]*helper{}}
}

// SetMembers sets the instances of the fleet.
func (h *Helpers) SetMembers(m []peer.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members = slices.DeleteFunc(slices.Clone(m), func(x peer.Member) bool { return x.ID == h.self.ID })
	for id := range h.byInstance {
		if h.byInstance[id].open == 0 && !slices.ContainsFunc(h.members, func(x peer.Member) bool { return x.ID == id }) {
			delete(h.byInstance, id)
		}
	}
}

// Choose returns the instances to ask for a connection, in order: those that did not refuse lately
// first, then those with the fewest connections of this instance, then those in its data centre. Only
// instances that may is true for are asked.
func (h *Helpers) Choose(may func(peer.Member) bool) []peer.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	type ranked struct {
		member  peer.Member
		refused bool
		open    int
		remote  bool
		tie     float64
	}
	l := make([]ranked, 0, len(h.members))
	for _, m := range h.members {
		if !may(m) {
			continue
		}
		x := h.helper(m.ID)
		l = append(l, ranked{m, now.Before(x.refusedUntil), x.open, m.DataCentre != h.self.DataCentre, h.rand()})
	}
	slices.SortFunc(l, func(a, b ranked) int {
		return cmp.Or(compareBool(a.refused, b.refused), cmp.Compare(a.open, b.open), compareBool(a.remote, b.remote), cmp.Compare(a.tie, b.tie))
	})
	var m []peer.Member
	for _, x := range l[:min(maxHelpers, len(l))] {
		m = append(m, x.member)
	}
	return m
}

// Member returns the instance with the id; false if it is not known any more.
func (h *Helpers) Member(id string) (peer.Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.IndexFunc(h.members, func(m peer.Member) bool { return m.ID == id })
	if i < 0 {
		return peer.Member{}, false
	}
	return h.members[i], true
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Refused records that the instance refused a connection, did not answer, or did not reach a server that
// another one reached.
func (h *Helpers) Refused(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.helper(id).refusedUntil = h.clock().Add(refusedSpan)
}

// Opened counts a connection through the instance, and Closed its end.
func (h *Helpers) Opened(id string) { h.count(id, 1) }

// Closed counts the end of a connection through the instance.
func (h *Helpers) Closed(id string) { h.count(id, -1) }

func (h *Helpers) count(id string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.helper(id).open += n
}

// helper returns the state of the instance. The caller must hold h.mu.
func (h *Helpers) helper(id string) *helper {
	x, ok := h.byInstance[id]
	if !ok {
		x = &helper{}
		h.byInstance[id] = x
	}
	return x
}
