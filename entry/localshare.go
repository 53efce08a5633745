package entry

import (
	"sync"
	"time"

	"fieldvale/share"
)

const (
	// localShareWindow is the window of the work that this instance sees, and the time for which
	// an observed first event counts.
	localShareWindow = 5 * time.Second
	// firstEventWeight is the weight of one first event in the running means. A few late ones by
	// chance don't make replicas count as short, five in a row do.
	firstEventWeight = 0.15
	// shortLateness is the part of late first events above which replicas are short.
	shortLateness = 0.5
	// minLocalRequests is the least number of a customer's requests in the window for which this
	// instance decides that it is over its share. An instance sees so few requests that a
	// customer at its usual rate may have two or three by chance.
	minLocalRequests = 4
)

// localShares is the work by customer that this instance sees, by service. It serves where no
// owner answers. It is safe for concurrent use.
type localShares struct {
	mu       sync.Mutex
	services map[string]*localShare
}

// localShare is the work that this instance sends to the replicas of one service.
type localShare struct {
	account *share.Account
	// requests counts the requests by customer.
	requests share.Ledger
	// firstEvent is the running mean of the time to the first event, and lateness the part of
	// first events that came after the route's target, as of the given time.
	firstEvent time.Duration
	lateness   float64
	asOf       time.Time
}

func newLocalShares() *localShares { return &localShares{services: map[string]*localShare{}} }

// of returns the work of the service. l.mu is held.
func (l *localShares) of(service string) *localShare {
	s, ok := l.services[service]
	if !ok {
		s = &localShare{account: share.NewAccount(localShareWindow), requests: share.New(localShareWindow)}
		l.services[service] = s
	}
	return s
}

// place records work that is sent to the service.
func (l *localShares) place(service string, w customerWork, now time.Time) *localItem {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.of(service)
	s.requests.Record(w.customer, 1, now)
	return &localItem{s, s.account.Place(w.customer, w.ms, now)}
}

// withdraw removes an item that was not served from its customer's work. A nil item is ignored.
func (l *localShares) withdraw(i *localItem, now time.Time) {
	if i == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	i.service.account.Withdraw(i.item, now)
}

// observe records the time to a first event, and whether that was late.
func (l *localShares) observe(service string, took time.Duration, late bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.of(service)
	if now.Sub(s.asOf) >= localShareWindow {
		s.firstEvent, s.lateness = took, 0
	}
	x := 0.0
	if late {
		x = 1
	}
	s.firstEvent += time.Duration(firstEventWeight * float64(took-s.firstEvent))
	s.lateness += firstEventWeight * (x - s.lateness)
	s.asOf = now
}

// standing returns the customer's use of the service, zero unless its replicas are short, and the
// time that first events take.
func (l *localShares) standing(service, customer string, now time.Time) (share.Standing, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.of(service)
	if now.Sub(s.asOf) >= localShareWindow || s.lateness <= shortLateness {
		return share.Standing{}, 0
	}
	if s.requests.Used(customer, now) < minLocalRequests {
		return share.Standing{}, s.firstEvent
	}
	return s.account.Standing(customer, now), s.firstEvent
}
