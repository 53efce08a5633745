package placement

import "errors"

const (
	// maxPromptMs bounds the prefill and slot time of a prompt in a datagram, in milliseconds. It is a
	// day, which exceeds the time of any request.
	maxPromptMs = 24 * 3600 * 1000.0
	// maxPaceMs bounds the prefill time of one token, in milliseconds.
	maxPaceMs = 10_000.0
	// maxTokens bounds the number of tokens to generate or to hold in memory.
	maxTokens = 1e9
	// maxTimeMs bounds all other times, in milliseconds. Several times this value can still be added
	// to a time without overflow.
	maxTimeMs = 1e12
)

// errImplausible reports a datagram with numbers that can't be counted. Sums with infinite or
// negative parts would mislead choices until the instance restarts, and can't be sent as JSON.
var errImplausible = errors.New("implausible numbers")

// isWithin reports whether x is between 0 and most.
func isWithin(x, most float64) bool { return x >= 0 && x <= most }

// isPlausible reports whether the request's work can be counted.
func (r Request) isPlausible() bool {
	prefillMs := r.UnsharedMs
	for _, p := range r.SharedPrefix {
		if !isWithin(p.PrefillMs, maxPromptMs) {
			return false
		}
		prefillMs += p.PrefillMs
	}
	return r.UnsharedMs >= 0 && isWithin(prefillMs, maxPromptMs) && isWithin(r.SlotMs, maxPromptMs) &&
		isWithin(r.Pace, maxPaceMs) && isWithin(r.OutputTokens, maxTokens) && isWithin(r.MemoryTokens, maxTokens)
}

// isPlausible reports whether the choice's times can be counted.
func (c Choice) isPlausible() bool {
	return isWithin(c.PrefillMs, maxPromptMs) && isWithin(c.WaitMs, maxTimeMs) && isWithin(c.FinishMs, maxTimeMs)
}
