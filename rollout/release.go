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
	// Phase is below 0 for an order that no instance has begun.
	Phase int
	// Ran is how long the release had run at least when its progress was
	// recorded. Instances that start later know by it where it stands.
	Ran time.Duration
	// Avoid is the release that the order before wanted and that was taken
	// back; its replicas may still be there.
	Avoid string
}

// phase is a share of requests and the part of a release's length at whose
// end the next phase may begin.
type phase struct {
	share int
	until float64
}

// phases: for the first half only requests without a session, since no
// session that is under way may move then and instances can't tell which are.
// Then shares that show a bad release while it has little, and all requests for a
// while, so that what runs on old replicas can end, and done well before the length is
// over. Of drawn days with a release that is bad under load, those of 14 s leave
// some 1.7 s of all requests until 15 in 100 of the length's are used up; the shares
// before it take a third of that.
var phases = []phase{
	{share: 700, until: 0.52},
	{share: 1000, until: 0.57},
	{share: 3000, until: 0.72},
	{share: Whole, until: 0.87},
}

const (
	// holdPart of the length is how long a release that is near to being found
	// bad stays in its phase at most: long enough for some ten more answers, short
	// enough for a good one to be done in time.
	holdPart = 0.06
	// leastPart of a phase is how long it lasts at least when phases are late.
	leastPart = 0.5
)

// NewRelease returns an order that no instance has begun.
func NewRelease(service, target string, order int64, length time.Duration) Release {
	return Release{Service: service, Target: target, Order: order, Length: length, State: Running, Phase: -1}
}

// Share is the part of the requests that go to the target, out of Whole.
func (r Release) Share() int {
	switch {
	case r.State == Done:
		return Whole
	case r.State != Running || r.Phase < 0:
		return 0
	}
	return phases[min(r.Phase, len(phases)-1)].share
}

// PhaseLength is how long the phase lasts.
func (r Release) PhaseLength() time.Duration {
	if r.Phase < 0 || r.Phase >= len(phases) {
		return 0
	}
	f := phases[r.Phase].until
	if r.Phase > 0 {
		f -= phases[r.Phase-1].until
	}
	return r.part(f)
}

func (r Release) part(f float64) time.Duration { return time.Duration(f * float64(r.Length)) }

// IsDue reports whether the next phase may begin, for a release that was ordered
// ran ago and is in its phase for lasted. Phases that are late, as after an outage,
// are made up for, but none is left out. A suspect one waits a little longer.
func (r Release) IsDue(ran, lasted time.Duration, suspect bool) bool {
	if r.Phase < 0 {
		return true
	}
	if r.Phase >= len(phases) {
		return false
	}
	until := r.part(phases[r.Phase].until)
	if suspect {
		until += r.part(holdPart)
	}
	least := time.Duration(leastPart * float64(r.PhaseLength()))
	return ran >= until && lasted >= least
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

// IsShared reports whether both releases get requests, so that they can be
// compared.
func (r Release) IsShared() bool { return r.Share() > 0 && r.Share() < Whole }

// MovesSessions reports whether requests of sessions may go to the target.
func (r Release) MovesSessions() bool {
	return r.State == Done || r.State == Running && r.Phase > 0
}

// Allows reports whether requests may go to replicas of the release.
func (r Release) Allows(release string) bool { return release == r.Target || release != r.Avoid }

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
