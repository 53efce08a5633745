package placement

// Request describes a prompt to place and the replicas that it may go to. All
// times are in milliseconds.
type Request struct {
	// Replicas are the ids of the candidates, the preferred one first.
	Replicas []string
	// UnsharedMs is the prefill time of the part of the prompt that no other
	// prompt shares.
	UnsharedMs float64
	// SharedPrefix is the start of the prompt that other prompts share, in
	// parts. A replica skips the prefill of a part if it has that part and all
	// parts before it cached.
	SharedPrefix []PrefixPart
	// SlotMs is the average time for which a request of this kind holds its slot
	// on the replica after prefill.
	SlotMs float64
	// RemoteBits has bit i set if candidate i is in another data centre than the
	// sender of the request. RemotePenaltyMs is added to the cost of such a
	// candidate.
	RemoteBits      uint64
	RemotePenaltyMs float64
	// TimeLeftMs is the time until the first event of the answer is due; 0 means
	// that there is no such target.
	TimeLeftMs float64
	// ByCompletion has the prompt placed by the time until its whole answer is
	// complete, and by the delay of other streams, instead of the time to its first
	// event. The fields below are set only then.
	ByCompletion bool
	// Pace is the prefill time of a token of the model. It also measures the work of
	// generating one.
	Pace float64
	// OutputTokens is the expected number of tokens to generate.
	OutputTokens float64
	// MemoryTokens is the number of tokens that the run holds in the replica's memory
	// at its end; ReplicaMemoryTokens is the capacity of a replica, 0 if unknown.
	MemoryTokens, ReplicaMemoryTokens float64
	// Customer is the name of the customer, empty if there is none.
	Customer string
	// DeadlineMs is the time until the whole answer is due.
	DeadlineMs float64
	// Group is the group of the replicas, set by Node.Choose. Fair shares are kept by
	// group; without one, none is.
	Group string
	// demoted is set by the load tracker if the customer is over its share.
	demoted bool
	// generationScale is the learned factor for generation times, set by LoadTracker.Choose.
	generationScale float64
}

// PrefixPart is one part of a prompt's shared prefix.
type PrefixPart struct {
	// Key identifies the part together with all parts before it and the model.
	Key string
	// PrefillMs is the prefill time of the part, in milliseconds.
	// ReprefillPenaltyMs is added to the cost of a replica that does not have
	// the part cached: prefilling it again takes time from other requests and
	// costs money.
	PrefillMs, ReprefillPenaltyMs float64
}

// latePenalty is the cost, in milliseconds, of a first event that is expected
// after the given time. It starts at a fraction of TimeLeftMs, since long waits
// turn out longer than expected.
func (r Request) latePenalty(expectedMs float64) float64 {
	if r.TimeLeftMs <= 0 {
		return 0
	}
	return latePenaltyFactor * max(0, expectedMs-lateFraction*r.TimeLeftMs)
}

// remotePenalty is the cost of candidate i for being in another data centre, in
// milliseconds.
func (r Request) remotePenalty(i int) float64 {
	if r.RemoteBits>>i&1 == 1 {
		return r.RemotePenaltyMs
	}
	return 0
}

// Choice is the answer to a Request.
type Choice struct {
	// Index is the position of the chosen replica in Request.Replicas; it is
	// negative if there were no candidates.
	Index int
	// WaitMs is the time until the replica starts the prefill, in milliseconds:
	// the prefill work queued before it.
	WaitMs float64
	// PrefillMs is the prefill time of the prompt on that replica, in
	// milliseconds.
	PrefillMs float64
	// FinishMs is the time until the whole answer is expected to be complete, and
	// OthersMs the total delay of other streams on that replica, in milliseconds.
	// Both are 0 unless the prompt was placed by completion.
	FinishMs, OthersMs float64
	// Demoted reports that replicas are short and that the customer uses more than
	// its fair share of them.
	Demoted bool
	// ShareUsed is the customer's part of the work placed in the group lately, and
	// ShareFair the part that it may have, from 0 to 1. Both are 0 unless Demoted is set.
	ShareUsed, ShareFair float64
	// Ticket identifies the prompt in the owner's load tracker.
	Ticket uint64
}
