package main

import (
	"io"
	"net"
	"strings"
	"testing"

	"fieldvale/platform/sitetest"
)

func TestNodeTakesABadReleaseBack(t *testing.T) {
	s := newSite(t)
	s.replica("old", "v1")
	bad := s.replica("new", "v2")
	bad.Lock()
	bad.Handler = func(c net.Conn, q sitetest.Request) {
		_, _ = io.WriteString(c, bad.ResponseHead(q, "500 Internal Server Error", "Content-Length: 0"))
	}
	bad.Unlock()
	s.start()
	s.store.OrderRelease("svc", "v2", 600)
	s.eventually("the operator reads that it runs", func() bool { return strings.Contains(s.store.ReleaseStatus("svc"), sitetest.ReleaseInProgress) })
	// The finding is written until the store takes it.
	s.store.Lock()
	s.store.FailWrites = 3
	s.store.Unlock()
	s.eventually("the operator reads that it was rolled back", func() bool {
		for range 50 {
			s.send("GET", "/open/", "")
		}
		return strings.Contains(s.store.ReleaseStatus("svc"), sitetest.ReleaseRolledBack)
	})
	n := len(bad.Requests())
	for range 200 {
		s.send("GET", "/open/", "")
	}
	if len(bad.Requests()) != n {
		t.Errorf("the bad release got %d requests after it was rolled back", len(bad.Requests())-n)
	}
}

func TestNodeCompletesAGoodRelease(t *testing.T) {
	s := newSite(t)
	s.replica("old", "v1")
	s.replica("new", "v2")
	s.start()
	s.store.OrderRelease("svc", "v2", 2)
	s.eventually("the operator reads that it is complete", func() bool {
		s.send("GET", "/open/", "")
		return strings.Contains(s.store.ReleaseStatus("svc"), sitetest.ReleaseCompleted)
	})
}
