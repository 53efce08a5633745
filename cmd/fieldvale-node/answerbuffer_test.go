package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fieldvale/adapter/settings"
	"fieldvale/platform/sitetest"
)

// slowClient sends a request for a stream and reads nothing.
func (s *testEnv) slowClient(id, deadlineMs string) net.Conn {
	c, err := net.Dial("tcp", s.node.settings.Listen)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "GET /stream/x HTTP/1.1\r\nHost: h.example\r\n"+apiKeyHeader+"\r\n"+sitetest.HeaderRequestID+": "+id+"\r\n"+sitetest.HeaderDeadline+": "+deadlineMs+"\r\n\r\n")
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

// longStream is more than the buffers of a loopback connection hold.
const (
	longStreamEvents     = 200
	longStreamEventBytes = 128 << 10
)

// startLongStreams starts a replica with long streams, and returns a channel that gets a value
// for each stream that was read to its end.
func (s *testEnv) startLongStreams() <-chan struct{} {
	done := make(chan struct{}, 9)
	r := s.startReplica("a", "v1")
	r.Handler = func(c net.Conn, q sitetest.Request) {
		_, _ = io.WriteString(c, r.ResponseHead(q, "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
		for i := range longStreamEvents {
			e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", longStreamEventBytes))
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
				return
			}
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err == nil {
			done <- struct{}{}
		}
	}
	return done
}

func withLargeAnswerBuffer(n *settings.Node) {
	n.MemoryMB, n.AnswerBufferKB, n.CompletionPause = 1024, 32<<10, 2*time.Second
}

// A planned stop must write the answers in the buffer before the process ends: their replicas
// have ended, so that no other instance could get the rest.
func TestStopWritesBufferedAnswers(t *testing.T) {
	s := newTestEnv(t)
	read := s.startLongStreams()
	s.startWith(withLargeAnswerBuffer)
	c := s.slowClient("q1", "2900")
	select {
	case <-read:
	case <-time.After(eventuallyTimeout):
		t.Fatal("the replica's answer was not read while the client read nothing")
	}
	s.stop()
	s.eventually("the stop has begun", func() bool { return strings.Contains(s.logs.String(), "stopping") })
	b, err := io.ReadAll(c)
	if err != nil || len(b) < longStreamEvents*longStreamEventBytes || !strings.HasSuffix(string(b), "\r\n0\r\n\r\n") {
		t.Errorf("got %d bytes and error %v, want the whole answer", len(b), err)
	}
	select {
	case err := <-s.done:
		if err != nil {
			t.Errorf("node.run: got error %v, want none", err)
		}
	case <-time.After(s.node.settings.StopTimeout):
		t.Error("the node did not stop in time")
	}
	if l := s.logs.String(); strings.Contains(l, "stop_incomplete") {
		t.Errorf("got a stop that was not complete:\n%s", l)
	}
}

// A client that reads nothing until its deadline must be cut with one log line, and its answer
// must not look complete.
func TestNodeCutsStalledClient(t *testing.T) {
	s := newTestEnv(t)
	s.startLongStreams()
	s.startWith(withLargeAnswerBuffer)
	c := s.slowClient("q1", "1500")
	s.eventually("the client is cut", func() bool { return strings.Contains(s.logs.String(), "client_slow") })
	b, _ := io.ReadAll(c)
	if strings.HasSuffix(string(b), "\r\n0\r\n\r\n") {
		t.Error("got an answer that looks complete, want one that is broken off")
	}
	if l := s.logs.String(); strings.Contains(l, "attempt_failed") || strings.Count(l, "client_slow") != 1 {
		t.Errorf("got a failed attempt, or not one line for the client:\n%s", l)
	}
	r, err := http.Get("http://" + s.node.settings.MetricsListen + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	m, _ := io.ReadAll(r.Body)
	for _, want := range []string{`fieldvale_clients_cut_total{service="svc"} 1`, "fieldvale_answer_buffer_bytes 0"} {
		if !strings.Contains(string(m), want) {
			t.Errorf("got metrics without %q", want)
		}
	}
}

// Many slow clients at once must not fill the log; the lines that were left out must be counted.
func TestLineLimit(t *testing.T) {
	l := &lineLimit{most: 2}
	now := time.Unix(1_700_000_000, 0)
	var got []string
	for i := range 8 {
		ok, omitted := l.allow(now.Add(time.Duration(i) * 200 * time.Millisecond))
		got = append(got, fmt.Sprint(ok, omitted))
	}
	want := "[true 0 true 0 false 0 false 0 false 0 true 3 true 0 false 0]"
	if fmt.Sprint(got) != want {
		t.Errorf("got %v, want %s", got, want)
	}
}

// A client that reads nothing of a stream without a buffer must be cut after its deadline: its replica was held up, and its
// request stayed in memory, for as long as the client kept its connection open.
func TestStalledClientOfUnbufferedStreamIsCut(t *testing.T) {
	s := newTestEnv(t)
	ended := make(chan error, 9)
	r := s.startReplica("a", "v1")
	r.Handler = func(c net.Conn, q sitetest.Request) {
		_, err := io.WriteString(c, r.ResponseHead(q, "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
		for i := 0; err == nil; i++ {
			e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", longStreamEventBytes))
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		ended <- err
	}
	s.start()
	s.slowClient("q1", "1500")
	select {
	case <-ended:
	case <-time.After(eventuallyTimeout):
		t.Error("the replica still writes the stream of a client that reads nothing")
	}
}

// A client that reads no answers and goes on sending requests must be cut: each of its connections kept a goroutine and its
// buffers until the client left.
func TestClientThatReadsNoRefusalsIsCut(t *testing.T) {
	s := newTestEnv(t)
	s.startReplica("a", "v1")
	s.start()
	c, err := net.Dial("tcp", s.node.settings.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	q := "GET /none/x HTTP/1.1\r\nHost: h.example\r\n" + apiKeyHeader + "\r\n" + sitetest.HeaderRequestID + ": q\r\n\r\n"
	written := make(chan error, 1)
	go func() {
		for {
			if _, err := io.WriteString(c, q); err != nil {
				written <- err
				return
			}
		}
	}()
	select {
	case <-written:
	case <-time.After(2 * eventuallyTimeout):
		t.Error("the connection of a client that reads nothing is open")
	}
}
