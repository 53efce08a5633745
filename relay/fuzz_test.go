package relay

import (
	"testing"

	"fieldvale/store"
)

// FuzzReceive decodes datagrams as they may arrive from any host of the instances' network.
func FuzzReceive(f *testing.F) {
	items, err := pack([]store.Item{{Key: "k", Value: []byte("v"), Revision: 3}})
	if err != nil {
		f.Fatal(err)
	}
	for _, m := range []message{{Query: &query{ID: 1, After: 2, WaitMs: 3}}, {Answer: &answer{ID: 1, Revision: 3}}} {
		for _, l := range [][]byte{nil, items} {
			b, err := encode(m, l)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(b)
		}
	}
	large, err := split(7, make([]byte, 3*chunkSize))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(large[0])
	f.Fuzz(func(t *testing.T, b []byte) {
		var p reassembler
		m, err := p.join("a", b)
		if err != nil || m == nil {
			return
		}
		_, _ = decode(m)
	})
}
