// Package roster decides which instances register as members of the fleet.
// Registered members own keys, forward changes to other instances and judge
// releases; a large fleet needs only some of its instances for that. Each
// registration costs two calls to the store and the renewals of a lease, and each
// change of the membership is sent to all instances.
package roster

const (
	// TargetSize is the number of registered members that suffices for a fleet of any
	// size: 16 groups of replicas get three owners each, and in a fleet of 350
	// instances each member forwards changes to about seven others.
	TargetSize = 48
	// refillThreshold is the number of registered members below which running
	// instances register. It is far below the sufficient number, so that the loss of a
	// few members does not make all other instances register.
	refillThreshold = TargetSize / 2
)

// JoinProbability returns the probability with which an instance that has just started
// registers. The choice is random because instances that start simultaneously also
// decide simultaneously, and each has only the number of registered members and the
// size of the fleet to go by.
func JoinProbability(registered, fleet int) float64 {
	missing, others := TargetSize-registered, fleet-registered
	switch {
	case missing <= 0:
		return 0
	case others <= missing:
		return 1
	}
	return float64(missing) / float64(others)
}

// LateJoinProbability returns the probability with which an instance that has run for a while
// registers: 0 unless fewer than refillThreshold members are registered.
func LateJoinProbability(registered, fleet int) float64 {
	if registered >= refillThreshold {
		return 0
	}
	return JoinProbability(registered, fleet)
}
