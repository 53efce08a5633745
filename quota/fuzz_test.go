package quota_test

import (
	"testing"
	"time"
)

// Guards against datagrams that panic a node, or make it record a limit out of range.
func FuzzReceive(f *testing.F) {
	for _, s := range []string{
		`{}`, `{"f":"n2"}`, `{"q":1,"a":{"s":"s","c":[{"b":{"r":"r0","n":true,"p":1.5,"g":5,"k":9}}]}}`, `{"q":1,"w":{"c":true,"i":7,"w":[-5]}}`,
		`{"l":[{"r":"r0","n":true,"p":-1,"g":-9,"k":-9,"e":true,"h":-1,"u":99999999}]}`, `{"s":"s","c":true,"f":"n9"}`, `{"b":{"s":"s","r":"r0"}}`, `{"q":1,"a":{"s":"","c":null,"r":-4,"l":true}}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		now := noon
		n := singleNode(&now, true)
		n.Receive("x", b)
		n.Receive("x", b)
		now = now.Add(100 * time.Millisecond)
		n.Tick()
		for r, x := range n.LimitedReplicas() {
			if !(x.PerSecond >= 0 && x.PerSecond <= 1e6) {
				t.Errorf("%s: got a limit of %g a second, want 0 to 1e6", r, x.PerSecond)
			}
		}
		n.AcquirePermit(t.Context(), coldRequest(3, true))
	})
}
