package main

import (
	"io"
	"net"
	"strings"
	"testing"

	"fieldvale/platform/sitetest"
)

// Guards against load reports that don't reach the choice, the log or the metrics, and against an
// invalid one that makes a request fail.
func TestNodeUsesReportedLoad(t *testing.T) {
	s := newTestEnv(t)
	a := s.startReplica("a", "v1")
	s.start()
	a.Lock()
	report := "3,1,6,250"
	a.Handler = func(c net.Conn, q sitetest.Request) {
		a.Lock()
		h := sitetest.HeaderReplicaLoad + ": " + report
		a.Unlock()
		_, _ = io.WriteString(c, a.ResponseHead(q, "200 OK", h, "Content-Length: 0"))
	}
	a.Unlock()
	for i := range 3 {
		if r := s.send("GET", "/again/", "", apiKeyHeader); r.status != 200 {
			t.Errorf("request %d: got %d, want 200", i, r.status)
		}
		if i == 1 {
			a.Lock()
			report = "many"
			a.Unlock()
		}
	}
	s.eventually("the reports are counted", func() bool {
		m := s.fetchMetrics()
		return strings.Contains(m, `fieldvale_load_reports_total{result="kept"} 2`) && strings.Contains(m, `fieldvale_load_reports_total{result="invalid"} 1`) && strings.Contains(m, "fieldvale_load_report_age_seconds_count 2")
	})
	s.logs.mu.Lock()
	l := s.logs.b.String()
	s.logs.mu.Unlock()
	if !strings.Contains(l, "load=3,1,6,250") || strings.Count(l, "answer_header_unreadable") != 1 {
		t.Errorf("the log has no report or not one invalid header:\n%s", l)
	}
}
