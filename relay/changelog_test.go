package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldvale/store"
)

func TestLogTellsWhatAWholeReadShows(t *testing.T) {
	l := NewChangeLog()
	l.Reset([]store.Item{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, 3)
	l.Add([]store.Item{{Key: "c", Revision: 4}}, 4)
	l.SetHops(0)
	l.Confirm(time.Now())
	l.Reset([]store.Item{{Key: "a", Revision: 1}, {Key: "c", Revision: 7}, {Key: "d", Revision: 6}}, 9)
	c, _, s := l.since(3, hopsToListed, time.Now())
	got := map[string]string{}
	for _, i := range c.Items {
		got[i.Key] = fmt.Sprint(i.Revision, i.Deleted)
	}
	want := map[string]string{"b": "9 true", "c": "7 false", "d": "6 false"}
	if d := cmp.Diff(want, got); d != "" || s != known || c.Revision != 9 {
		t.Errorf("status %d, revision %d: %s", s, c.Revision, d)
	}
}

// The log keeps a bounded size, whatever is written.
func TestLogIsBounded(t *testing.T) {
	l := NewChangeLog()
	l.Reset(nil, 0)
	for i := range int64(2000) {
		l.Add([]store.Item{{Key: "config", Value: make([]byte, 400_000), Revision: 2*i + 1}, {Key: fmt.Sprint(i), Value: make([]byte, 10_000), Revision: 2*i + 2}}, 2*i+2)
	}
	n := 0
	for _, i := range l.items {
		n += len(i.Value)
	}
	if n > maxLogBytes || len(l.items) > max(leastLog, l.content.len()) {
		t.Errorf("%d bytes in %d items", n, len(l.items))
	}
	l.SetHops(0)
	l.Confirm(time.Now())
	if _, _, s := l.since(10, hopsToListed, time.Now()); s != forgotten {
		t.Errorf("a follower far behind is told %d, want %d", s, forgotten)
	}
	if c, _, s := l.since(4000, hopsToListed, time.Now()); s != known || len(c.Items) != 0 {
		t.Errorf("a follower that is up to date is told %d with %d items", s, len(c.Items))
	}
}

// What a log keeps of thousands of replicas' entries is a small part of them, whether it was read at the
// store or fetched packed, and it tells all of them, with what has changed since.
func TestLogKeepsTheWholePacked(t *testing.T) {
	const replicas, mostBytes = 5_000, 64
	var items []store.Item
	for i := range replicas {
		v := fmt.Sprintf(`{"service":"svc%d","address":"10.0.%d.%d:8144","zone":"z%d","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"seq":1}`, i%4, i/250, i%250, i%9)
		items = append(items, store.Item{Key: fmt.Sprintf("servers/i-%06d", i), Value: []byte(v), Revision: int64(i + 1)})
	}
	packed, err := pack(items)
	if err != nil {
		t.Fatal(err)
	}
	for _, isFetched := range []bool{false, true} {
		l := NewChangeLog()
		if isFetched {
			l.fetch(packed, replicas)
		}
		if err := l.Reset(items, replicas); err != nil {
			t.Fatal(err)
		}
		if n := len(l.content.packed); n > mostBytes*replicas || len(l.items) > 0 {
			t.Errorf("%d bytes and %d items are kept of %d replicas", n, len(l.items), replicas)
		}
		want := slices.Clone(items)
		for i := range replicas {
			x := store.Item{Key: items[i].Key, Value: []byte("new"), Revision: int64(replicas + i + 1)}
			if i%2 == 0 {
				x.Value, x.Deleted = nil, true
			}
			want[i] = x
			if err := l.Add([]store.Item{x}, x.Revision); err != nil {
				t.Fatal(err)
			}
			if i%1700 != 0 && i < replicas-1 {
				continue
			}
			got, err := l.content.items()
			if err != nil {
				t.Fatal(err)
			}
			left := slices.DeleteFunc(slices.Clone(want), func(x store.Item) bool { return x.Deleted })
			if !slices.EqualFunc(left, got, func(a, b store.Item) bool {
				return a.Key == b.Key && string(a.Value) == string(b.Value) && a.Revision == b.Revision
			}) {
				t.Fatalf("after %d changes %d items are told, want %d", i+1, len(got), len(left))
			}
		}
	}
}
