package share

import "time"

// shortfall is the part of the placed work by which the capacity of a short group is taken to be
// smaller. How much smaller it is isn't known, as replicas slow down and fail. While the group
// stays short, the customers with the most work get less in steps, so that the shares approach
// those of the actual capacity. Larger steps would also put customers at their usual rate over
// their shares.
const shortfall = 0.02

// equalMargin is the multiple of an equal part of the work up to which a customer is never over
// its share. Requests arrive in bursts, so that customers with equal rates have unequal work in
// a window, and where all are alike, or there is only one, there is nobody to protect.
const equalMargin = 1.5

// Account is the work by customer that was placed in a group of replicas. It tells which
// customers are over their shares if the group is short of capacity. It is not safe for concurrent
// use.
type Account struct{ placed Ledger }

// NewAccount returns an account without work.
func NewAccount(window time.Duration) *Account { return &Account{New(window)} }

// Item is work of a customer, in any unit, that was placed at a time.
type Item struct {
	customer string
	work     float64
	at       time.Time
}

// Place records work of the customer.
func (a *Account) Place(customer string, work float64, now time.Time) Item {
	a.placed.Record(customer, work, now)
	return Item{customer: customer, work: work, at: now}
}

// Withdraw removes an item that was not served.
func (a *Account) Withdraw(i Item, now time.Time) {
	a.placed.Withdraw(i.customer, i.work, i.at, now)
}

// Standing is a customer's use of a group that is short of capacity.
type Standing struct {
	// Used is the customer's part of the work that was placed in the window. Fair is its fair
	// share, as a part of the same work, if it is over that, and 0 otherwise.
	Used, Fair float64
	// Over reports that the customer uses more than its fair share.
	Over bool
}

// Standing returns the customer's use of the group, provided that this is short of capacity.
func (a *Account) Standing(customer string, now time.Time) Standing {
	total := a.placed.Total(now)
	if total <= 0 {
		return Standing{}
	}
	used, level := a.placed.Used(customer, now), a.placed.Level((1-shortfall)*total, now)
	s := Standing{Used: used / total}
	equal := total / float64(a.placed.Customers(now))
	if s.Over = exceeds(used, level) && used > equalMargin*equal; s.Over {
		s.Fair = level / total
	}
	return s
}

// ByCustomer returns the work of each customer in the window.
func (a *Account) ByCustomer(now time.Time) map[string]float64 { return a.placed.ByCustomer(now) }

// IsIdle reports whether there is no work in the window.
func (a *Account) IsIdle(now time.Time) bool { return a.placed.Total(now) == 0 }
