package main

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against an instance that goes on with an outdated configuration after its machine
// was suspended, here for ten seconds in which a key is revoked. The monotonic clock does not
// advance during a suspension, so the last confirmation looks recent. The instance must not
// honour keys by it or be ready.
func TestNodeDistrustsStateAfterSuspension(t *testing.T) {
	s := newTestEnv(t)
	s.startReplica("r1", "v1")
	s.start()
	if r := s.send("POST", "/again/x", "b", apiKeyHeader); r.status != http.StatusOK {
		t.Fatalf("before the suspension: got %d %q, want 200", r.status, r.body)
	}
	s.store.Lock()
	s.store.RefuseStatus = http.StatusServiceUnavailable
	s.store.Unlock()
	s.suspendedNanos.Add(int64(10 * time.Second))
	if r := s.send("POST", "/again/x", "b", apiKeyHeader); r.status != http.StatusServiceUnavailable || !strings.Contains(r.body, "not confirmed") {
		t.Errorf("just after the suspension: got %d %q, want 503 since keys can't be checked", r.status, r.body)
	}
	if n := s.readiness(); n != http.StatusServiceUnavailable {
		t.Errorf("just after the suspension: got readiness %d, want 503", n)
	}
	s.store.PutConfig(2, "k2")
	s.store.Lock()
	s.store.RefuseStatus = 0
	s.store.Unlock()
	s.eventually("the remaining key is honoured", func() bool {
		return s.send("POST", "/again/x", "b", strings.Replace(apiKeyHeader, "k1", "k2", 1)).status == http.StatusOK
	})
	if r := s.send("POST", "/again/x", "b", apiKeyHeader); r.status != http.StatusUnauthorized {
		t.Errorf("the revoked key: got %d, want 401", r.status)
	}
	s.eventually("the suspension is logged", func() bool { return strings.Contains(s.logs.String(), "event=resumed") })
}
