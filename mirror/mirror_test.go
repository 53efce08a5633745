package mirror_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldvale/mirror"
	"fieldvale/store"
)

// feed returns one set of changes, then waits until the context ends.
type feed struct {
	changes []store.Item
}

func (f *feed) Read(context.Context, string, string) (store.Page, error) {
	return store.Page{Revision: 1}, nil
}

func (f *feed) Changes(ctx context.Context, _ string, after int64, _ time.Duration) (store.Changes, error) {
	if after == 1 {
		return store.Changes{Items: f.changes, Revision: 9}, nil
	}
	<-ctx.Done()
	return store.Changes{}, ctx.Err()
}

// lateFeed returns one change at the end of the first wait, and then none; it records the
// waits.
type lateFeed struct {
	waits []time.Duration
}

func (f *lateFeed) Read(context.Context, string, string) (store.Page, error) {
	return store.Page{Revision: 1}, nil
}

func (f *lateFeed) Changes(_ context.Context, _ string, after int64, wait time.Duration) (store.Changes, error) {
	time.Sleep(wait)
	f.waits = append(f.waits, wait)
	if after == 1 {
		return store.Changes{Items: []store.Item{{Key: "a", Revision: 2}}, Revision: 2}, nil
	}
	return store.Changes{Revision: after}, nil
}

// ageRecorder is a listener that records the greatest age that the confirmed state reaches.
type ageRecorder struct {
	at     time.Time
	oldest time.Duration
}

func (c *ageRecorder) Changed(mirror.Update) {}
func (c *ageRecorder) Disconnected(error)    {}
func (c *ageRecorder) Reconnected()          {}

func (c *ageRecorder) Confirmed(asOf time.Time) {
	if !c.at.IsZero() {
		c.oldest = max(c.oldest, time.Since(c.at))
	}
	c.at = asOf
}

// A change at the end of a wait confirms only the moment at which the call was sent. With a
// full next wait the state would be two waits old, too old for instances that follow.
func TestStateAgesByAtMostOneWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = time.Second
		f, c := &lateFeed{}, &ageRecorder{}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := mirror.New(f, "", wait, time.Now, c).Run(ctx); err != nil {
			t.Error(err)
		}
		if c.oldest > wait*5/4 {
			t.Errorf("the state got %s old with waits of %s, want at most 1.25 s", c.oldest, f.waits)
		}
	})
}

// updateChan is a listener that sends the updates to a channel.
type updateChan struct {
	c chan mirror.Update
}

func (u updateChan) Changed(x mirror.Update) { u.c <- x }
func (u updateChan) Confirmed(time.Time)     {}
func (u updateChan) Disconnected(error)      {}
func (u updateChan) Reconnected()            {}

// Only the last of several changes of a key in one answer may count: a key that is deleted
// and put again exists, and one that is put and deleted again does not.
func TestLastChangeOfAKeyCounts(t *testing.T) {
	f := &feed{changes: []store.Item{
		{Key: "back", Revision: 4, Deleted: true},
		{Key: "gone", Revision: 5, Value: []byte("x")},
		{Key: "back", Revision: 6, Value: []byte("y")},
		{Key: "gone", Revision: 7, Deleted: true},
	}}
	u := updateChan{make(chan mirror.Update, 2)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- mirror.New(f, "", time.Second, time.Now, u).Run(ctx) }()
	<-u.c
	got := (<-u.c).Items
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if d := cmp.Diff([]store.Item{f.changes[2], f.changes[3]}, got); d != "" {
		t.Error(d)
	}
}

// agingFeed fails once, then returns changes of the given ages, one after the other.
type agingFeed struct {
	failed bool
	ages   []time.Duration
}

func (f *agingFeed) Read(context.Context, string, string) (store.Page, error) {
	return store.Page{Revision: 1}, nil
}

func (f *agingFeed) Changes(ctx context.Context, _ string, after int64, _ time.Duration) (store.Changes, error) {
	if !f.failed {
		f.failed = true
		return store.Changes{}, store.ErrUnavailable
	}
	if len(f.ages) == 0 {
		<-ctx.Done()
		return store.Changes{}, ctx.Err()
	}
	a := f.ages[0]
	f.ages = f.ages[1:]
	return store.Changes{Items: []store.Item{{Key: "a", Revision: after + 1}}, Revision: after + 1, Age: a}, nil
}

// reconnectionRecorder is a listener that records the number of changes before each reconnection.
type reconnectionRecorder struct {
	changes, disconnected int
	reconnected           []int
}

func (t *reconnectionRecorder) Changed(u mirror.Update) {
	if !u.Snapshot {
		t.changes++
	}
}
func (t *reconnectionRecorder) Confirmed(time.Time) {}
func (t *reconnectionRecorder) Disconnected(error)  { t.disconnected++ }
func (t *reconnectionRecorder) Reconnected()        { t.reconnected = append(t.reconnected, t.changes) }

// Changes that arrive at an instance that is cut off may be old. They must not count as a
// reconnection.
func TestOldChangesAreNoReconnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, on := &agingFeed{ages: []time.Duration{9 * time.Second, 3 * time.Second, 100 * time.Millisecond}}, &reconnectionRecorder{}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := mirror.New(f, "", time.Second, time.Now, on).Run(ctx); err != nil {
			t.Error(err)
		}
		if d := cmp.Diff([]int{3}, on.reconnected); d != "" || on.disconnected != 1 {
			t.Errorf("disconnected %d times, want 1; number of changes before each reconnection: %s", on.disconnected, d)
		}
	})
}
