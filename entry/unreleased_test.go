package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/bill"
	"fieldvale/peer"
)

// bookHolder is a holder whose first answers to releases are lost.
type bookHolder struct {
	book *bill.Book
	lose int
}

func (h *bookHolder) Hold(_ context.Context, _ peer.Member, r bill.Record) (bill.Word, error) {
	return h.book.Hold(r, time.Now()), nil
}

func (h *bookHolder) Release(_ context.Context, _ peer.Member, r bill.Record) error {
	if h.lose > 0 {
		h.lose--
		return errors.New("no answer in time")
	}
	h.book.Release(r)
	return nil
}

// A caller repeats a request elsewhere while its first instance dies. The
// second instance finds its own bill to be the repeat and can't tell the holder
// at once; the first one's bill is counted all the same.
func TestARepeatIsReleasedUntilItsHolderHears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		line := bill.Line{Team: "t", Customer: "c"}
		h := &bookHolder{book: bill.NewBook(), lose: 2}
		h.book.Hold(bill.Record{RequestID: "q", Owner: "b/1", Seq: 1, Line: line}, time.Now())
		v := NewCurrent()
		v.Put(NewView(nil, nil, []peer.Member{{ID: "a"}, {ID: "c"}}, nil))
		b := NewBiller(h, v, "a", "a/1")
		b.Bill("q", line, bill.Amount{Requests: 1})
		if n := b.Ledger().Total().Requests; n != 0 {
			t.Errorf("the repeat is billed %d times at its own instance", n)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := b.Run(ctx); err != nil {
			t.Error(err)
		}
		l := h.book.Held()["b/1"]
		if len(l) != 1 || l[0].Beaten {
			t.Errorf("the holder has %+v for the first instance, want one that is to be counted", l)
		}
	})
}
