package share

import (
	"sync"
	"time"
)

const (
	// localWindow is the window of the work that this instance sees, and the time for which
	// an observed first event counts.
	localWindow = 5 * time.Second
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

// Local is the work by customer that this instance sees, by service. It serves where no
// owner answers. It is safe for concurrent use.
type Local struct {
	mu       sync.Mutex
	services map[string]*localService
}

// localService is the work that this instance sends to the replicas of one service.
type localService struct {
	account *Account
	// requests counts the requests by customer.
	requests Ledger
	// firstEvent is the running mean of the time to the first event, and lateness the part of
	// first events that came after the route's target, as of the given time.
	firstEvent time.Duration
	lateness   float64
	asOf       time.Time
}

// NewLocal returns accounts without any work.
func NewLocal() *Local { return &Local{services: map[string]*localService{}} }

// of returns the work of the service. l.mu is held.
func (l *Local) of(service string) *localService {
	s, ok := l.services[service]
	if !ok {
		s = &localService{account: NewAccount(localWindow), requests: New(localWindow)}
		l.services[service] = s
	}
	return s
}

// LocalItem is the work of one request in the account of its service.
type LocalItem struct {
	service *localService
	item    Item
}

// Place records work of a customer, in milliseconds, that is sent to the service.
func (l *Local) Place(service, customer string, ms float64, now time.Time) *LocalItem {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.of(service)
	s.requests.Record(customer, 1, now)
	return &LocalItem{s, s.account.Place(customer, ms, now)}
}

// Withdraw removes an item that was not served from its customer's work. A nil item is ignored.
func (l *Local) Withdraw(i *LocalItem, now time.Time) {
	if i == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	i.service.account.Withdraw(i.item, now)
}

// Observe records the time to a first event, and whether that was late.
func (l *Local) Observe(service string, took time.Duration, late bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.of(service)
	if now.Sub(s.asOf) >= localWindow {
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

// Standing returns the customer's use of the service, zero unless its replicas are short, and the
// time that first events take.
func (l *Local) Standing(service, customer string, now time.Time) (Standing, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.of(service)
	if now.Sub(s.asOf) >= localWindow || s.lateness <= shortLateness {
		return Standing{}, 0
	}
	if s.requests.Used(customer, now) < minLocalRequests {
		return Standing{}, s.firstEvent
	}
	return s.account.Standing(customer, now), s.firstEvent
}
