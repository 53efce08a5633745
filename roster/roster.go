// Package roster decides which instances put themselves on the fleet's list.
// The list names the keepers, the instances that pass changes on and those that
// judge releases; a large fleet needs only some of its instances for that. Each
// one on the list costs the store two calls and its renewals, and each change of
// the list goes to all.
package roster

const (
	// Enough is how many instances on the list serve any fleet: 16 groups of
	// replicas find three each, and at 350 instances each of them passes
	// changes on to some seven others.
	Enough = 48
	// few is how many are left of those that were enough when others join. It
	// is far below, so that the loss of some does not have all others join.
	few = Enough / 2
)

// Joins is the chance with which an instance that has just started joins so many
// listed ones of a fleet: instances that are started at once decide at once, and each
// knows only how many are listed and how many there are.
func Joins(listed, fleet int) float64 {
	missing, others := Enough-listed, fleet-listed
	switch {
	case missing <= 0:
		return 0
	case others <= missing:
		return 1
	}
	return float64(missing) / float64(others)
}

// JoinsLater is the chance with which one that has run for a while joins: only where
// few are left.
func JoinsLater(listed, fleet int) float64 {
	if listed >= few {
		return 0
	}
	return Joins(listed, fleet)
}
