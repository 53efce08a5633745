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

// A whole that another instance has is no newer than what was known: the store has to be read.
func TestHistoryDroppedWhileWatchersAreTurnedAway(t *testing.T) {
	for _, c := range []struct {
		fleet  int
		silent bool
	}{{3, false}, {6, false}, {6, true}, {30, true}, {82, false}} {
		t.Run(fmt.Sprintf("%d silent=%t", c.fleet, c.silent), func(t *testing.T) {
			withFleet(t, c.fleet, func(t *testing.T, f *fleet, s *fakeStore) {
				away := Watchers(f.members())
				f.turnAway(away, c.silent)
				s.compact()
				time.Sleep(2 * time.Second)
				r := s.put("a", "2")
				time.Sleep(2 * time.Second)
				f.know(t, r, away)
			})
		})
	}
}

// Watching instances ask others where the store turns them away, as they start and as history is gone.
func TestWatchersThatTheStoreTurnsAwayAreTold(t *testing.T) {
	for _, c := range []struct {
		name   string
		befall func(f *fleet, s *fakeStore)
	}{
		{"as they start", func(f *fleet, _ *fakeStore) { f.restart(Watchers(f.members())...) }},
		{"after history", func(_ *fleet, s *fakeStore) { s.compact() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 6, func(t *testing.T, f *fleet, s *fakeStore) {
				f.turnAway(Watchers(f.members()), false)
				c.befall(f, s)
				time.Sleep(5 * time.Second)
				r := s.put("a", "2")
				time.Sleep(2 * time.Second)
				f.know(t, r, nil)
			})
		})
	}
}

// turnAway has the store turn the instances away.
func (f *fleet) turnAway(m []peer.Member, silent bool) {
	for _, x := range m {
		f.away[x.ID].silent = silent
		f.away[x.ID].set(true)
	}
}

// know checks that all instances but those turned away know the revision, and are in touch.
func (f *fleet) know(t *testing.T, revision int64, away []peer.Member) {
	t.Helper()
	out := map[string]bool{}
	for _, m := range away {
		out[m.ID] = true
	}
	for id, on := range f.on {
		if got, confirmed, _ := on.state(); !out[id] && (got < revision || time.Since(confirmed) > times.MaxAge+times.StoreWait) {
			t.Errorf("%s is at revision %d of %d, confirmed %s ago", id, got, revision, time.Since(confirmed))
		}
	}
}

// It is neither offered to one that knows as much, nor taken where it is offered all the same.
func TestAWholeThatIsNoNewerIsNotTaken(t *testing.T) {
	items, err := pack([]store.Item{{Key: "a", Revision: 7}})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		asked, fetched int64
		want           status
		err            error
	}{
		{nothing, 7, forgotten, errOlder}, {6, 7, forgotten, errOlder}, {7, 8, lostTouch, nil}, {8, 6, lostTouch, errOlder},
	} {
		b, err := encode(message{Answer: &answer{All: true, Revision: c.fetched}}, items)
		if err != nil {
			t.Fatal(err)
		}
		l := NewChangeLog()
		if err := l.Reset([]store.Item{{Key: "a", Revision: 7}}, 7); err != nil {
			t.Fatal(err)
		}
		l.Confirm(now)
		n := NewNode(peer.Member{ID: "n"}, 1, Ports{ChangeLog: l, Fetcher: slowTransfer{b, 0, &now}, Clock: func() time.Time { return now }, Event: func(string, ...any) {}}, times)
		if g := n.wholeStatus(c.asked); g != c.want {
			t.Errorf("one that knows %d is told %d, want %d", c.asked, g, c.want)
		}
		if _, err := n.fetch(t.Context(), "x", nothing); !errors.Is(err, c.err) {
			t.Errorf("a whole at %d was fetched where 7 is known: %v, want %v", c.fetched, err, c.err)
		}
	}
}

// Where all others have been silent, these are asked again.
func TestSilentOnesAreAskedWhereNobodyElseIsLeft(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	n := NewNode(peer.Member{ID: "a"}, 1, Ports{ChangeLog: NewChangeLog(), Clock: func() time.Time { return now }, Event: func(string, ...any) {}}, times)
	m := []peer.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	n.SetMembers(m)
	for _, x := range m[1:] {
		n.passSilent(x)
		n.passSilent(x)
	}
	if before, rest, _ := n.sources(); len(before) != 0 || len(rest) != 2 {
		t.Errorf("%v are asked first, %v last, want both others last", before, rest)
	}
}

// fullLink is the way to an instance whose link has room at the second question for its news.
type fullLink struct {
	n     *Node
	asked *int
}

func (f fullLink) Send(_ string, b []byte) error {
	m, err := decode(b)
	if err != nil {
		return err
	}
	a := answer{ID: m.Question.ID, Status: known, Revision: 2}
	if !m.Question.Peek {
		*f.asked++
		a.Status, a.Items = busy, nil
		if *f.asked > 1 {
			a.Status, a.Items = known, []store.Item{{Key: "a", Revision: 2}}
		}
	}
	f.n.waiting.Deliver(a.ID, a)
	return nil
}

// One whose link is full has not lost its way to the store: it is asked again.
func TestAFullLinkIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		n := NewNode(peer.Member{ID: "n"}, 1, Ports{ChangeLog: NewChangeLog(), Clock: time.Now, Event: func(string, ...any) {}}, times)
		n.net = fullLink{n, &asked}
		c, s := n.follow(t.Context(), []peer.Member{{ID: "a", Addr: "a"}, {ID: "b", Addr: "b"}}, 1)
		if s != known || len(c.Items) != 1 || n.sourceLost {
			t.Errorf("status %d with %d items, source lost %t", s, len(c.Items), n.sourceLost)
		}
	})
}

// sentAnswers keeps the answers that are sent.
type sentAnswers struct{ l *[]answer }

func (s sentAnswers) Send(_ string, b []byte) error {
	m, err := decode(b)
	if err == nil {
		*s.l = append(*s.l, *m.Answer)
	}
	return err
}

// An answer for which the link has no room says so, and not that the store is lost.
func TestAnAnswerSaysThatTheLinkIsFull(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var sent []answer
	n := NewNode(peer.Member{ID: "n"}, 1, Ports{ChangeLog: NewChangeLog(), Net: sentAnswers{&sent}, Clock: func() time.Time { return now }, Event: func(string, ...any) {}}, times)
	n.linkFree = now.Add(time.Hour)
	n.reply("b", question{After: 1}, store.Changes{Items: []store.Item{{Key: "a", Revision: 2}}, Revision: 2}, known)
	if len(sent) != 1 || sent[0].Status != busy || sent[0].Revision != 2 {
		t.Errorf("sent %+v, want one answer that says busy", sent)
	}
}
