package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"fieldvale/platform/sitetest"
)

// endlessAnswers are answers of a replica that never end. notRun is set for refusals, whose head is whole.
var endlessAnswers = []struct {
	name   string
	extra  []string
	status string
	piece  string
	notRun bool
}{
	{name: "body", status: "200 OK", piece: strings.Repeat("x", 4000)},
	{name: "body with a length", status: "200 OK", extra: []string{"Content-Length: 99999999999"}, piece: strings.Repeat("x", 4000)},
	{name: "chunks", status: "200 OK", extra: []string{"Transfer-Encoding: chunked"}, piece: "fa0\r\n" + strings.Repeat("x", 4000) + "\r\n"},
	{name: "body of a failure", status: "500 Internal Server Error", piece: strings.Repeat("x", 4000)},
	{name: "blank lines", status: "200 OK", piece: strings.Repeat("\n", 4000)},
	{name: "comments", status: "200 OK", piece: strings.Repeat(": busy\n\n", 500)},
	{name: "events without data", status: "200 OK", piece: strings.Repeat("x: busy\n\n", 500)},
	{name: "body of a refusal", status: "503 Service Unavailable", extra: []string{sitetest.HeaderNotExecuted + ": 1"}, piece: strings.Repeat("x", 4000), notRun: true},
	{name: "body of a refusal with a length", status: "429 Too Many Requests", extra: []string{sitetest.HeaderNotExecuted + ": 1", "Content-Length: 99999999999"}, piece: strings.Repeat("x", 4000), notRun: true},
	{name: "headers", status: "200 OK", extra: []string{strings.Repeat("X-Note: busy\r\n", 4000) + "X-Note: busy"}, piece: "\r\n"},
}

// maxEndlessWait bounds the time until a request whose replica answers without end is answered.
const maxEndlessWait = 1500 * time.Millisecond

// Guards against an answer without end that holds its request until the deadline, is taken for whole, or stands in
// the way of another replica's answer.
func TestAnswersWithoutEndAreReplaced(t *testing.T) {
	for _, c := range endlessAnswers {
		for _, path := range []string{"/once/x", "/again/x", "/stream/x"} {
			t.Run(c.name+" "+path, func(t *testing.T) {
				s := newTestEnv(t)
				var first sync.Once
				for _, id := range []string{"r1", "r2"} {
					r := s.startReplica(id, "v1")
					r.Handler = func(k net.Conn, q sitetest.Request) {
						isFirst := false
						first.Do(func() { isFirst = true })
						if !isFirst {
							r.Stream(0, false, 1)(k, q)
							return
						}
						_, err := io.WriteString(k, r.ResponseHead(q, c.status, c.extra...))
						for b := []byte(c.piece); err == nil; {
							_, err = k.Write(b)
						}
						_ = k.Close()
					}
				}
				s.startWithRetries()
				began := time.Now()
				a := s.send("POST", path, "x", apiKeyHeader)
				if took := time.Since(began); took > maxEndlessWait {
					t.Errorf("answered after %s, want at most %s", took, maxEndlessWait)
				}
				want := http.StatusOK
				if path == "/once/x" && !c.notRun {
					want = http.StatusBadGateway
				}
				if a.status != want || a.err != nil || want == http.StatusOK && !strings.HasSuffix(a.body, "data: event 1\n\n") {
					t.Errorf("got status %d, body of %d bytes, error %v, want %d", a.status, len(a.body), a.err, want)
				}
			})
		}
	}
}

// Guards against an instance whose memory, descriptors or goroutines grow with the answers without end of one of
// its replicas.
func TestReplicaOfAnswersWithoutEndTakesLittle(t *testing.T) {
	const requests, maxGrowth, maxLeft = 100, 16 << 20, 20
	s := newTestEnv(t)
	for _, id := range []string{"r1", "r2"} {
		r := s.startReplica(id, "v1")
		if id == "r2" {
			r.Handler = r.Stream(0, false, 1)
			continue
		}
		n := 0
		r.Handler = func(k net.Conn, q sitetest.Request) {
			r.Lock()
			c := endlessAnswers[n%len(endlessAnswers)]
			n++
			r.Unlock()
			_, err := io.WriteString(k, r.ResponseHead(q, c.status, c.extra...))
			for b := []byte(c.piece); err == nil; {
				_, err = k.Write(b)
			}
			_ = k.Close()
		}
	}
	s.startWithRetries()
	s.send("POST", "/again/x", "x", apiKeyHeader)
	runtime.GC()
	goroutines := runtime.NumGoroutine()
	var before, m runtime.MemStats
	runtime.ReadMemStats(&before)
	most := uint64(0)
	statuses := map[int]int{}
	for i := range requests {
		a := s.send("POST", []string{"/once/x", "/again/x", "/stream/x"}[i%3], "x", apiKeyHeader)
		statuses[a.status]++
		runtime.ReadMemStats(&m)
		most = max(most, m.HeapInuse)
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("heap in use %d before, %d at most; statuses %v", before.HeapInuse, most, statuses)
	if most > before.HeapInuse+maxGrowth {
		t.Errorf("heap in use grew from %d to %d bytes, want at most %d more", before.HeapInuse, most, maxGrowth)
	}
	if statuses[http.StatusOK] < requests*3/4 {
		t.Errorf("statuses %v, want three quarters answered by the other replica", statuses)
	}
	s.eventually(fmt.Sprintf("at most %d goroutines more than before", maxLeft), func() bool { return runtime.NumGoroutine() <= goroutines+maxLeft })
}
