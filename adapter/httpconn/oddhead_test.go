package httpconn_test

import (
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
			s, err := heads.Serve(c.Answer())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = s.Close() })
			b, err := do(httpconn.New(), s.Addr().String(), "x")
			if c.Usable && (b != "ok" || err != nil) {
				t.Errorf("got body %q and error %v, want ok", b, err)
			}
			if !c.Usable && (err == nil || outcome.KindOf(err) != outcome.Unknown) {
				t.Errorf("got body %q and error %v, want an error of kind unknown", b, err)
			}
		})
	}
}
