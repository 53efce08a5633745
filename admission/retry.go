package admission

// Retries may be at most a fixed part of requests, so that a failing backend
// server is not hit harder than a sound one.
const (
	retryPart   = 0.1
	retryTokens = 10
)

// RetryBudget says whether a retry may be made. It is not safe for
// concurrent use.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: retryTokens}
}

// Request earns the part of a retry that one request allows.
func (b *RetryBudget) Request() {
	b.tokens = min(retryTokens, b.tokens+retryPart)
}

// Retry takes one retry and reports whether there was one left.
func (b *RetryBudget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
