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

// feed answers with one burst of changes, then with none.
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

// lateFeed brings one change at the end of the first wait for changes, and then
// nothing; it notes for how long it was to wait.
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

// confirmations notes how old what is known gets.
type confirmations struct {
	at     time.Time
	oldest time.Duration
}

func (c *confirmations) Changed(mirror.Update) {}
func (c *confirmations) Disconnected(error)    {}
func (c *confirmations) Reconnected()          {}

func (c *confirmations) Confirmed(asOf time.Time) {
	if !c.at.IsZero() {
		c.oldest = max(c.oldest, time.Since(c.at))
	}
	c.at = asOf
}

// What is known never gets much older than one wait, also after an answer that
// brought a change late and so proved nothing later than its question.
func TestKnowledgeAgesByOneWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = time.Second
		f, c := &lateFeed{}, &confirmations{}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := mirror.New(f, "", wait, time.Now, c).Run(ctx); err != nil {
			t.Error(err)
		}
		if c.oldest > wait*5/4 {
			t.Errorf("what was known got %s old with waits of %s", c.oldest, f.waits)
		}
	})
}

// updates notes what it is told.
type updates struct {
	c chan mirror.Update
}

func (u updates) Changed(x mirror.Update) { u.c <- x }
func (u updates) Confirmed(time.Time)     {}
func (u updates) Disconnected(error)      {}
func (u updates) Reconnected()            {}

// A key that goes and comes back in one answer is there, one that comes and
// goes is not.
func TestTheNewestItemOfAKeyCounts(t *testing.T) {
	f := &feed{changes: []store.Item{
		{Key: "back", Revision: 4, Deleted: true},
		{Key: "gone", Revision: 5, Value: []byte("x")},
		{Key: "back", Revision: 6, Value: []byte("y")},
		{Key: "gone", Revision: 7, Deleted: true},
	}}
	u := updates{make(chan mirror.Update, 2)}
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

// agingFeed fails once, then brings changes that are as old as its ages say, one after the other.
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

// touch notes after how many changes the store was regained.
type touch struct {
	changes, lost int
	regained      []int
}

func (t *touch) Changed(u mirror.Update) {
	if !u.Snapshot {
		t.changes++
	}
}
func (t *touch) Confirmed(time.Time) {}
func (t *touch) Disconnected(error)  { t.lost++ }
func (t *touch) Reconnected()        { t.regained = append(t.regained, t.changes) }

// Old news is no touch with the store.
func TestOldNewsIsNoTouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, on := &agingFeed{ages: []time.Duration{9 * time.Second, 3 * time.Second, 100 * time.Millisecond}}, &touch{}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := mirror.New(f, "", time.Second, time.Now, on).Run(ctx); err != nil {
			t.Error(err)
		}
		if d := cmp.Diff([]int{3}, on.regained); d != "" || on.lost != 1 {
			t.Errorf("lost %d times, regained after so many changes: %s", on.lost, d)
		}
	})
}
