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

// All instances were lost while a request goes on coming that they held. The one that
// starts knows it from the store: the caller is refused before any replica, with the truth,
// and not asked back soon. The operator strikes the entry, and it is sent again.
func TestNodeKnowsHeldRequestsFromTheStore(t *testing.T) {
	for _, kind := range []string{"once", "again", "stream"} {
		t.Run(kind, func(t *testing.T) {
			s := newSite(t)
			r := s.replica("r1", "v1")
			if kind == "stream" {
				r.Handler = r.Stream(0, false, 1, 2)
			}
			f := quarantine.RequestContent{Caller: "acme", Method: "POST", Host: "h.example", Target: "/" + kind + "/x?a=1", Body: []byte("bad")}.Fingerprint()
			s.store.PutHeld(f.String(), 5, time.Now())
			s.start()
			a := s.send("POST", "/"+kind+"/x?a=1", "bad", key, sitetest.HeaderRequestID+": q7")
			if a.status != http.StatusServiceUnavailable {
				t.Fatalf("%d %q, want 503", a.status, a.body)
			}
			if d, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err != nil || d < 300 {
				t.Errorf("asked back in %q s, want when the hold ends", a.header.Get("Retry-After"))
			}
			s.eventually("the refusal is logged", func() bool {
				return strings.Contains(s.logs.String(), "event=request_quarantined") && strings.Contains(s.logs.String(), "request=q7")
			})
			if n := len(r.Requests()); n > 0 {
				t.Errorf("%d requests reached the replica", n)
			}
			for what, o := range map[string]reply{
				"another parameter": s.send("POST", "/"+kind+"/x?a=2", "bad", key),
				"another body":      s.send("POST", "/"+kind+"/x?a=1", "bad2", key),
				"no body":           s.send("POST", "/"+kind+"/x?a=1", "", key),
			} {
				if o.status != http.StatusOK {
					t.Errorf("%s: %d %q", what, o.status, o.body)
				}
			}
			s.store.RemoveHeld(f.String())
			s.eventually("it is sent again", func() bool { return s.send("POST", "/"+kind+"/x?a=1", "bad", key).status == http.StatusOK })
		})
	}
}
