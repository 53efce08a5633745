// Package budget bounds the retries of the whole fleet at each service. Each instance
// keeps an account for each service: requests earn retries, and each attempt at a replica
// after the first of its request takes one.
package budget

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"fieldvale/peer"
)

// Purpose is what a retry is for.
type Purpose int

// The purposes of retries. They are in the order of their urgency: a request without a
// retry fails, while a wrong answer is worth little more than none, and a slow stream may
// still end in time.
const (
	// Failure replaces an attempt that failed or was refused.
	Failure Purpose = iota
	// LargerModel asks a larger model after an answer with a low confidence.
	LargerModel
	// SlowStream continues a stream that is too slow on another replica.
	SlowStream
	purposeCount
)

// String names the purpose for logs and metrics.
func (p Purpose) String() string {
	return [purposeCount]string{"failure", "larger_model", "slow_stream"}[p]
}

// reserves is the part of the allowance that each purpose leaves to more urgent ones.
var reserves = [purposeCount]float64{LargerModel: 0.1, SlowStream: 0.35}

// Counts are numbers of retries by purpose.
type Counts [purposeCount]uint64

// String formats the numbers for the log.
func (c Counts) String() string {
	l := make([]string, purposeCount)
	for p, n := range c {
		l[p] = fmt.Sprintf("%s:%d", Purpose(p), n)
	}
	return strings.Join(l, ",")
}

// ByPurpose returns the numbers by the purposes' names.
func (c Counts) ByPurpose() map[string]uint64 {
	m := map[string]uint64{}
	for p, n := range c {
		m[Purpose(p).String()] = n
	}
	return m
}

// Account is the state of one service's account, for logs and metrics.
type Account struct {
	// FleetSize is the number of instances that share the burst; 0 if it is unknown.
	FleetSize int
	// Share is this instance's part of the fleet's burst, in retries.
	Share float64
	// Requests is the number of requests, Taken of retries and Denied of retries that were not
	// allowed, since the process started.
	Requests      uint64
	Taken, Denied Counts
	// Held is the number of retries that may be made now, Capacity the largest such number.
	Held, Capacity float64
}

// Limit bounds the retries of the whole fleet at a service, so that failing backend
// servers do not receive much more load than healthy ones.
type Limit struct {
	// Ratio is the number of retries that each request allows.
	Ratio float64
	// Burst is the number of further retries that the whole fleet may make in any
	// period of the window's length.
	Burst float64
}

// FleetLimit returns the limit by which each instance of a fleet keeps its accounts if the fleet is
// bounded by the ratio and the burst.
func FleetLimit(ratio, burst float64) Limit { return Limit{Ratio: ratio, Burst: burstMargin * burst} }

// Config configures a Budget.
type Config struct {
	Limit Limit
	// FleetSize returns the number of instances, or 0 if it is unknown: this instance then has
	// no share of the burst. It must not be too small. If it is nil, this instance is the only
	// one.
	FleetSize func() int
	Clock     func() time.Time
	// Restarted states that an earlier process of this instance may have made retries within the
	// last window. The accounts then start empty.
	Restarted bool
	// Self is this instance, and Process a number that differs from that of its earlier processes.
	// Net sends datagrams to other instances; without it, none are exchanged.
	Self    peer.Member
	Process uint64
	Net     Transport
	// Log logs an event with its fields, in pairs of name and value. It is needed with Net.
	Log func(event string, fields ...any)
}

// Budget is the part of the fleet's retries that this instance may make. It is safe for
// concurrent use.
type Budget struct {
	config Config

	mu       sync.Mutex
	accounts map[string]*account
	exchange exchange
}

// New returns a budget in which no request is recorded.
func New(c Config) *Budget {
	return &Budget{config: c, accounts: map[string]*account{}, exchange: exchange{process: c.Process, pools: map[string]*pool{}, latest: map[string]messageID{}}}
}

// RecordRequest records a request of a client for the service.
func (b *Budget) RecordRequest(service string) {
	share := b.share()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service).recordRequest(b.config.Clock(), share)
}

// RequestRate returns the mean number of requests per second for the service lately.
func (b *Budget) RequestRate(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account(service).requests.sum(b.config.Clock()) / windowLength.Seconds()
}

// TakeRetry takes a retry at the service and reports whether one was left for the purpose.
func (b *Budget) TakeRetry(service string, p Purpose) bool {
	share := b.share()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account(service).takeRetry(b.config.Clock(), share, p)
}

// ReturnRetry returns a retry that was taken for the purpose and did not reach a replica.
func (b *Budget) ReturnRetry(service string, p Purpose) {
	share := b.share()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service).returnRetry(b.config.Clock(), share, p)
}

// Accounts returns the accounts by service.
func (b *Budget) Accounts() map[string]Account {
	size, share := b.fleetSize(), b.share()
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string]Account{}
	for s, a := range b.accounts {
		c := a.update(b.config.Clock(), share)
		m[s] = Account{
			FleetSize: size, Share: share, Requests: a.total, Taken: a.taken, Denied: a.denied,
			Held: a.held, Capacity: c,
		}
	}
	return m
}

// fleetSize is the number of instances, or 0 if it is unknown.
func (b *Budget) fleetSize() int {
	if b.config.FleetSize == nil {
		return 1
	}
	return b.config.FleetSize()
}

// share is this instance's part of the fleet's burst.
func (b *Budget) share() float64 {
	if n := b.fleetSize(); n > 0 {
		return b.config.Limit.Burst / float64(n)
	}
	return 0
}

// account returns the service's account; b.mu is held.
func (b *Budget) account(service string) *account {
	a, ok := b.accounts[service]
	if !ok {
		a = newAccount(b.config.Limit, b.config.Restarted, b.config.Clock())
		b.accounts[service] = a
	}
	return a
}
