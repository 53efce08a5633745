package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fieldvale/mirror"
	"fieldvale/peer"
	"fieldvale/store"
)

// slowSources are instances that are slow to answer: one that waits for a change has lost the store meanwhile, and the
// others' answers take long to arrive.
type slowSources struct {
	mu   sync.Mutex
	node *Node
	// answeredAt is the latest moment at which one of them answered with its state.
	answeredAt time.Time
}

func (s *slowSources) Send(to string, b []byte) error {
	m, err := decode(b)
	if err != nil || m.Query == nil {
		return err
	}
	a, delay := answer{ID: m.Query.ID, Status: statusDisconnected}, 100*time.Millisecond
	if m.Query.Peek {
		s.mu.Lock()
		s.answeredAt = time.Now()
		s.mu.Unlock()
		a, delay = answer{ID: m.Query.ID, Status: statusOK, Revision: 1}, 250*time.Millisecond
	}
	r, err := encode(message{Answer: &a}, nil)
	if err != nil {
		return err
	}
	time.AfterFunc(delay, func() { s.node.Receive(to, r) })
	return nil
}

// lostStore is a store that is not reached after its first read.
type lostStore struct{ *Node }

func (lostStore) Read(context.Context, string, string) (store.Page, error) {
	return store.Page{Revision: 1}, nil
}

// Guards against a configuration that counts as confirmed at a moment after that of the answer which confirms it:
// instances then deny requests that a newer one allows.
func TestAnswerConfirmsNoMomentAfterItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		s, l := &slowSources{}, &recorder{}
		s.node = NewNode(peer.Member{ID: "self", Addr: "self"}, 1, Ports{ChangeLog: NewChangeLog(), Store: &fakeStore{}, Net: s, Clock: time.Now, Event: func(string, ...any) {}}, testTiming)
		s.node.SetMembers([]peer.Member{{ID: "a", Addr: "a"}, {ID: "b", Addr: "b"}, {ID: "c", Addr: "c"}})
		var g sync.WaitGroup
		g.Go(func() { _ = mirror.New(lostStore{s.node}, "", testTiming.StoreWait, time.Now, l).Run(ctx) })
		confirmations := 0
		var last time.Time
		for ctx.Err() == nil {
			time.Sleep(time.Millisecond)
			_, confirmed, _ := l.state()
			s.mu.Lock()
			answered := s.answeredAt
			s.mu.Unlock()
			if confirmed.Equal(last) || answered.IsZero() {
				continue
			}
			last = confirmed
			confirmations++
			if d := confirmed.Sub(answered); d > 0 {
				t.Fatalf("confirmed for a moment %s after the last answer", d)
			}
		}
		if confirmations < 3 {
			t.Errorf("%d confirmations by other instances, want some", confirmations)
		}
		g.Wait()
		time.Sleep(time.Second)
	})
}
