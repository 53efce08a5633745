package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Release moves a backend service's requests from the replicas that run one
// release of its software to those that run another. The operator orders it;
// the instances carry it out by phases, each of which any of them may begin.
type Release struct {
	Service string
	// Target is the release that the operator wants.
	Target string
	// Order tells one order from the next for the same service.
	Order int64
	// Length is how long the operator gives it. The moment it ends can't be
	// stored: the instances share no clock, and each counts from when it saw
	// the order.
	Length time.Duration
	State  State
	Phase  int
}

// phase is a share of requests and the part of a release's length at whose
// end the next phase may begin.
type phase struct {
	share int
	until float64
}

// phases: for the first half only requests without a session, since no
// session that is under way may move then and instances can't tell which are;
// then growth by steps that each show a bad release before the next one, all
// requests for a while so that what runs on old replicas can end, and done
// well before the length is over.
var phases = []phase{
	{share: 700, until: 0.52},
	{share: 1000, until: 0.58},
	{share: 2500, until: 0.64},
	{share: 5000, until: 0.70},
	{share: Whole, until: 0.87},
}

// NewRelease returns an order that no instance has begun.
func NewRelease(service, target string, order int64, length time.Duration) Release {
	return Release{Service: service, Target: target, Order: order, Length: length, State: Running}
}

// Share is the part of the requests that go to the target, out of Whole.
func (r Release) Share() int {
	switch {
	case r.State == Done:
		return Whole
	case r.State != Running:
		return 0
	}
	return phases[min(r.Phase, len(phases)-1)].share
}

// PhaseLength is how long the phase lasts.
func (r Release) PhaseLength() time.Duration {
	if r.Phase >= len(phases) {
		return 0
	}
	f := phases[r.Phase].until
	if r.Phase > 0 {
		f -= phases[r.Phase-1].until
	}
	return time.Duration(f * float64(r.Length))
}

// Next returns r one phase on; after the last one it is done.
func (r Release) Next() Release {
	if r.State != Running {
		return r
	}
	r.Phase++
	if r.Phase >= len(phases) {
		r.State = Done
	}
	return r
}

// WithState returns r in the state; a final state is kept.
func (r Release) WithState(s State) Release {
	if r.State == Running {
		r.State = s
	}
	return r
}

// Takes reports whether requests with that key, a session's name or the
// request's own, go to the target. Keys only ever move to it while the release
// runs.
func (r Release) Takes(key string) bool {
	return int(xxhash.Sum64String(r.Target+"/"+key)%Whole) < r.Share()
}

// MovesSessions reports whether requests of sessions may go to the target.
func (r Release) MovesSessions() bool {
	return r.State == Done || r.State == Running && r.Phase > 0
}

// Supersedes reports whether r is newer knowledge than o of the same service.
func (r Release) Supersedes(o Release) bool {
	if r.Order != o.Order {
		return r.Order > o.Order
	}
	if o.State != Running {
		return false
	}
	return r.State != Running || r.Phase > o.Phase
}
