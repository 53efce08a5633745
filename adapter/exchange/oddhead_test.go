package exchange

import (
	"testing"
	"time"

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
			b, err := get(New(time.Now), startScripted(t, c.Answer("Id: a")+closeMark), ownByID)
			if c.Usable && (b != "ok" || err != nil) {
				t.Errorf("got body %q and error %v, want ok", b, err)
			}
			if !c.Usable && err == nil {
				t.Errorf("got body %q, want an error", b)
			}
		})
	}
}
