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
}

func newFollowers(expiry time.Duration) *followers {
	return &followers{expiry: expiry, expiresAt: map[string]time.Time{}}
}

// record records a query.
func (f *followers) record(addr string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expiresAt[addr] = now.Add(f.expiry)
}

// addrs returns the addresses of the followers.
func (f *followers) addrs(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []string
	for a, t := range f.expiresAt {
		if now.After(t) {
			delete(f.expiresAt, a)
			continue
		}
		l = append(l, a)
	}
	return l
}

// count returns the number of followers.
func (f *followers) count(now time.Time) int { return len(f.addrs(now)) }

// Followers returns the addresses of the unregistered instances that follow this one.
func (n *Node) Followers() []string { return n.followers.addrs(n.clock()) }
