package admission

// Repeats bounds how much more often requests reach backend servers than
// they came in, so that failing ones are not hit harder than sound ones.
type Repeats struct {
	// Part is the repeats that each request earns.
	Part float64
	// Burst is the most that can be saved up.
	Burst float64
}

// DefaultRepeats allow one repeat for ten requests.
func DefaultRepeats() Repeats { return Repeats{Part: 0.1, Burst: 10} }

// RetryBudget says whether a retry may be made. It is not safe for
// concurrent use.
type RetryBudget struct {
	limit  Repeats
	tokens float64
}

// NewRetryBudget returns a full budget with the default bound.
func NewRetryBudget() *RetryBudget { return NewRetryBudgetOf(DefaultRepeats()) }

// NewRetryBudgetOf returns a full budget with the given bound.
func NewRetryBudgetOf(r Repeats) *RetryBudget {
	return &RetryBudget{limit: r, tokens: r.Burst}
}

// Request earns the part of a retry that one request allows.
func (b *RetryBudget) Request() {
	b.tokens = min(b.limit.Burst, b.tokens+b.limit.Part)
}

// Retry takes one retry and reports whether there was one left.
func (b *RetryBudget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
