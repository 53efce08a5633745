package relay

import (
	"sync"
	"time"
)

// followerExpiryWaits is how many times the wait of a query may pass without a query until
// a follower is removed: one query may be lost, and one may go to another instance.
const followerExpiryWaits = 4

// followers is the set of unregistered instances that query this one, by address. It is
// safe for concurrent use.
type followers struct {
	mu sync.Mutex
	// expiry is how long a follower is kept after its last query.
	expiry    time.Duration
	expiresAt map[string]time.Time
	// countsUntil is until when a follower counts as one of this instance: its queries wait for
	// changes here, while it queries others only for lack of an answer.
	countsUntil map[string]time.Time
}

func newFollowers(expiry time.Duration) *followers {
	return &followers{expiry: expiry, expiresAt: map[string]time.Time{}, countsUntil: map[string]time.Time{}}
}

// record records a query. waits is set if the query waits for changes.
func (f *followers) record(addr string, waits bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expiresAt[addr] = now.Add(f.expiry)
	if waits {
		f.countsUntil[addr] = now.Add(f.expiry)
	}
}

// addrs returns the addresses of the followers.
func (f *followers) addrs(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return unexpired(f.expiresAt, now)
}

// count returns the number of followers that have this instance as their source.
func (f *followers) count(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(unexpired(f.countsUntil, now))
}

// unexpired deletes the addresses whose time has passed and returns the others.
func unexpired(until map[string]time.Time, now time.Time) []string {
	var l []string
	for a, t := range until {
		if now.After(t) {
			delete(until, a)
			continue
		}
		l = append(l, a)
	}
	return l
}

// Followers returns the addresses of the unregistered instances that follow this one.
func (n *Node) Followers() []string { return n.followers.addrs(n.clock()) }
