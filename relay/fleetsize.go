package relay

import (
	"slices"

	"fieldvale/fleetsize"
)

// EstimateFleetSize returns an estimate of the number of instances at this moment: the members,
// times one plus the followers of this instance, or of its source. It returns 0 as long as there
// are no members. It is too small while members register again or followers are cut off; what
// divides a bound of the fleet uses FleetSize.
func (n *Node) EstimateFleetSize() int {
	n.mu.Lock()
	members := len(n.members)
	isMember := slices.ContainsFunc(n.members, n.isSelf)
	f := n.sourceFollowers
	n.mu.Unlock()
	if isMember {
		f = n.followers.count(n.clock())
	}
	return members * (1 + f)
}

// FleetSize returns the number of instances, or 0 if it is not known well enough. If every
// instance takes its share of a total by this number, the shares add up to one at most, however
// unevenly the followers are spread.
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

// recordReportedFleetSize records the size that a source reported; 0 if it knows none.
func (n *Node) recordReportedFleetSize(size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.size = n.size.WithReport(size, n.clock())
}
