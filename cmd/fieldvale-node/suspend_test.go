package main

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// A machine is suspended for ten seconds while a key is taken away. When it wakes it has
// heard nothing, and its steady reading says that a moment went by.
//
// Guards against: keys honoured by what was confirmed before the suspension, and new
// connections taken by an instance that knows nothing new.
func TestNodeWakesWithoutItsBeliefs(t *testing.T) {
	s := newSite(t)
	s.replica("r1", "v1")
	s.start()
	if r := s.send("POST", "/again/x", "b", key); r.status != http.StatusOK {
		t.Fatalf("before: %d %q", r.status, r.body)
	}
	s.store.Lock()
	s.store.RefuseStatus = http.StatusServiceUnavailable
	s.store.Unlock()
	s.suspended.Add(int64(10 * time.Second))
	if r := s.send("POST", "/again/x", "b", key); r.status != http.StatusServiceUnavailable || !strings.Contains(r.body, "not confirmed") {
		t.Errorf("just after: %d %q, want that keys can't be checked", r.status, r.body)
	}
	if n := s.readiness(); n != http.StatusServiceUnavailable {
		t.Errorf("just after: readiness %d, want 503", n)
	}
	s.store.PutConfig(2, "k2")
	s.store.Lock()
	s.store.RefuseStatus = 0
	s.store.Unlock()
	s.eventually("the key that is left is honoured", func() bool {
		return s.send("POST", "/again/x", "b", strings.Replace(key, "k1", "k2", 1)).status == http.StatusOK
	})
	if r := s.send("POST", "/again/x", "b", key); r.status != http.StatusUnauthorized {
		t.Errorf("the key that was taken away: %d, want 401", r.status)
	}
	s.eventually("the suspension is logged", func() bool { return strings.Contains(s.logs.String(), "event=resumed") })
}
