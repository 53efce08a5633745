package relay

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"fieldvale/store"
)

func TestMessagesSurvivePacking(t *testing.T) {
	var l []store.Item
	for i := range 100 {
		l = append(l, store.Item{Key: fmt.Sprint("key", i), Value: make([]byte, 200), Revision: int64(i)})
	}
	p, err := pack(l)
	if err != nil || len(p) > 4<<10 {
		t.Fatalf("%d bytes, %v", len(p), err)
	}
	b, err := encode(message{Answer: &answer{ID: 7, Revision: 9}}, p)
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(b)
	if err != nil || len(m.Answer.Items) != 100 || m.Answer.Items[99].Key != "key99" || m.Answer.ID != 7 {
		t.Fatalf("%v, %v", m.Answer, err)
	}
	for _, x := range [][]byte{nil, {packed, 1, 2}, {packed, 0, 0, 0, 9, 1}, append([]byte{packed, 0, 0, 0, 2, '{', '}'}, p...), {plain}, {9}, b[:len(b)-3]} {
		if _, err := decode(x); err == nil {
			t.Errorf("%v was read", x)
		}
	}
}

// Pieces come in any order, some twice, those of several messages mixed.
func TestPiecesAreJoined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p pieces
		want := map[string]bool{}
		var all [][]byte
		for id := range rapid.IntRange(1, 4).Draw(t, "messages") {
			b := []byte{plain}
			for len(b) < rapid.IntRange(1, 5*pieceSize).Draw(t, "size") {
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
					t.Fatalf("a message of %d bytes was never sent", len(m))
				}
				want[string(m)] = false
			}
		}
		for m, missing := range want {
			if missing {
				t.Errorf("a message of %d bytes did not come", len(m))
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
