package relay

import (
	"slices"
	"sync"
	"time"
)

// followerQuestions is for how many waits of a question a follower counts that
// asked none since: one may be lost, and another instance may be asked once.
const followerQuestions = 4

// followers are the unlisted instances that ask this one, by address. They are
// safe for concurrent use.
type followers struct {
	mu sync.Mutex
	// counts is how long a question counts.
	counts time.Duration
	until  map[string]time.Time
}

func newFollowers(counts time.Duration) *followers {
	return &followers{counts: counts, until: map[string]time.Time{}}
}

// saw notes a question.
func (f *followers) saw(addr string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until[addr] = now.Add(f.counts)
}

// count returns how many followers there are.
func (f *followers) count(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a, t := range f.until {
		if now.After(t) {
			delete(f.until, a)
		}
	}
	return len(f.until)
}

// setSourceFollowers keeps how many followers the one followed has.
func (n *Node) setSourceFollowers(followers int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sourceFollowers = followers
}

// FleetSize returns how many instances there are: the listed ones times those
// that each has with its followers, by what this instance, or the one it
// follows, sees. Where all instances take their shares of a sum by it, the
// shares add up to one, however unevenly followers are spread. It is 0 as long
// as the list is not known.
func (n *Node) FleetSize() int {
	n.mu.Lock()
	listed := len(n.members)
	isListed := slices.ContainsFunc(n.members, n.isSelf)
	f := n.sourceFollowers
	n.mu.Unlock()
	if isListed {
		f = n.followers.count(n.clock())
	}
	return listed * (1 + f)
}
