// Package ordered holds the release that a soak orders: how its replicas answer, what
// they got, and whether that is more than a bad one may get.
package ordered

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The releases' names.
const (
	Old = "v1"
	New = "v2"
)

const (
	// ExposedPart and ExposedSlack are what a bad release may get of the requests
	// of its length, as the nodes' settings have it.
	ExposedPart  = 0.15
	ExposedSlack = 30
	// badChance of a bad release's answers fail or come late, in a hundred.
	badChance = 50
	// lateBy is how much later a slow release's answers come.
	lateBy = 400 * time.Millisecond
)

// kind is how a release answers.
type kind int

const (
	good kind = iota
	failing
	slow
	kinds
)

func (k kind) String() string { return [...]string{"good", "failing", "slow"}[k] }

// Release is the one that is ordered, and what its replicas got. It is safe for
// concurrent use.
type Release struct {
	kind kind
	mu   sync.Mutex
	// ends is when its length is over, zero until it is ordered.
	ends time.Time
	got  map[string]int
	rand *rand.Rand
}

// ForSeed returns the release of that seed.
func ForSeed(seed uint64) *Release {
	return &Release{kind: kind(seed % uint64(kinds)), got: map[string]int{}, rand: rand.New(rand.NewPCG(seed, 99))}
}

// Begin notes that the release is ordered now, for so long.
func (r *Release) Begin(length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = time.Now().Add(length)
}

// Reached counts a request that reached a replica of the named release.
func (r *Release) Reached(of string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.ends) {
		r.got[of]++
	}
}

// Spoil makes the named release's next answer late, if it is a slow one, and reports
// whether it fails.
func (r *Release) Spoil(of string) bool {
	r.mu.Lock()
	spoil := of == New && r.rand.IntN(100) < badChance
	r.mu.Unlock()
	if spoil && r.kind == slow {
		time.Sleep(lateBy)
	}
	return spoil && r.kind == failing
}

// Settle returns what is broken of what a release may get.
func (r *Release) Settle() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.got[Old] + r.got[New]
	if n := r.got[New]; r.kind != good && float64(n) > ExposedPart*float64(all)+ExposedSlack {
		return []string{fmt.Sprintf("a %s release got %d of %d requests of its length", r.kind, n, all)}
	}
	return nil
}

// String tells of the release and what it got.
func (r *Release) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%s: %d of %d requests", r.kind, r.got[New], r.got[Old]+r.got[New])
}
