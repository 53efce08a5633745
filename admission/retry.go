package admission

// Retries are limited to a fixed fraction of the requests, so that a failing
// backend server does not receive more load than a healthy one.
const (
	retryRatio = 0.1
	maxTokens  = 10
)

// RetryBudget is a token bucket that limits retries. It is not safe for
// concurrent use.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: maxTokens}
}

// RecordRequest adds the fraction of a token that one request earns.
func (b *RetryBudget) RecordRequest() {
	b.tokens = min(maxTokens, b.tokens+retryRatio)
}

// TakeRetry takes one token and reports whether one was available.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
