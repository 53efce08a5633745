// Package roster decides which instances put themselves on the fleet's list.
// The list names the keepers, the instances that pass changes on and those that
// judge releases; a large fleet needs only some of its instances for that. Each
// one on the list costs the store two calls and its renewals, and each change of
// the list goes to all: with all 295 instances of a fleet on it, some 800 of the
// 1,598 calls of a quiet day of 48 s were for the list alone.
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

// IsFew reports whether so many listed instances are too few for a fleet that is
// larger.
func IsFew(listed int) bool { return listed < few }

// Wants reports whether an instance that has just started joins so many others.
func Wants(listed int) bool { return listed < Enough }
