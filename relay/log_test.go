package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldvale/store"
)

func TestLogTellsWhatAWholeReadShows(t *testing.T) {
	l := NewLog()
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
	l := NewLog()
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
