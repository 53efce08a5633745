package main

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"fieldvale/platform/sitetest"
	"fieldvale/quarantine"
)

// Guards against a request that crashes replicas again after all instances that held it have
// stopped: a new instance must read it from the store and refuse it before it reaches a
// replica, with a Retry-After at the end of the hold, and refuse no request of other content.
// Once the operator removes the entry, the request must be sent again.
func TestNodeReadsHeldRequestsFromTheStore(t *testing.T) {
	for _, kind := range []string{"once", "again", "stream"} {
		t.Run(kind, func(t *testing.T) {
			s := newTestEnv(t)
			r := s.startReplica("r1", "v1")
			if kind == "stream" {
				r.Handler = r.Stream(0, false, 1, 2)
			}
			f := quarantine.RequestContent{Caller: "acme", Method: "POST", Host: "h.example", Target: "/" + kind + "/x?a=1", Body: []byte("bad")}.Fingerprint()
			s.store.PutHeld(f.String(), 5, time.Now())
			s.start()
			a := s.send("POST", "/"+kind+"/x?a=1", "bad", apiKeyHeader, sitetest.HeaderRequestID+": q7")
			if a.status != http.StatusServiceUnavailable {
				t.Fatalf("held request: got %d %q, want 503", a.status, a.body)
			}
			if d, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err != nil || d < 300 {
				t.Errorf("Retry-After: got %q s, want at least 300, when the hold ends", a.header.Get("Retry-After"))
			}
			s.eventually("the refusal is logged", func() bool {
				return strings.Contains(s.logs.String(), "event=request_quarantined") && strings.Contains(s.logs.String(), "request=q7")
			})
			if n := len(r.Requests()); n > 0 {
				t.Errorf("%d held requests reached the replica, want 0", n)
			}
			for difference, o := range map[string]response{
				"another parameter": s.send("POST", "/"+kind+"/x?a=2", "bad", apiKeyHeader),
				"another body":      s.send("POST", "/"+kind+"/x?a=1", "bad2", apiKeyHeader),
				"no body":           s.send("POST", "/"+kind+"/x?a=1", "", apiKeyHeader),
			} {
				if o.status != http.StatusOK {
					t.Errorf("%s: got %d %q, want 200", difference, o.status, o.body)
				}
			}
			s.store.RemoveHeld(f.String())
			s.eventually("the request is served after its entry was removed", func() bool { return s.send("POST", "/"+kind+"/x?a=1", "bad", apiKeyHeader).status == http.StatusOK })
		})
	}
}

// Guards against a part of prompts that crashes replicas again after all instances that held it have
// stopped, and against refusing requests without it.
func TestNodeReadsHeldPartsFromTheStore(t *testing.T) {
	s := newTestEnv(t)
	r := s.startReplica("r1", "v1")
	r.Handler = r.Stream(0, false, 1, 2)
	p := quarantine.NewParts("svc", []string{"dead0001"})[0]
	s.store.PutHeldPart(p.Fingerprint.String(), p.Label, 5, time.Now())
	s.start()
	send := func(parts string) response {
		return s.send("POST", "/stream/x", parts, apiKeyHeader, sitetest.HeaderRequestID+": q-"+parts, sitetest.HeaderPromptPrefix+": "+parts)
	}
	for _, held := range []string{"dead0001:9,01:1", "c0de:5,dead0001:9,02:1", "c0de:5,dead0001:9,beef:2,03:1"} {
		if a := send(held); a.status != http.StatusServiceUnavailable {
			t.Errorf("prompt %s: got %d %q, want 503", held, a.status, a.body)
		}
	}
	s.eventually("the refusal is logged with the part", func() bool {
		return strings.Contains(s.logs.String(), "event=request_quarantined") && strings.Contains(s.logs.String(), "part=svc/dead0001")
	})
	if n := len(r.Requests()); n > 0 {
		t.Errorf("%d requests with the held part reached the replica, want 0", n)
	}
	// The last part of a prompt belongs to the request alone.
	for _, free := range []string{"c0de:5,04:1", "c0de:5,dead0001:9", "05:1"} {
		if a := send(free); a.status != http.StatusOK {
			t.Errorf("prompt %s: got %d %q, want 200", free, a.status, a.body)
		}
	}
	s.store.RemoveHeld(p.Fingerprint.String())
	s.eventually("requests with the part are sent after its entry was removed", func() bool { return send("dead0001:9,06:1").status == http.StatusOK })
}
