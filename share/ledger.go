package share

import "time"

const (
	// MaxCustomers bounds the customers that a ledger knows by name.
	MaxCustomers = 64
	// Others is the name under which further customers are counted together.
	Others = "(others)"
	// slicesOfWindow is the number of parts of the window, in which work is summed. Work leaves the
	// window one part at a time, so that at least nine tenths of the window always count.
	slicesOfWindow = 10
	// tolerance is the relative excess over a share that rounding errors may cause.
	tolerance = 1e-9
)

// Ledger is the work by customer over the latest window. The zero value is not usable. It is
// not safe for concurrent use.
type Ledger struct {
	slice time.Duration
	// latest is the number of the latest slice, counted from the epoch of time.
	latest int64
	work   map[string]*windowSum
}

// windowSum is the work of one customer: its sum, and that of each slice of the window.
type windowSum struct {
	sum    float64
	slices [slicesOfWindow]float64
}

// New returns an empty ledger.
func New(window time.Duration) Ledger {
	return Ledger{slice: window / slicesOfWindow, work: map[string]*windowSum{}}
}

// Record counts work of the customer.
func (l *Ledger) Record(customer string, work float64, now time.Time) {
	l.advance(now)
	name := l.name(customer)
	s := l.work[name]
	if s == nil {
		s = &windowSum{}
		l.work[name] = s
	}
	s.add(l.latest, work)
}

// Withdraw subtracts work that was recorded at the given time, unless it has left the window.
func (l *Ledger) Withdraw(customer string, work float64, recorded, now time.Time) {
	l.advance(now)
	n := l.sliceOf(recorded)
	s := l.work[l.name(customer)]
	if s == nil || n > l.latest || n <= l.latest-slicesOfWindow {
		return
	}
	// A customer may have been counted among the others when the work was recorded.
	s.add(n, -min(work, s.slices[n%slicesOfWindow]))
}

// Used returns the customer's work in the window.
func (l *Ledger) Used(customer string, now time.Time) float64 {
	l.advance(now)
	if s := l.work[l.name(customer)]; s != nil {
		return s.sum
	}
	return 0
}

// Customers returns the number of customers with work in the window, of which those
// without a name of their own count as one.
func (l *Ledger) Customers(now time.Time) int {
	l.advance(now)
	return len(l.work)
}

// Total returns the work of all customers in the window.
func (l *Ledger) Total(now time.Time) float64 {
	l.advance(now)
	t := 0.0
	for _, s := range l.work {
		t += s.sum
	}
	return t
}

// Level returns the largest amount of work that a customer may have of the capacity; +Inf if
// the capacity covers the work of all customers.
func (l *Ledger) Level(capacity float64, now time.Time) float64 {
	l.advance(now)
	var a [MaxCustomers + 1]float64
	demands := a[:0]
	for _, s := range l.work {
		demands = append(demands, s.sum)
	}
	return Level(demands, capacity)
}

// Over reports whether the customer's work exceeds its max-min fair share of the capacity.
func (l *Ledger) Over(customer string, capacity float64, now time.Time) bool {
	return exceeds(l.Used(customer, now), l.Level(capacity, now))
}

// exceeds reports whether used is above the level by more than a rounding error.
func exceeds(used, level float64) bool { return used > level*(1+tolerance) }

// ByCustomer returns the work of each customer in the window.
func (l *Ledger) ByCustomer(now time.Time) map[string]float64 {
	l.advance(now)
	m := make(map[string]float64, len(l.work))
	for c, s := range l.work {
		m[c] = s.sum
	}
	return m
}

// name returns the name under which the customer is counted.
func (l *Ledger) name(customer string) string {
	if _, ok := l.work[customer]; ok {
		return customer
	}
	n := len(l.work)
	if _, ok := l.work[Others]; ok {
		n--
	}
	if n >= MaxCustomers {
		return Others
	}
	return customer
}

// sliceOf returns the number of the slice that contains t.
func (l *Ledger) sliceOf(t time.Time) int64 { return t.UnixNano() / int64(l.slice) }

// advance drops the slices that have left the window, and customers without work in it. A clock
// that was set back drops nothing.
func (l *Ledger) advance(now time.Time) {
	n := l.sliceOf(now)
	if n <= l.latest {
		return
	}
	for c, s := range l.work {
		if s.drop(l.latest+1, n); s.sum == 0 {
			delete(l.work, c)
		}
	}
	l.latest = n
}

// add adds work to slice n.
func (s *windowSum) add(n int64, work float64) {
	s.slices[n%slicesOfWindow] += work
	s.sum += work
}

// drop clears the places of the slices from first to last, which held older ones, and sums the
// others anew, so that rounding errors don't accumulate.
func (s *windowSum) drop(first, last int64) {
	if last-first >= slicesOfWindow {
		*s = windowSum{}
		return
	}
	for n := first; n <= last; n++ {
		s.slices[n%slicesOfWindow] = 0
	}
	s.sum = 0
	for _, w := range s.slices {
		s.sum += w
	}
}
