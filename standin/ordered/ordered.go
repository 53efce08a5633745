// Package ordered models the release that a soak run orders: it determines how the
// replicas of the new release respond, counts the requests that they receive, and checks
// that a bad release does not receive more of them than the configured bound.
package ordered

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The names of the release in use before the order and of the ordered one.
const (
	OldVersion = "v1"
	NewVersion = "v2"
)

const (
	// ExposedPart and ExposedSlack bound the requests that a bad release may receive
	// during its roll-out: a fraction of all requests plus a constant. They equal the
	// values in the settings of the nodes.
	ExposedPart  = 0.15
	ExposedSlack = 30
	// badPercent is the percentage of a bad release's responses that fail or are
	// delayed.
	badPercent = 50
	// slowDelay is the delay of a delayed response of a slow release.
	slowDelay = 400 * time.Millisecond
)

// kind classifies the responses of a release.
type kind int

const (
	good kind = iota
	failing
	slow
	// kinds is the number of kinds.
	kinds
)

func (k kind) String() string { return [...]string{"good", "failing", "slow"}[k] }

// Release is the ordered release with the request counts of its roll-out. It is safe
// for concurrent use.
type Release struct {
	kind kind
	mu   sync.Mutex
	// ends is the time at which the roll-out ends, zero until the release is ordered.
	ends     time.Time
	received map[string]int
	rand     *rand.Rand
}

// ForSeed returns the release for a seed; the same seed gives the same kind and the
// same sequence of faults.
func ForSeed(seed uint64) *Release {
	return &Release{kind: kind(seed % uint64(kinds)), received: map[string]int{}, rand: rand.New(rand.NewPCG(seed, 99))}
}

// StartRollout records that the release is ordered now and that its roll-out takes length.
func (r *Release) StartRollout(length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = time.Now().Add(length)
}

// CountRequest counts a request that a replica of the named release received. Requests
// after the roll-out are not counted.
func (r *Release) CountRequest(of string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.ends) {
		r.received[of]++
	}
}

// InjectFault injects the fault of the next response of the named release: it sleeps if a
// slow release is to delay the response, and reports whether the response is to fail.
// Only the new release has faults.
func (r *Release) InjectFault(of string) bool {
	r.mu.Lock()
	faulty := of == NewVersion && r.rand.IntN(100) < badPercent
	r.mu.Unlock()
	if faulty && r.kind == slow {
		time.Sleep(slowDelay)
	}
	return faulty && r.kind == failing
}

// CheckExposure returns a violation if a bad release received more requests than ExposedPart
// and ExposedSlack allow.
func (r *Release) CheckExposure() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.received[OldVersion] + r.received[NewVersion]
	if n := r.received[NewVersion]; r.kind != good && float64(n) > ExposedPart*float64(all)+ExposedSlack {
		return []string{fmt.Sprintf("a %s release received %d of the %d requests during its roll-out, want at most %.0f%% plus %d", r.kind, n, all, 100*ExposedPart, ExposedSlack)}
	}
	return nil
}

// String returns the kind of the release and its request counts.
func (r *Release) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%s: %d of %d requests", r.kind, r.received[NewVersion], r.received[OldVersion]+r.received[NewVersion])
}
