package placement

// Request is the question where a prompt should go.
type Request struct {
	// Replicas are the candidates, the preferred first.
	Replicas []string
	// UnsharedMs is the replica's time for what nobody shares, in milliseconds.
	UnsharedMs float64
	// SharedPrefix are the parts that the prompt begins with and others share. A
	// replica that keeps one need not read it, if it keeps all before it.
	SharedPrefix []PrefixPart
	// SlotMs is how long the run holds its slot once the prompt is read, in
	// milliseconds, as runs of its kind do on average.
	SlotMs float64
	// RemoteBits has the bits set of the candidates in other data centres than the
	// asker's, Away what such a one counts for on top, in milliseconds.
	RemoteBits      uint64
	RemotePenaltyMs float64
	// TimeLeftMs is the time left in which the first event should come, in
	// milliseconds; 0 for no such time.
	TimeLeftMs float64
}

// PrefixPart is a shared part of a prompt.
type PrefixPart struct {
	// Key names the part, all before it and its model.
	Key string
	// PrefillMs is the replica's time for it, in milliseconds, and ReprefillPenaltyMs what reading
	// it again counts for on top: it takes the time from others and has a price.
	PrefillMs, ReprefillPenaltyMs float64
}

// late is what a first event after that time counts for, in milliseconds: long
// waits turn out longer than expected, so that it begins before.
func (a Request) late(expected float64) float64 {
	if a.TimeLeftMs <= 0 {
		return 0
	}
	return lateWeight * max(0, expected-latePart*a.TimeLeftMs)
}

// far is what the candidate counts for by its data centre, in milliseconds.
func (a Request) far(i int) float64 {
	if a.RemoteBits>>i&1 == 1 {
		return a.RemotePenaltyMs
	}
	return 0
}

// Choice is the answer.
type Choice struct {
	// Index is into the candidates; below 0 there are none.
	Index int
	// WaitMs is the time before the prompt is read, in milliseconds: for the work
	// before it.
	WaitMs float64
	// PrefillMs is the prompt's own time there, in milliseconds.
	PrefillMs float64
	// Ticket names the work in the ledger.
	Ticket uint64
}
