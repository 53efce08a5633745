package relay

import (
	"testing"

	"fieldvale/store"
)

// FuzzReceive reads what may come from anywhere on the instances' network.
func FuzzReceive(f *testing.F) {
	items, err := pack([]store.Item{{Key: "k", Value: []byte("v"), Revision: 3}})
	if err != nil {
		f.Fatal(err)
	}
	for _, m := range []message{{Question: &question{ID: 1, After: 2, Wait: 3}}, {Answer: &answer{ID: 1, Revision: 3}}} {
		for _, l := range [][]byte{nil, items} {
			b, err := encode(m, l)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(b)
		}
	}
	large, err := split(7, make([]byte, 3*pieceSize))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(large[0])
	f.Fuzz(func(t *testing.T, b []byte) {
		var p pieces
		m, err := p.join("a", b)
		if err != nil || m == nil {
			return
		}
		_, _ = decode(m)
	})
}
