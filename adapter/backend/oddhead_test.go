package backend_test

import (
	"fmt"
	"testing"
	"time"

	"fieldvale/adapter/backend"
	"fieldvale/adapter/httpconn"
	"fieldvale/entry"
	"fieldvale/outcome"
	"fieldvale/pool"
	"fieldvale/standin/heads"
)

// startSender starts a server that answers each connection with the bytes and closes it.
func startSender(t *testing.T, bytes string) *pool.Replica {
	l, err := heads.Serve(bytes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return &pool.Replica{ID: "s", Addr: l.Addr().String()}
}

// Guards against a service's answer with an odd status or an odd name of a field that reaches the caller, as status 200
// if it was 000.
func TestServiceAnswersWithOddHeadsAreNone(t *testing.T) {
	l, err := heads.Read()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range l {
		t.Run(c.Name, func(t *testing.T) {
			a, err := backend.NewServices(httpconn.New()).Call(t.Context(), startSender(t, c.Answer()), entry.ServiceCall{Call: "x", Deadline: time.Now().Add(5 * time.Second)})
			got, want := fmt.Sprint(a.Status, " ", string(a.Body)), "200 ok"
			if !c.Usable {
				want = outcome.Unknown.String()
			}
			if err != nil {
				got = outcome.KindOf(err).String()
			}
			if got != want {
				t.Errorf("got %q and error %v, want %q", got, err, want)
			}
		})
	}
}

// Guards against an engine's answer with an odd status or an odd name of a field that reaches the caller.
func TestEngineAnswersWithOddHeadsAreNone(t *testing.T) {
	const chat = `{"id":"id-1","model":"small@1","choices":[{"message":{"content":"a"},"finish_reason":"stop"}]}`
	for _, status := range []string{"200", "000", "099", "600"} {
		for _, line := range []string{"X-Note: a", "X Note: a", "X-Note : a", "X-\x01Note: a"} {
			sent := fmt.Sprintf("HTTP/1.1 %s OK\r\n%s: id-1\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, backend.HeaderAttempt, line, len(chat), chat)
			_, err := backend.NewEngines(httpconn.New()).Chat(t.Context(), startSender(t, sent), attempt(0))
			isSound := status == "200" && line == "X-Note: a"
			if (err == nil) != isSound || !isSound && outcome.KindOf(err) != outcome.Unknown {
				t.Errorf("status %s, line %q: got error %v, want one of kind unknown: %t", status, line, err, !isSound)
			}
		}
	}
}
