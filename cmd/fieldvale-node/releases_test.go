package main

import (
	"io"
	"net"
	"strings"
	"testing"

	"fieldvale/platform/sitetest"
)

// Guards against a bad release that stays in use: all answers of the new release fail, and
// the first writes of the finding to the store fail as well. The node must repeat the write,
// and send no request to the release once it is rolled back.
func TestNodeRollsBackBadRelease(t *testing.T) {
	s := newTestEnv(t)
	s.startReplica("old", "v1")
	bad := s.startReplica("new", "v2")
	bad.Lock()
	bad.Handler = func(c net.Conn, q sitetest.Request) {
		_, _ = io.WriteString(c, bad.ResponseHead(q, "500 Internal Server Error", "Content-Length: 0"))
	}
	bad.Unlock()
	s.start()
	s.store.OrderRelease("svc", "v2", 600)
	s.eventually("the release status is in progress", func() bool { return strings.Contains(s.store.ReleaseStatus("svc"), sitetest.ReleaseInProgress) })
	// The node must write the finding until the store accepts it.
	s.store.Lock()
	s.store.FailWrites = 3
	s.store.Unlock()
	s.eventually("the release status is rolled back", func() bool {
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
		t.Errorf("the bad release got %d requests after it was rolled back, want 0", len(bad.Requests())-n)
	}
}

// Guards against a good release that is never completed.
func TestNodeCompletesGoodRelease(t *testing.T) {
	s := newTestEnv(t)
	s.startReplica("old", "v1")
	s.startReplica("new", "v2")
	s.start()
	s.store.OrderRelease("svc", "v2", 2)
	s.eventually("the release status is completed", func() bool {
		s.send("GET", "/open/", "")
		return strings.Contains(s.store.ReleaseStatus("svc"), sitetest.ReleaseCompleted)
	})
}
