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

func TestNodeFollowsChanges(t *testing.T) {
	s := newSite(t)
	a := s.replica("a", "v1")
	s.start()
	status := func(k string) int { return s.send("POST", "/once/", "", sitetest.HeaderAPIKey+": "+k).status }
	s.store.PutConfig(2, "k2")
	s.eventually("a key that was taken away is refused", func() bool { return status("k1") == 401 })
	s.store.Compact()
	s.store.PutConfig(3, "k1", "k2")
	s.eventually("a change after lost history is in force", func() bool { return status("k1") == 200 })
	s.store.PutConfig(2, "k2")
	b := s.replica("b", "v1")
	s.store.PutReplica(a, "svc", "v1", sitetest.ReplicaDraining)
	s.eventually("a draining replica gets nothing", func() bool {
		n := len(a.Requests())
		for range 6 {
			status("k2")
		}
		return len(a.Requests()) == n && len(b.Requests()) > 0
	})
	if g := status("k1"); g != 200 {
		t.Errorf("an older configuration was taken: %d", g)
	}
}

// An instance that can't confirm its configuration honours no key, says so
// truly, and is not ready; it is back with the store.
func TestNodeWithoutTheStore(t *testing.T) {
	s := newSite(t)
	s.replica("a", "v1")
	s.start()
	s.store.Lock()
	s.store.RefuseStatus = 503
	s.store.Unlock()
	s.eventually("keys are not honoured", func() bool {
		r := s.send("POST", "/once/", "", key)
		return r.status == 503 && r.header.Get("Retry-After") != ""
	})
	if r := s.send("GET", "/open/", ""); r.status != 200 {
		t.Errorf("a request without a key: %d", r.status)
	}
	if g := s.readiness(); g != 503 {
		t.Errorf("readiness %d", g)
	}
	s.store.Lock()
	s.store.RefuseStatus = 0
	s.store.Unlock()
	s.eventually("it is back", func() bool { return s.readiness() == 200 && s.send("POST", "/once/", "", key).status == 200 })
}

// Where the operator asks for no strictness, an outage of the store turns
// nobody away: keys are honoured by the newest configuration that is known,
// each line says how old it is, and a key that was taken away meanwhile ends
// with the outage.
func TestLenientNodeWithoutTheStore(t *testing.T) {
	s := newSite(t)
	s.replica("a", "v1")
	s.startWith(func(n *settings.Node) { n.HonourFor, n.KeysLenient = time.Second, true })
	s.store.Lock()
	s.store.RefuseStatus = 503
	s.store.Unlock()
	s.store.PutConfig(2, "k2")
	s.eventually("the outage outlasts the lease", func() bool {
		if r := s.send("POST", "/once/", "", key); r.status != 200 {
			t.Fatalf("a key during the outage: %d", r.status)
		}
		return strings.Contains(s.logs.String(), "event=config_unconfirmed")
	})
	for range 5 {
		if r := s.send("POST", "/once/", "", key); r.status != 200 {
			t.Errorf("a key after the lease: %d", r.status)
		}
	}
	if r := s.send("POST", "/once/", "", sitetest.HeaderAPIKey+": unknown"); r.status != 503 || r.header.Get("Retry-After") == "" {
		t.Errorf("a key that a newer configuration may name: %d", r.status)
	}
	s.eventually("a request is routed by old knowledge", func() bool {
		s.send("POST", "/once/", "", key)
		return strings.Contains(s.metrics(), `fieldvale_stale_answers_total{act="routed"}`)
	})
	s.send("POST", "/once/", "", sitetest.HeaderAPIKey+": unknown")
	if m := s.metrics(); strings.Contains(m, `fieldvale_stale_answers_total{act="denied"}`) {
		t.Errorf("a request was denied by old knowledge:\n%s", m)
	}
	s.store.Lock()
	s.store.RefuseStatus = 0
	s.store.Unlock()
	s.eventually("the key that was taken away is refused", func() bool { return s.send("POST", "/once/", "", key).status == 401 })
}

// What an instance knows, how old that is, how the store's calls ended, and that the store has
// forgotten its history can be told from metrics and logs.
func TestKnowledgeAndCallsAreObserved(t *testing.T) {
	s := newSite(t)
	s.replica("a", "v1")
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
			t.Errorf("no line with %q in\n%s", want, s.logs)
		}
	}
	m := s.metrics()
	for _, want := range []string{"fieldvale_config_version 2\n", "fieldvale_config_age_seconds 0.", `fieldvale_store_calls_total{call="changes",result="410"} 1`, `fieldvale_store_calls_total{call="changes",result="503"}`, `fieldvale_store_calls_total{call="read",result="200"}`} {
		if !strings.Contains(m, want) {
			t.Errorf("metrics lack %q:\n%s", want, m)
		}
	}
}

// metrics returns what the node tells at its metrics address.
func (s *site) metrics() string {
	s.t.Helper()
	r, err := http.Get("http://" + s.node.s.Metrics + "/metrics")
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
