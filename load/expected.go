package load

import "time"

// Expected is the load that is expected at a replica from reports.
type Expected struct {
	// OthersPerSlot are the requests of other instances per slot.
	OthersPerSlot float64
	// Slowness is how long work takes, relative to the usual time.
	Slowness float64
	// Slots is 0 if the replica itself reported none.
	Slots int
}

// Mean returns the mean load in the samples by their weights. ok is false if none of them counts.
func Mean(l []Sample, now time.Time) (e Expected, ok bool) {
	sum := 0.0
	for _, s := range l {
		w := s.Weight(now)
		sum += w
		e.OthersPerSlot += w * s.OthersPerSlot()
		e.Slowness += w * s.Slowness
	}
	if sum == 0 {
		return Expected{}, false
	}
	return Expected{OthersPerSlot: e.OthersPerSlot / sum, Slowness: e.Slowness / sum}, true
}

// WithSample returns e corrected by the replica's own report, as far as that counts.
func (e Expected) WithSample(s Sample, now time.Time) Expected {
	w := s.Weight(now)
	if w == 0 {
		return e
	}
	return Expected{
		OthersPerSlot: w*s.OthersPerSlot() + (1-w)*e.OthersPerSlot,
		Slowness:      w*s.Slowness + (1-w)*e.Slowness,
		Slots:         s.Slots,
	}
}
