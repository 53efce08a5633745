// Package biller counts an entry's bills and has each held at other instances, so that a
// request that was repeated elsewhere is billed once.
package biller

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fieldvale/bill"
	"fieldvale/peer"
)

const (
	// holdTimeout bounds how long a caller waits for its bill to be held.
	holdTimeout = 250 * time.Millisecond
	// offerEvery is between offers of the records that nobody holds yet.
	offerEvery = 250 * time.Millisecond
	// aloneAfter is how long a fleet of one waits for another instance to
	// show before it counts its bills by itself.
	aloneAfter = 15 * time.Second
	// sparesAtOnce is how many spare holders are asked together.
	sparesAtOnce = 2
	// maxPending bounds those records.
	maxPending = 100_000
)

// Holder keeps bill records at another instance.
type Holder interface {
	Hold(ctx context.Context, m peer.Member, r bill.Record) (bill.Word, error)
	Release(ctx context.Context, m peer.Member, r bill.Record) error
}

// Biller counts the entry's bills and has each held at other instances. A
// record is counted once another instance has said that it is the first for
// its request. While no other instance is reached records are pending, for an
// instance that is cut off can't know whether its caller asked elsewhere.
type Biller struct {
	holder Holder
	// members returns the fleet's instances.
	members func() []peer.Member
	self    string

	// offering has a place for the one that offers pending records, which are
	// not in the list meanwhile.
	offering chan struct{}

	mu      sync.Mutex
	seq     uint64
	ledger  bill.Ledger
	pending []pendingRecord
	// unreleased are repeats of which a holder could not be told.
	unreleased []unreleased
	// peers is set once another instance was known: a fleet of one has
	// nobody to ask.
	peers bool
	// aloneUpto is the number of the last record counted without a holder.
	aloneUpto uint64
	// Alone counts the bills that no other instance held in time; Repeats
	// those found to be billed before.
	Alone   atomic.Uint64
	Repeats atomic.Uint64
	// Log is told of each record that no other instance held in time, and of each
	// found to be a repeat; it may be nil.
	Log func(event string, fields ...any)
}

func (b *Biller) log(event string, r bill.Record, fields ...any) {
	if b.Log != nil {
		b.Log(event, append([]any{"request", r.RequestID, "seq", r.Seq}, fields...)...)
	}
}

// pendingRecord is counted in any case once nobody could know its request.
type pendingRecord struct {
	record bill.Record
	// alone is when it is counted if no other instance was ever known.
	alone   time.Time
	expires time.Time
}

// due reports whether the record is to be counted without a holder's word.
func (p pendingRecord) due(peers bool, now time.Time) bool {
	return !now.Before(p.expires) || !peers && !now.Before(p.alone)
}

// New returns a biller for the incarnation of the instance self.
func New(h Holder, members func() []peer.Member, self, incarnation string) *Biller {
	return &Biller{holder: h, members: members, self: self, offering: make(chan struct{}, 1), ledger: bill.NewLedger(incarnation)}
}

// Ledger returns what is counted so far.
func (b *Biller) Ledger() bill.Ledger {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger
}

// AloneUpto is the number of the last counted record that no other instance
// holds: a planned stop must wait until the store has it.
func (b *Biller) AloneUpto() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.aloneUpto
}

// Pending is the number of records that no other instance has seen.
func (b *Biller) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

// Bill counts one request and returns once another instance holds the
// record, or after holdTimeout. It runs on past the caller's own context:
// work that was done is billed.
func (b *Biller) Bill(id string, l bill.Line, a bill.Amount) {
	r := b.record(id, l, a)
	if b.offer(context.Background(), r) {
		return
	}
	b.Alone.Add(1)
	b.log("bill_pending", r)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) >= maxPending {
		b.countAlone(b.pending[0].record)
		b.pending = b.pending[1:]
	}
	b.pending = append(b.pending, pendingRecord{record: r, alone: time.Now().Add(aloneAfter), expires: time.Now().Add(bill.Window)})
}

func (b *Biller) record(id string, l bill.Line, a bill.Amount) bill.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	return bill.Record{RequestID: id, Owner: b.ledger.Owner, Seq: b.seq, Line: l, Add: a}
}

// offer asks the record's holders and settles it if another instance
// answered. It reports whether one did. Spare holders are asked in pairs
// while none has.
func (b *Biller) offer(ctx context.Context, r bill.Record) bool {
	x, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	m := b.members()
	b.noteMembers(m)
	h, s := b.holders(r, m)
	w, n := b.hold(x, h, r)
	for n == 0 && len(s) > 0 && x.Err() == nil {
		k := min(sparesAtOnce, len(s))
		more, m := b.hold(x, s[:k], r)
		w, n = append(w, more...), m
		h, s = append(h, s[:k]...), s[k:]
	}
	if n == 0 {
		return false
	}
	if !bill.Void(r, w) {
		b.settle(func(l bill.Ledger) bill.Ledger { return l.With(r) })
		return true
	}
	b.Repeats.Add(1)
	b.log("bill_repeat", r, "first", bill.Owners(w))
	b.settle(func(l bill.Ledger) bill.Ledger { return l.WithVoid(r.Seq) })
	b.release(ctx, h, r)
	return true
}

// holders ranks the instances to ask. An id that this entry made itself can
// be asked again nowhere else, so any instance may hold its bill.
func (b *Biller) holders(r bill.Record, m []peer.Member) (hold, spare []peer.Member) {
	if !strings.HasPrefix(r.RequestID, MintedPrefix) {
		return peer.Holders(r.RequestID, m)
	}
	d := ""
	for _, x := range m {
		if x.ID == b.self {
			d = x.DataCentre
		}
	}
	return peer.NearHolders(b.self, d, m)
}

// MintedPrefix starts the ids of requests to which the caller gave none.
const MintedPrefix = "fieldvale-"

func (b *Biller) noteMembers(m []peer.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range m {
		b.peers = b.peers || x.ID != b.self
	}
}

func (b *Biller) settle(f func(bill.Ledger) bill.Ledger) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger = f(b.ledger)
}

// hold offers the record to the holders at once and returns their words; n is
// how many other instances answered.
func (b *Biller) hold(x context.Context, h []peer.Member, r bill.Record) (w []bill.Word, n int) {
	e := make([]error, len(h))
	all := make([]bill.Word, len(h))
	var g sync.WaitGroup
	for i := range h {
		g.Go(func() { all[i], e[i] = b.holder.Hold(x, h[i], r) })
	}
	g.Wait()
	for i := range h {
		if e[i] != nil {
			continue
		}
		w = append(w, all[i])
		if h[i].ID != b.self {
			n++
		}
	}
	return w, n
}

// Run is the duty that offers pending records again, and tells holders again
// which are repeats, until ctx ends.
func (b *Biller) Run(ctx context.Context) error {
	t := time.NewTicker(offerEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			b.offerPending(ctx)
			b.releaseAgain(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// offerPending goes through the pending records once, as far as there are
// holders that answer, and returns how many are left.
func (b *Biller) offerPending(ctx context.Context) (left int) {
	b.offering <- struct{}{}
	defer func() { <-b.offering }()
	b.mu.Lock()
	l := b.pending
	b.pending = nil
	b.mu.Unlock()
	var keep []pendingRecord
	for i, p := range l {
		if b.offer(ctx, p.record) {
			continue
		}
		if b.countIfDue(p) {
			continue
		}
		keep = append(keep, l[i:]...)
		break
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(keep, b.pending...)
	return len(b.pending)
}

func (b *Biller) countIfDue(p pendingRecord) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !p.due(b.peers, time.Now()) {
		return false
	}
	b.countAlone(p.record)
	return true
}

// hasPeers reports whether another instance was ever known.
func (b *Biller) hasPeers() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers
}

// countAlone counts a record without a holder's word.
func (b *Biller) countAlone(r bill.Record) {
	b.ledger = b.ledger.With(r)
	b.aloneUpto = max(b.aloneUpto, r.Seq)
}

// Settle ends the pending records before a planned stop: it offers them until
// they have holders or ctx ends, and counts what is left.
func (b *Biller) Settle(ctx context.Context) {
	for ctx.Err() == nil {
		if b.offerPending(ctx) == 0 || !b.hasPeers() {
			break
		}
		select {
		case <-time.After(offerEvery):
		case <-ctx.Done():
		}
	}
	b.offering <- struct{}{}
	defer func() { <-b.offering }()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pending {
		b.countAlone(p.record)
	}
	b.pending = nil
}
