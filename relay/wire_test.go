package relay

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"fieldvale/store"
)

// A packed message must be decoded to what was encoded, and a truncated or malformed one
// must be rejected.
func TestMessagesRoundTrip(t *testing.T) {
	var l []store.Item
	for i := range 100 {
		l = append(l, store.Item{Key: fmt.Sprint("key", i), Value: make([]byte, 200), Revision: int64(i)})
	}
	p, err := pack(l)
	if err != nil || len(p) > 4<<10 {
		t.Fatalf("packed into %d bytes, want at most 4096; error %v", len(p), err)
	}
	b, err := encode(message{Answer: &answer{ID: 7, Revision: 9}}, p)
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(b)
	if err != nil || len(m.Answer.Items) != 100 || m.Answer.Items[99].Key != "key99" || m.Answer.ID != 7 {
		t.Fatalf("decoded %v, error %v, want id 7 and 100 items", m.Answer, err)
	}
	for _, x := range [][]byte{nil, {kindPacked, 1, 2}, {kindPacked, 0, 0, 0, 9, 1}, append([]byte{kindPacked, 0, 0, 0, 2, '{', '}'}, p...), {kindPlain}, {9}, b[:len(b)-3]} {
		if _, err := decode(x); err == nil {
			t.Errorf("%v was decoded, want an error", x)
		}
	}
}

// Chunks must be joined in any order, with duplicates, and with those of several messages
// interleaved.
func TestChunksAreJoined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p reassembler
		want := map[string]bool{}
		var all [][]byte
		for id := range rapid.IntRange(1, 4).Draw(t, "messages") {
			b := []byte{kindPlain}
			for len(b) < rapid.IntRange(1, 5*chunkSize).Draw(t, "size") {
				b = append(b, byte(id), byte(len(b)>>8), byte(len(b)))
			}
			l, err := split(uint64(id), b)
			if err != nil {
				t.Fatal(err)
			}
			want[string(b)] = true
			all = append(all, l...)
			if len(l) > 1 {
				all = append(all, l[0])
			}
		}
		for _, i := range rapid.Permutation(indexes(len(all))).Draw(t, "order") {
			m, err := p.join("a", all[i])
			if err != nil {
				t.Fatal(err)
			}
			if m != nil {
				if _, ok := want[string(m)]; !ok {
					t.Fatalf("joined a message of %d bytes that was never sent", len(m))
				}
				want[string(m)] = false
			}
		}
		for m, missing := range want {
			if missing {
				t.Errorf("a message of %d bytes was not joined", len(m))
			}
		}
	})
}

func indexes(n int) []int {
	l := make([]int, n)
	for i := range l {
		l[i] = i
	}
	return l
}
