package exchange

import (
	"strings"
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

// Guards against a head that is longer than the read buffer and is not read, or whose connection is not used again.
func TestHeadLongerThanTheReadBufferIsRead(t *testing.T) {
	long := strings.Replace(ok, "Id: a", "Id: a\r\nX-Note: "+strings.Repeat("x", 5*readBufferSize), 1)
	p := New(time.Now)
	addr := startScripted(t, long, ok, long)
	for n := range 3 {
		if b, err := get(p, addr, ownByID); b != "ok" || err != nil {
			t.Errorf("answer %d: got body %q and error %v, want ok", n+1, b, err)
		}
	}
	if p.Dialed() != 1 {
		t.Errorf("got %d connections opened, want 1", p.Dialed())
	}
}
