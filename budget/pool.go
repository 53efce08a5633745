package budget

import "time"

// Accounts of instances that get few requests hold one or two retries: some overflow while others
// are empty. Such instances send their surplus to a pool, which another instance keeps in its data
// centre, and fill up from there. A surplus or a grant that is lost on its way is lost.

const (
	// exchangeInterval is the least time between two messages with an instance's surplus and needs,
	// maxExchangeDelay how long a surplus waits at most and is on its way.
	exchangeInterval = 200 * time.Millisecond
	maxExchangeDelay = 300 * time.Millisecond
	// exchangeBelow is the capacity of an account, in retries, from which it takes no part: it
	// evens out by itself.
	exchangeBelow = 20
	// reportTTL is how long a pool counts the requests that an instance reported.
	reportTTL = 8 * exchangeInterval
)

// deposit is what an instance sends to a pool for one service.
type deposit struct {
	// Surplus is the number of retries that its requests earned beyond the account's capacity since
	// the last message, Wanted the number that the account has room for.
	Surplus, Wanted float64
	// Requests is the number of requests of its last window.
	Requests float64
}

// isValid reports whether the numbers are possible.
func (d deposit) isValid() bool {
	return d.Surplus >= 0 && d.Wanted >= 0 && d.Requests >= 0 && d.Surplus <= d.Requests && d.Wanted <= exchangeBelow
}

// report is the number of requests of an instance as a pool knows it.
type report struct {
	requests  float64
	expiresAt time.Time
}

// pool holds the surplus of several instances for one service. It is not safe for concurrent use.
type pool struct {
	ratio   float64
	held    float64
	reports map[string]report
}

func newPool(ratio float64) *pool { return &pool{ratio: ratio, reports: map[string]report{}} }

// exchange records the deposit of an instance and returns the number of retries granted to it.
func (p *pool) exchange(from string, d deposit, now time.Time) float64 {
	p.reports[from] = report{d.Requests, now.Add(reportTTL)}
	p.held = min(p.held+d.Surplus, p.capacity(now))
	granted := min(d.Wanted, p.held)
	p.held -= granted
	return granted
}

// capacity is the largest number of retries that the pool may hold.
func (p *pool) capacity(now time.Time) float64 {
	requests := 0.0
	for x, r := range p.reports {
		if now.After(r.expiresAt) {
			delete(p.reports, x)
			continue
		}
		requests += r.requests
	}
	return pooledPart * p.ratio * requests
}
