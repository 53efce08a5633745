package share

import (
	"testing"
	"time"
)

// Guards against an instance without an owner that takes a customer to be over its share by
// chance, or when replicas were slow some time ago.
func TestLocalSharesNeedEvidence(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := NewLocal()
	standing := func(customer string) bool {
		s, _ := l.Standing("s", customer, now)
		return s.Over
	}
	for range minLocalRequests {
		l.Place("s", "hot", 100, now)
	}
	l.Place("s", "large", 900, now)
	if standing("hot") || standing("large") {
		t.Error("a customer is over its share while first events are not late")
	}
	for range 6 {
		l.Observe("s", 4*time.Second, true, now)
	}
	if standing("large") {
		t.Error("a customer is over its share by a single request")
	}
	for range 40 {
		l.Place("s", "hot", 100, now)
	}
	if !standing("hot") {
		t.Error("the customer with most requests is within its share while first events are late")
	}
	now = now.Add(localWindow)
	l.Place("s", "hot", 100, now)
	if standing("hot") {
		t.Error("a customer is over its share by first events before the window")
	}
}
