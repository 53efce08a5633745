package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldvale/store"
)

// Reset must record the items that are new in a snapshot, and the keys that are missing from
// it, as changes: followers would otherwise miss them after a compaction.
func TestResetRecordsDifferencesAsChanges(t *testing.T) {
	l := NewChangeLog()
	l.Reset([]store.Item{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, 3)
	l.Add([]store.Item{{Key: "c", Revision: 4}}, 4)
	l.SetHops(0)
	l.Confirm(time.Now())
	l.Reset([]store.Item{{Key: "a", Revision: 1}, {Key: "c", Revision: 7}, {Key: "d", Revision: 6}}, 9)
	c, _, s := l.since(3, maxHopsRegistered, time.Now())
	got := map[string]string{}
	for _, i := range c.Items {
		got[i.Key] = fmt.Sprint(i.Revision, i.Deleted)
	}
	want := map[string]string{"b": "9 true", "c": "7 false", "d": "6 false"}
	if d := cmp.Diff(want, got); d != "" || s != statusOK || c.Revision != 9 {
		t.Errorf("status %d, want 0; revision %d, want 9; changes: %s", s, c.Revision, d)
	}
}

// The log must stay within its bounds, whatever is written; a follower that is too far
// behind has to fetch a snapshot.
func TestChangeLogIsBounded(t *testing.T) {
	l := NewChangeLog()
	l.Reset(nil, 0)
	for i := range int64(2000) {
		l.Add([]store.Item{{Key: "config", Value: make([]byte, 400_000), Revision: 2*i + 1}, {Key: fmt.Sprint(i), Value: make([]byte, 10_000), Revision: 2*i + 2}}, 2*i+2)
	}
	n := 0
	for _, i := range l.recent {
		n += len(i.Value)
	}
	if n > maxLogBytes || len(l.recent) > max(minLogItems, l.snapshot.len()) {
		t.Errorf("the log has %d bytes in %d items, want it within its bounds", n, len(l.recent))
	}
	l.SetHops(0)
	l.Confirm(time.Now())
	if _, _, s := l.since(10, maxHopsRegistered, time.Now()); s != statusFetchSnapshot {
		t.Errorf("status for a follower far behind is %d, want %d", s, statusFetchSnapshot)
	}
	if c, _, s := l.since(4000, maxHopsRegistered, time.Now()); s != statusOK || len(c.Items) != 0 {
		t.Errorf("status for a follower that is up to date is %d with %d items, want 0 without items", s, len(c.Items))
	}
}

// A log must keep the entries of thousands of replicas in a small part of their size, both
// read from the store and fetched in packed form, and return all of them with the changes
// since.
func TestChangeLogKeepsSnapshotPacked(t *testing.T) {
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
			l.setFetched(packed, replicas)
		}
		if err := l.Reset(items, replicas); err != nil {
			t.Fatal(err)
		}
		if n := len(l.snapshot.packed); n > mostBytes*replicas || len(l.recent) > 0 {
			t.Errorf("the log keeps %d bytes and %d unpacked items of %d replicas, want at most 64 bytes a replica and no items", n, len(l.recent), replicas)
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
			got, err := l.snapshot.items()
			if err != nil {
				t.Fatal(err)
			}
			left := slices.DeleteFunc(slices.Clone(want), func(x store.Item) bool { return x.Deleted })
			if !slices.EqualFunc(left, got, func(a, b store.Item) bool {
				return a.Key == b.Key && string(a.Value) == string(b.Value) && a.Revision == b.Revision
			}) {
				t.Fatalf("after %d changes the snapshot has %d items, want %d, or an item differs", i+1, len(got), len(left))
			}
		}
	}
}
