package httpconn_test

import (
	"io"
	"net"
	"testing"

	"fieldvale/adapter/httpconn"
	"fieldvale/outcome"
	"fieldvale/standin/heads"
)

// Guards against an answer with an odd status or an odd name of a field that is taken for one, or that is skipped so
// that what follows counts, and against a sound one that is not taken.
func TestOddHeadsAreNoAnswer(t *testing.T) {
	l, err := heads.Read()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range l {
		t.Run(c.Name, func(t *testing.T) {
			addr := startServer(t, func(_ int, k net.Conn) {
				defer k.Close()
				_, _ = k.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(k, c.Answer())
			})
			b, err := do(httpconn.New(), addr, "x")
			if c.Usable && (b != "ok" || err != nil) {
				t.Errorf("got body %q and error %v, want ok", b, err)
			}
			if !c.Usable && (err == nil || outcome.KindOf(err) != outcome.Unknown) {
				t.Errorf("got body %q and error %v, want an error of kind unknown", b, err)
			}
		})
	}
}
