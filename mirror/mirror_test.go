package mirror_test

import (
	"context"
	"testing"
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

// updates notes what it is told.
type updates struct {
	c chan mirror.Update
}

func (u updates) Changed(x mirror.Update) { u.c <- x }
func (u updates) Confirmed(time.Time)     {}
func (u updates) Lost(error)              {}
func (u updates) Regained()               {}

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
