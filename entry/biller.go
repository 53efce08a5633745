package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fieldvale/bill"
	"fieldvale/peer"
)

// holdTimeout bounds how long a caller waits for its bill to be held.
const holdTimeout = 250 * time.Millisecond

// Biller counts the entry's bills and has each held at other instances.
type Biller struct {
	holder Holder
	view   *Current
	self   string

	mu     sync.Mutex
	seq    uint64
	ledger bill.Ledger
	// Alone counts the bills that no other instance held in time; Repeats
	// those found to be billed before.
	Alone   atomic.Uint64
	Repeats atomic.Uint64
}

// NewBiller returns a biller for the incarnation of the instance self.
func NewBiller(h Holder, v *Current, self, incarnation string) *Biller {
	return &Biller{holder: h, view: v, self: self, ledger: bill.NewLedger(incarnation)}
}

// Ledger returns what is counted so far.
func (b *Biller) Ledger() bill.Ledger {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger
}

// Bill counts one request and returns once another instance holds the
// record, or after holdTimeout. It runs on past the caller's own context:
// work that was done is billed.
func (b *Biller) Bill(id string, l bill.Line, a bill.Amount) {
	r := b.record(id, l, a)
	h := peer.Holders(id, b.view.Get().Members)
	v, n := b.hold(h, r)
	if n == 0 {
		b.Alone.Add(1)
	}
	if v == bill.Repeat {
		b.Repeats.Add(1)
		b.settle(func(l bill.Ledger) bill.Ledger { return l.WithVoid(r.Seq) })
		b.release(h, r)
		return
	}
	b.settle(func(l bill.Ledger) bill.Ledger { return l.With(r) })
}

func (b *Biller) record(id string, l bill.Line, a bill.Amount) bill.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	return bill.Record{RequestID: id, Owner: b.ledger.Owner, Seq: b.seq, Line: l, Add: a}
}

func (b *Biller) settle(f func(bill.Ledger) bill.Ledger) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger = f(b.ledger)
}

// hold offers the record to the holders at once. The word of the first-ranked
// one that answered counts; n is how many other instances hold it.
func (b *Biller) hold(h []peer.Member, r bill.Record) (v bill.Verdict, n int) {
	x, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	e := make([]error, len(h))
	w := make([]bill.Verdict, len(h))
	var g sync.WaitGroup
	for i := range h {
		g.Go(func() { w[i], e[i] = b.holder.Hold(x, h[i], r) })
	}
	g.Wait()
	v = bill.First
	for i := len(h) - 1; i >= 0; i-- {
		if e[i] != nil {
			continue
		}
		v = w[i]
		if h[i].ID != b.self {
			n++
		}
	}
	return v, n
}

func (b *Biller) release(h []peer.Member, r bill.Record) {
	x, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	for _, m := range h {
		// A holder that can't be told keeps a record that the ledger has as
		// void; it is dropped when the ledger is flushed.
		_ = b.holder.Release(x, m, r)
	}
}
