package main

import (
	"io"
	"net"
	"strings"
	"testing"

	"fieldvale/platform/sitetest"
)

// unframedEvents are the events of a whole stream.
const unframedEvents = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"

// oneEvent is the length of the first of them.
const oneEvent = len(unframedEvents) / 2

// Guards against an answer with neither a length nor chunks that broke off and reaches its client as
// complete: its end differs from that of a whole one only by what follows.
func TestBrokenAnswersThatEndWithTheirConnectionDoNotLookComplete(t *testing.T) {
	const whole, reset, crash = "whole", "reset", "crash"
	for _, c := range []struct {
		name, path, sent, end string
		wantComplete          bool
	}{
		{"stream", "/stream/x", unframedEvents, whole, true},
		{"stream, cut in an event", "/stream/x", unframedEvents[:30], whole, false},
		{"stream, cut in a character", "/stream/x", unframedEvents + "id: 3\ndata: \xc3", whole, false},
		{"stream, reset in an event", "/stream/x", unframedEvents[:30], reset, false},
		{"stream, reset between events", "/stream/x", unframedEvents[:oneEvent], reset, false},
		{"stream, crash between events", "/stream/x", unframedEvents[:oneEvent], crash, false},
		{"stream, crash before the first event", "/stream/x", "", crash, false},
		{"stream without events", "/stream/x", "", whole, false},
		{"body", "/once/x", "whole", whole, true},
		{"body, reset", "/once/x", "who", reset, false},
		{"body, crash", "/once/x", "who", crash, false},
		{"repeatable body, crash", "/again/x", "who", crash, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestEnv(t)
			r := s.startReplica("r1", "v1")
			r.Handler = func(k net.Conn, q sitetest.Request) {
				_, _ = io.WriteString(k, r.ResponseHead(q, "200 OK", "Content-Type: text/event-stream", "Connection: close")+c.sent)
				switch c.end {
				case reset:
					_ = k.(*net.TCPConn).SetLinger(0)
				case crash:
					r.Close()
				}
				_ = k.Close()
			}
			s.start()
			a := s.send("POST", c.path, "q", apiKeyHeader)
			complete := a.status == 200 && a.err == nil
			if complete != c.wantComplete {
				t.Errorf("got status %d, body %q, error %v; complete %t, want %t", a.status, a.body, a.err, complete, c.wantComplete)
			}
			if complete && !strings.HasSuffix(a.body, c.sent) {
				t.Errorf("got body %q, want %q", a.body, c.sent)
			}
		})
	}
}
