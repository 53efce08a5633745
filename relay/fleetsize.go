package relay

import (
	"math"
	"slices"
	"sync"
	"time"

	"fieldvale/fleetsize"
)

// The number of instances is the number of members times one plus the mean number of their
// followers. Members report their followers to the source that they query; a watcher has the
// reports of many and passes the estimate on with its answers.

// followerReports holds how many followers other members have, by address. It is safe for
// concurrent use.
type followerReports struct {
	mu      sync.Mutex
	expiry  time.Duration
	reports map[string]followerReport
}

type followerReport struct {
	followers int
	expiresAt time.Time
}

func newFollowerReports(expiry time.Duration) *followerReports {
	return &followerReports{expiry: expiry, reports: map[string]followerReport{}}
}

// record records a member's report.
func (f *followerReports) record(addr string, followers int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[addr] = followerReport{followers, now.Add(f.expiry)}
}

// mean returns the mean number of followers of the members that reported and of this one.
func (f *followerReports) mean(own int, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := own
	for a, r := range f.reports {
		if now.After(r.expiresAt) {
			delete(f.reports, a)
			continue
		}
		sum += r.followers
	}
	return float64(sum) / float64(1+len(f.reports))
}

// EstimateFleetSize returns an estimate of the number of instances at this moment, or 0 as long as
// there are no members. It is too small while members register again or followers are cut off; what
// divides a bound of the fleet uses FleetSize.
func (n *Node) EstimateFleetSize() int {
	n.mu.Lock()
	members := len(n.members)
	isMember := slices.ContainsFunc(n.members, n.isSelf)
	source, fromSource, followers := n.source, n.sourceEstimate, float64(n.sourceFollowers)
	n.mu.Unlock()
	if source != storeSource && fromSource > 0 {
		return fromSource
	}
	if isMember {
		now := n.clock()
		followers = n.followerReports.mean(n.followers.count(now), now)
	}
	return int(math.Ceil(float64(members) * (1 + followers)))
}

// reportedFollowers returns the number of this instance's followers for a query, by which one more
// is sent; 0 if this instance is not a member.
func (n *Node) reportedFollowers() int {
	if n.isUnregistered() {
		return 0
	}
	return 1 + n.followers.count(n.clock())
}

// FleetSize returns the number of instances, or 0 if it is not known well enough. If every
// instance takes its share of a total by this number, the shares add up to one at most.
func (n *Node) FleetSize() int { return n.FleetSizeRecord().Size() }

// FleetSizeRecord returns what is known of the number of instances, with its age.
func (n *Node) FleetSizeRecord() fleetsize.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.size
}

// recordFleetSize records an estimate of the fleet's size. This instance must be connected.
func (n *Node) recordFleetSize() {
	e, now := n.EstimateFleetSize(), n.clock()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.size = n.size.WithEstimate(e, now)
}

// UseRecordedFleetSize uses a recorded number of instances as long as no other one is known; 0 is
// ignored.
func (n *Node) UseRecordedFleetSize(size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.size = n.size.WithReport(size, n.clock())
}

// IsFirstWatcher reports whether this instance is the member that watches the store before all others.
func (n *Node) IsFirstWatcher() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := watchRanking(n.members)
	return len(r) > 0 && n.isSelf(r[0])
}

// recordSourceSizes records what the source's answer says of the number of instances.
func (n *Node) recordSourceSizes(a answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sourceFollowers, n.sourceEstimate = a.Followers, a.Estimate
	n.size = n.size.WithReport(a.FleetSize, n.clock())
}
