package biller

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/bill"
	"fieldvale/peer"
)

// lossyHolder is a holder whose first releases fail, as if no response arrived.
type lossyHolder struct {
	records *bill.HeldRecords
	// failReleases is how many more releases fail.
	failReleases int
}

func (h *lossyHolder) Hold(_ context.Context, _ peer.Member, r bill.Record) (bill.HoldResult, error) {
	return h.records.Hold(r, time.Now()), nil
}

func (h *lossyHolder) Release(_ context.Context, _ peer.Member, r bill.Record) error {
	if h.failReleases > 0 {
		h.failReleases--
		return errors.New("no response in time")
	}
	h.records.Release(r)
	return nil
}

// Guards against a request that is never billed. A caller retries a request at a
// second instance while the first one dies. The second instance finds its own bill
// to be the duplicate, but its first releases at the holder fail; it must retry
// them, so that the holder counts the first instance's bill.
func TestReleaseOfADuplicateIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		line := bill.Line{Team: "t", Customer: "c"}
		h := &lossyHolder{records: bill.NewHeldRecords(), failReleases: 2}
		h.records.Hold(bill.Record{RequestID: "q", Owner: "b/1", Seq: 1, Line: line}, time.Now())
		b := New(h, func() []peer.Member { return []peer.Member{{ID: "a"}, {ID: "c"}} }, "a", "a/1")
		b.Bill("q", line, bill.Amount{Requests: 1})
		if n := b.Ledger().Total().Requests; n != 0 {
			t.Errorf("got the duplicate billed %d times at its own instance, want 0", n)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := b.Run(ctx); err != nil {
			t.Error(err)
		}
		l := h.records.Held()["b/1"]
		if len(l) != 1 || l[0].Duplicate {
			t.Errorf("got records %+v of the first instance at the holder, want one that is not a duplicate", l)
		}
	})
}

// fleetHolder keeps the records of several holders by instance. The dead instance
// doesn't respond.
type fleetHolder struct {
	records map[string]*bill.HeldRecords
	dead    string
}

var errNoResponse = errors.New("no response")

func (b fleetHolder) Hold(_ context.Context, m peer.Member, r bill.Record) (bill.HoldResult, error) {
	if m.ID == b.dead {
		return bill.HoldResult{}, errNoResponse
	}
	return b.records[m.ID].Hold(r, time.Now()), nil
}

func (b fleetHolder) Release(_ context.Context, m peer.Member, r bill.Record) error {
	if m.ID == b.dead {
		return errNoResponse
	}
	b.records[m.ID].Release(r)
	return nil
}

// Guards against a request billed twice after its instance was killed: 1 of 80 runs of
// three instances, with one killed while it had requests in flight, billed 151 of 150
// requests. A probable cause, which fits the logs of that run but is not proven as
// parallel runs shared a key: the killed instance's record had reached a single holder;
// the entry of that holder ran the retry, but didn't check its own held records because
// two other instances ranked before it. It counted the request, and then counted the
// held record as well on behalf of the killed instance.
func TestRetryIsBilledOnceWhicheverHolderHasTheFirstRecord(t *testing.T) {
	line := bill.Line{Team: "t", Customer: "c"}
	for _, n := range []int{3, 4, 9} {
		var m []peer.Member
		for i := range n {
			m = append(m, peer.Member{ID: fmt.Sprint("i", i), DataCentre: fmt.Sprint("d", i%3)})
		}
		for i := range 40 {
			id := fmt.Sprint("request", i)
			hold, _ := peer.Holders(id, m)
			for _, only := range hold {
				if only.ID == "i0" {
					continue
				}
				synctest.Test(t, func(t *testing.T) {
					all := fleetHolder{records: map[string]*bill.HeldRecords{}, dead: "i0"}
					for _, x := range m {
						all.records[x.ID] = bill.NewHeldRecords()
					}
					all.records[only.ID].Hold(bill.Record{RequestID: id, Owner: "i0/1", Seq: 1, Line: line, Amount: bill.Amount{Requests: 1}}, time.Now())
					self := m[1+i%(n-1)].ID
					b := New(all, func() []peer.Member { return m }, self, self+"/1")
					b.Bill(id, line, bill.Amount{Requests: 1})
					counted := int(b.Ledger().Total().Requests)
					for _, h := range all.records[only.ID].Held()["i0/1"] {
						if !h.Duplicate {
							counted++
						}
					}
					if counted != 1 {
						t.Errorf("%d instances, %s held by %s, retried at %s: got it billed %d times, want once", n, id, only.ID, self, counted)
					}
				})
			}
		}
	}
}

// unreachableHolder is an unreachable holder whose calls fail after the given time.
type unreachableHolder time.Duration

func (h unreachableHolder) Hold(ctx context.Context, _ peer.Member, _ bill.Record) (bill.HoldResult, error) {
	time.Sleep(time.Duration(h))
	return bill.HoldResult{}, errNoResponse
}

func (h unreachableHolder) Release(context.Context, peer.Member, bill.Record) error {
	return errNoResponse
}

// Guards against a planned stop of an isolated instance that ends early and counts its
// records although there is time left to offer them. That happens if the stop finds
// the list of pending records empty while the background loop has taken them out to
// offer them.
func TestSettleOfAnIsolatedInstanceUsesAllItsTime(t *testing.T) {
	for i := range 8000 {
		synctest.Test(t, func(t *testing.T) {
			m := []peer.Member{{ID: "a"}, {ID: "b"}}
			b := New(unreachableHolder(time.Duration(1+i%200)*time.Millisecond), func() []peer.Member { return m }, "a", "a/1")
			x, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = b.Run(x) }()
			b.Bill("q", bill.Line{Team: "t", Customer: "c"}, bill.Amount{Requests: 1})
			end, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			b.SettlePending(end)
			if end.Err() == nil {
				t.Errorf("got an end before the deadline with %d requests counted, want offers until the deadline", b.Ledger().Total().Requests)
			}
		})
		if t.Failed() {
			t.Fatalf("failed in run %d", i)
		}
	}
}
