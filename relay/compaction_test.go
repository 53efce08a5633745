package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/peer"
	"fieldvale/store"
)

// The store refuses the watchers and compacts its history. The snapshots that other
// instances have are no newer than the compacted revision, so the store has to be read.
func TestCompactionWhileStoreRefusesWatchers(t *testing.T) {
	for _, c := range []struct {
		fleet  int
		silent bool
	}{{3, false}, {6, false}, {6, true}, {30, true}, {82, false}} {
		t.Run(fmt.Sprintf("%d silent=%t", c.fleet, c.silent), func(t *testing.T) {
			withFleet(t, c.fleet, func(t *testing.T, f *fleet, s *fakeStore) {
				refused := Watchers(f.members())
				f.refuse(refused, c.silent)
				s.compact()
				time.Sleep(2 * time.Second)
				r := s.put("a", "2")
				time.Sleep(2 * time.Second)
				f.wantState(t, r, refused)
			})
		})
	}
}

// A watcher that the store refuses must fetch a snapshot from other instances, as it starts
// and after the history was compacted.
func TestRefusedWatchersFetchFromOthers(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(f *fleet, s *fakeStore)
	}{
		{"at their start", func(f *fleet, _ *fakeStore) { f.restart(Watchers(f.members())...) }},
		{"after a compaction", func(_ *fleet, s *fakeStore) { s.compact() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 6, func(t *testing.T, f *fleet, s *fakeStore) {
				f.refuse(Watchers(f.members()), false)
				c.fault(f, s)
				time.Sleep(5 * time.Second)
				r := s.put("a", "2")
				time.Sleep(2 * time.Second)
				f.wantState(t, r, nil)
			})
		})
	}
}

// refuse has the store refuse the instances, or not answer them if silent is set.
func (f *fleet) refuse(m []peer.Member, silent bool) {
	for _, x := range m {
		f.outages[x.ID].silent = silent
		f.outages[x.ID].set(true)
	}
}

// wantState fails unless all instances but the refused ones have the revision, confirmed
// recently.
func (f *fleet) wantState(t *testing.T, revision int64, refused []peer.Member) {
	t.Helper()
	excluded := map[string]bool{}
	for _, m := range refused {
		excluded[m.ID] = true
	}
	for id, listener := range f.listeners {
		if got, confirmed, _ := listener.state(); !excluded[id] && (got < revision || time.Since(confirmed) > testTiming.MaxAge+testTiming.StoreWait) {
			t.Errorf("%s is at revision %d, want at least %d; confirmed %s ago, want at most Timing.MaxAge plus StoreWait", id, got, revision, time.Since(confirmed))
		}
	}
}

// A snapshot that is no newer than the state of the receiver must be neither offered to it
// nor accepted by it: after the history was compacted it would have to read again at once.
func TestSnapshotMustBeNewer(t *testing.T) {
	items, err := pack([]store.Item{{Key: "a", Revision: 7}})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		queriedAfter, fetched int64
		want                  status
		err                   error
	}{
		{noRevision, 7, statusFetchSnapshot, errNotNewer}, {6, 7, statusFetchSnapshot, errNotNewer}, {7, 8, statusDisconnected, nil}, {8, 6, statusDisconnected, errNotNewer},
	} {
		b, err := encode(message{Answer: &answer{Snapshot: true, Revision: c.fetched}}, items)
		if err != nil {
			t.Fatal(err)
		}
		l := NewChangeLog()
		if err := l.Reset([]store.Item{{Key: "a", Revision: 7}}, 7); err != nil {
			t.Fatal(err)
		}
		l.Confirm(now)
		n := NewNode(peer.Member{ID: "n"}, 1, Ports{ChangeLog: l, Fetcher: slowFetcher{b, 0, &now}, Clock: func() time.Time { return now }, Event: func(string, ...any) {}}, testTiming)
		if g := n.snapshotStatus(c.queriedAfter); g != c.want {
			t.Errorf("snapshot status for an instance at revision %d is %d, want %d", c.queriedAfter, g, c.want)
		}
		if _, err := n.fetch(t.Context(), "x", noRevision); !errors.Is(err, c.err) {
			t.Errorf("fetch of a snapshot at revision %d with own state at 7: error %v, want %v", c.fetched, err, c.err)
		}
	}
}

// Where no member answered its last queries, they must be queried again nevertheless: this
// instance may have been the one that was cut off.
func TestSilentSourcesAreQueriedWhenNoOthersAreLeft(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	n := NewNode(peer.Member{ID: "a"}, 1, Ports{ChangeLog: NewChangeLog(), Clock: func() time.Time { return now }, Event: func(string, ...any) {}}, testTiming)
	m := []peer.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	n.SetMembers(m)
	for _, x := range m[1:] {
		n.avoidSilent(x)
		n.avoidSilent(x)
	}
	if primary, fallback, _ := n.sources(); len(primary) != 0 || len(fallback) != 2 {
		t.Errorf("primary sources %v, fallback sources %v, want none and both other members", primary, fallback)
	}
}

// busyLink is the transport to an instance whose link has capacity for the changes only at
// the second query for them.
type busyLink struct {
	n       *Node
	queries *int
}

func (f busyLink) Send(_ string, b []byte) error {
	m, err := decode(b)
	if err != nil {
		return err
	}
	a := answer{ID: m.Query.ID, Status: statusOK, Revision: 2}
	if !m.Query.Peek {
		*f.queries++
		a.Status, a.Items = statusBusy, nil
		if *f.queries > 1 {
			a.Status, a.Items = statusOK, []store.Item{{Key: "a", Revision: 2}}
		}
	}
	f.n.pending.Deliver(a.ID, a)
	return nil
}

// An instance whose link has no capacity is not disconnected: it must be queried again
// instead of the store.
func TestBusySourceIsQueriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queries := 0
		n := NewNode(peer.Member{ID: "n"}, 1, Ports{ChangeLog: NewChangeLog(), Clock: time.Now, Event: func(string, ...any) {}}, testTiming)
		n.net = busyLink{n, &queries}
		c, s := n.follow(t.Context(), []peer.Member{{ID: "a", Addr: "a"}, {ID: "b", Addr: "b"}}, 1)
		if s != statusOK || len(c.Items) != 1 || n.sourceDisconnected {
			t.Errorf("status %d, want 0; %d items, want 1; source disconnected %t, want false", s, len(c.Items), n.sourceDisconnected)
		}
	})
}

// sentAnswers is a transport that records the answers sent.
type sentAnswers struct{ l *[]answer }

func (s sentAnswers) Send(_ string, b []byte) error {
	m, err := decode(b)
	if err == nil {
		*s.l = append(*s.l, *m.Answer)
	}
	return err
}

// An answer for which the link has no capacity must have statusBusy, not
// statusDisconnected, which would send the followers to the store.
func TestAnswerReportsBusyLink(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var sent []answer
	n := NewNode(peer.Member{ID: "n"}, 1, Ports{ChangeLog: NewChangeLog(), Net: sentAnswers{&sent}, Clock: func() time.Time { return now }, Event: func(string, ...any) {}}, testTiming)
	n.linkFreeAt = now.Add(time.Hour)
	n.reply("b", query{After: 1}, store.Changes{Items: []store.Item{{Key: "a", Revision: 2}}, Revision: 2}, statusOK)
	if len(sent) != 1 || sent[0].Status != statusBusy || sent[0].Revision != 2 {
		t.Errorf("sent %+v, want one answer with statusBusy and revision 2", sent)
	}
}
