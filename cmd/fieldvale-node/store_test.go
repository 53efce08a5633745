package main

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"fieldvale/adapter/settings"
	"fieldvale/platform/sitetest"
)

// Guards against changes of the store that are missed, also where the store has dropped the
// history that they are in, and against an older configuration that replaces a newer one.
func TestNodeAppliesStoreChanges(t *testing.T) {
	s := newTestEnv(t)
	a := s.startReplica("a", "v1")
	s.start()
	status := func(k string) int { return s.send("POST", "/once/", "", sitetest.HeaderAPIKey+": "+k).status }
	s.store.PutConfig(2, "k2")
	s.eventually("a revoked key is refused", func() bool { return status("k1") == 401 })
	s.store.Compact()
	s.store.PutConfig(3, "k1", "k2")
	s.eventually("a change made after the store dropped its history is in force", func() bool { return status("k1") == 200 })
	s.store.PutConfig(2, "k2")
	b := s.startReplica("b", "v1")
	s.store.PutReplica(a, "svc", "v1", sitetest.ReplicaDraining)
	s.eventually("a draining replica gets no requests", func() bool {
		n := len(a.Requests())
		for range 6 {
			status("k2")
		}
		return len(a.Requests()) == n && len(b.Requests()) > 0
	})
	if g := status("k1"); g != 200 {
		t.Errorf("status %d for a key of version 3, want 200: the older version 2 was applied", g)
	}
}

// Guards against an instance that honours possibly revoked keys while it can't confirm its
// configuration, since the store refuses all calls. It must answer 503 with Retry-After, not
// be ready, and recover with the store.
func TestNodeRefusesKeysDuringStoreOutage(t *testing.T) {
	s := newTestEnv(t)
	s.startReplica("a", "v1")
	s.start()
	s.store.Lock()
	s.store.RefuseStatus = 503
	s.store.Unlock()
	s.eventually("keys are not honoured", func() bool {
		r := s.send("POST", "/once/", "", apiKeyHeader)
		return r.status == 503 && r.header.Get("Retry-After") != ""
	})
	if r := s.send("GET", "/open/", ""); r.status != 200 {
		t.Errorf("status %d for a request to a public route, want 200", r.status)
	}
	if g := s.readiness(); g != 503 {
		t.Errorf("readiness %d, want 503", g)
	}
	s.store.Lock()
	s.store.RefuseStatus = 0
	s.store.Unlock()
	s.eventually("the node recovers", func() bool { return s.readiness() == 200 && s.send("POST", "/once/", "", apiKeyHeader).status == 200 })
}

// Guards against an outage of the store that stops requests although lenient keys are
// configured: keys are honoured by the newest known configuration. A key that it does not
// have may be in a newer one, so it gets 503, not 401. A key that was revoked during the
// outage is refused after it.
func TestLenientNodeHonoursKeysDuringStoreOutage(t *testing.T) {
	s := newTestEnv(t)
	s.startReplica("a", "v1")
	s.startWith(func(n *settings.Node) { n.RevokedKeyTTL, n.LenientKeys = time.Second, true })
	s.store.Lock()
	s.store.RefuseStatus = 503
	s.store.Unlock()
	s.store.PutConfig(2, "k2")
	s.eventually("the outage outlasts the lease", func() bool {
		if r := s.send("POST", "/once/", "", apiKeyHeader); r.status != 200 {
			t.Fatalf("status %d for a valid key during the outage, want 200", r.status)
		}
		return strings.Contains(s.logs.String(), "event=config_unconfirmed")
	})
	for range 5 {
		if r := s.send("POST", "/once/", "", apiKeyHeader); r.status != 200 {
			t.Errorf("status %d for a valid key after the lease expired, want 200", r.status)
		}
	}
	if r := s.send("POST", "/once/", "", sitetest.HeaderAPIKey+": unknown"); r.status != 503 || r.header.Get("Retry-After") == "" {
		t.Errorf("status %d for a key that a newer configuration may have, want 503 with Retry-After", r.status)
	}
	s.eventually("a request is counted as routed by a stale configuration", func() bool {
		s.send("POST", "/once/", "", apiKeyHeader)
		return strings.Contains(s.fetchMetrics(), `fieldvale_stale_answers_total{act="routed"}`)
	})
	s.send("POST", "/once/", "", sitetest.HeaderAPIKey+": unknown")
	if m := s.fetchMetrics(); strings.Contains(m, `fieldvale_stale_answers_total{act="denied"}`) {
		t.Errorf("a request was denied by a stale configuration:\n%s", m)
	}
	s.store.Lock()
	s.store.RefuseStatus = 0
	s.store.Unlock()
	s.eventually("the revoked key is refused", func() bool { return s.send("POST", "/once/", "", apiKeyHeader).status == 401 })
}

// Guards against an operator who can't see why an instance acts on an old configuration:
// metrics and logs must show its version and age, the results of the store's calls, and
// that the store has dropped its history.
func TestMetricsAndLogsShowConfigAgeAndStoreCalls(t *testing.T) {
	s := newTestEnv(t)
	s.startReplica("a", "v1")
	s.start()
	s.store.Lock()
	s.store.RefuseStatus = http.StatusServiceUnavailable
	s.store.Unlock()
	s.eventually("the store is lost", func() bool { return strings.Contains(s.logs.String(), "event=store_lost") })
	s.store.PutConfig(2, "k1")
	s.store.Compact()
	s.store.Lock()
	s.store.RefuseStatus = 0
	s.store.Unlock()
	s.eventually("the store is back", func() bool { return strings.Contains(s.logs.String(), "event=store_back") })
	for _, want := range []string{"event=history_gone after=", "event=whole_read", "event=store_back confirmed_ago="} {
		if !strings.Contains(s.logs.String(), want) {
			t.Errorf("the logs lack %q:\n%s", want, s.logs)
		}
	}
	m := s.fetchMetrics()
	for _, want := range []string{"fieldvale_config_version 2\n", "fieldvale_config_age_seconds 0.", `fieldvale_store_calls_total{call="changes",result="410"} 1`, `fieldvale_store_calls_total{call="changes",result="503"}`, `fieldvale_store_calls_total{call="read",result="200"}`} {
		if !strings.Contains(m, want) {
			t.Errorf("the metrics lack %q:\n%s", want, m)
		}
	}
}

// fetchMetrics returns the node's metrics in the text format.
func (s *testEnv) fetchMetrics() string {
	s.t.Helper()
	r, err := http.Get("http://" + s.node.settings.MetricsListen + "/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return string(b)
}
