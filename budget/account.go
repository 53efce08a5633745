package budget

import "time"

// An instance's account of one service is a token bucket: requests fill it, retries empty it, and
// what it may hold is bounded. In every window the retries of one process are at most what it held
// at the window's start plus what the window's requests earned. A process that follows an earlier one
// starts with nothing held, so that the same is true of all processes of an instance together, however
// often it is killed. The first process of all holds its share of the burst from the start.
//
// Over all instances, with R(w) requests in a window w, the retries that are granted in w are at most
//
//	earnedPart x Ratio x R(w)
//	+ (heldPart + pooledPart) x Ratio x R(the window before w)
//	+ Burst x sum of 1/size
//
// where an account that is younger than a window counts as having had its requests at the same rate
// before. Those that arrive in w are at most delay / windowLength more of the first term. The parts add up
// to 1 with that, so that the sum is at most Ratio times the larger R, plus Burst: sizes err high, so
// that the sum of their reciprocals is at most 1.
const (
	// earnedPart is the part of a request's Ratio that it adds to the account.
	earnedPart = 0.8
	// arrivalDelay is how long a retry may take from its grant until it arrives: the replica is
	// chosen and connected to in between. delay is that, and how long a surplus is on its way to
	// another instance.
	arrivalDelay = 500 * time.Millisecond
	delay        = arrivalDelay + maxExchangeDelay
	// heldPart is the part of the Ratio of the last window's requests that an account may hold,
	// pooledPart the part that pools may hold.
	heldPart   = 1 - earnedPart*(1+float64(delay)/float64(windowLength)) - pooledPart
	pooledPart = 0.03
	// minAge is the age of an account below which its requests are not extrapolated further: many
	// clients may come at once when a process starts.
	minAge = 1500 * time.Millisecond
	// burstMargin is the part of the burst that is used. The rest covers requests that are read
	// later than they were sent, and instances that joined since sizes were last recorded.
	burstMargin = 0.97
)

// account is the account of one service. It is not safe for concurrent use.
type account struct {
	limit     Limit
	createdAt time.Time
	// requests counts the requests of the last window.
	requests window
	// held is the number of retries that may be made now.
	held float64
	// isUnshared is set until the share of the burst is known that the account holds at the start.
	isUnshared bool
	// surplus is what was earned beyond the capacity since it was last taken. What is older than
	// surplusExpiresAt allows belongs to an earlier window.
	surplus          float64
	surplusExpiresAt time.Time
	total            uint64
	taken, denied    Counts
}

// newAccount returns an account. restarted states that an earlier process may have made retries within
// the last window.
func newAccount(l Limit, restarted bool, now time.Time) *account {
	return &account{limit: l, createdAt: now, isUnshared: !restarted, surplusExpiresAt: now.Add(maxExchangeDelay)}
}

// update brings what is held up to date and returns the capacity.
func (a *account) update(now time.Time, share float64) float64 {
	if a.isUnshared && share > 0 {
		a.held, a.isUnshared = a.held+share, false
	}
	c := a.capacity(now, share)
	a.held = min(a.held, c)
	return c
}

// capacity is the largest number of retries that the account may hold. share is this instance's part
// of the fleet's burst.
func (a *account) capacity(now time.Time, share float64) float64 {
	return heldPart*a.limit.Ratio*a.requestsOfWindow(now) + share
}

// requestsOfWindow is the number of requests in the last window. For an account that is younger than a
// window it is extrapolated from its age: the instance's earlier process got the other requests. What a
// new process earns would else be lost until it has got many requests.
func (a *account) requestsOfWindow(now time.Time) float64 {
	age := max(minAge, now.Sub(a.createdAt))
	return a.requests.sum(now) * float64(windowLength) / float64(min(age, windowLength))
}

// recordRequest records a request.
func (a *account) recordRequest(now time.Time, share float64) {
	a.update(now, share)
	a.requests.record(now)
	a.total++
	c := a.capacity(now, share)
	a.held += earnedPart * a.limit.Ratio
	a.surplus += max(0, a.held-c)
	a.held = min(a.held, c)
}

// takeSurplus takes what the account sends to a pool.
func (a *account) takeSurplus(now time.Time, share float64) deposit {
	c := a.update(now, share)
	s := a.surplus
	if now.After(a.surplusExpiresAt) {
		s = 0
	}
	a.surplus, a.surplusExpiresAt = 0, now.Add(maxExchangeDelay)
	if c >= exchangeBelow {
		return deposit{}
	}
	d := deposit{Surplus: s, Requests: a.requests.sum(now)}
	if a.held < max(1, c/2) {
		d.Wanted = c - a.held
	}
	return d
}

// receive adds retries that a pool granted.
func (a *account) receive(now time.Time, share, granted float64) {
	a.held += granted
	a.update(now, share)
}

// takeRetry reports whether a retry is allowed for the purpose, and records it if so.
func (a *account) takeRetry(now time.Time, share float64, p Purpose) bool {
	c := a.update(now, share)
	if a.held < 1+reserves[p]*max(0, c-1) {
		a.denied[p]++
		return false
	}
	a.held--
	a.taken[p]++
	return true
}

// returnRetry takes back a retry that was not sent.
func (a *account) returnRetry(now time.Time, share float64, p Purpose) {
	a.taken[p]--
	a.held++
	a.update(now, share)
}
