// Package biller records an entry's bills and replicates each to other instances, so
// that a request that a caller retried at another instance is billed once.
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
	// holdTimeout bounds how long a caller waits until its bill is held.
	holdTimeout = 250 * time.Millisecond
	// offerInterval is the interval between offers of the records that no other
	// instance holds yet.
	offerInterval = 250 * time.Millisecond
	// singleInstanceDelay is how long an instance that has never seen another
	// one keeps a record pending before it counts the record without a holder.
	singleInstanceDelay = 15 * time.Second
	// spareBatchSize is how many spare holders are called in parallel.
	spareBatchSize = 2
	// maxPending bounds the pending records, and the pending releases.
	maxPending = 100_000
)

// HolderClient is a client that stores and deletes bill records at the instance m.
type HolderClient interface {
	Hold(ctx context.Context, m peer.Member, r bill.Record) (bill.HoldResult, error)
	Release(ctx context.Context, m peer.Member, r bill.Record) error
}

// Biller adds the entry's bills to its ledger and replicates each to other
// instances. A record is counted once another instance has confirmed that it is
// the first for its request. While no other instance can be reached, records are
// pending, because an isolated instance can't determine whether the caller has
// retried the request at another one.
type Biller struct {
	holder HolderClient
	// members returns the live instances of the fleet.
	members func() []peer.Member
	self    string

	// offerSlot is a semaphore for offering the pending records, which are taken
	// out of the list for that time.
	offerSlot chan struct{}

	mu      sync.Mutex
	seq     uint64
	ledger  bill.Ledger
	pending []pendingRecord
	// pendingReleases are releases of duplicates that have failed at a holder.
	pendingReleases []pendingRelease
	// seenPeer is set once the fleet has had another instance, which could hold
	// records.
	seenPeer bool
	// lastUnheldSeq is the number of the last record counted without a holder.
	lastUnheldSeq uint64
	// Unheld is the number of bills that no other instance held in time.
	Unheld atomic.Uint64
	// Duplicates is the number of bills found to be duplicates.
	Duplicates atomic.Uint64
	// Log is called for each record that no other instance held in time and for
	// each duplicate; it may be nil.
	Log func(event string, fields ...any)
}

// log passes the event with the record's ids to Log, if one is set.
func (b *Biller) log(event string, r bill.Record, fields ...any) {
	if b.Log != nil {
		b.Log(event, append([]any{"request", r.RequestID, "seq", r.Seq}, fields...)...)
	}
}

// pendingRecord is a record that no other instance holds yet.
type pendingRecord struct {
	record bill.Record
	// countUnheldAt is when the record is counted without a holder if the fleet
	// has never had another instance.
	countUnheldAt time.Time
	// expires is when the record is counted without a holder in any case, as no
	// instance keeps a request id for longer.
	expires time.Time
}

// isDue reports whether the record must be counted although no holder has confirmed
// it. peers says that the fleet has had another instance.
func (p pendingRecord) isDue(peers bool, now time.Time) bool {
	return !now.Before(p.expires) || !peers && !now.Before(p.countUnheldAt)
}

// New returns a biller for the entry incarnation on the instance self.
func New(h HolderClient, members func() []peer.Member, self, incarnation string) *Biller {
	return &Biller{holder: h, members: members, self: self, offerSlot: make(chan struct{}, 1), ledger: bill.NewLedger(incarnation)}
}

// Ledger returns the ledger of all records settled so far.
func (b *Biller) Ledger() bill.Ledger {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger
}

// LastUnheldSeq returns the number of the last counted record that no other instance
// holds. A planned stop must wait until the store has it.
func (b *Biller) LastUnheldSeq() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastUnheldSeq
}

// Pending returns the number of records that no other instance holds yet.
func (b *Biller) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

// Bill records the bill of one request. It returns once another instance holds the
// record, or after holdTimeout with the record pending. It doesn't use the
// caller's context: completed work is billed even if the caller has disconnected.
func (b *Biller) Bill(id string, l bill.Line, a bill.Amount) {
	r := b.record(id, l, a)
	if b.offer(context.Background(), r) {
		return
	}
	b.Unheld.Add(1)
	b.log("bill_pending", r)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) >= maxPending {
		b.countUnheld(b.pending[0].record)
		b.pending = b.pending[1:]
	}
	b.pending = append(b.pending, pendingRecord{record: r, countUnheldAt: time.Now().Add(singleInstanceDelay), expires: time.Now().Add(bill.DuplicateWindow)})
}

// record returns a record with the next number.
func (b *Biller) record(id string, l bill.Line, a bill.Amount) bill.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	return bill.Record{RequestID: id, Owner: b.ledger.Owner, Seq: b.seq, Line: l, Amount: a}
}

// offer sends the record to its holders, and to its spares in batches while no
// other instance has responded. If one did, offer settles the record as counted or
// as a duplicate and returns true.
func (b *Biller) offer(ctx context.Context, r bill.Record) bool {
	x, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	m := b.members()
	b.recordPeers(m)
	h, s := b.holders(r, m)
	w, n := b.holdAt(x, h, r)
	for n == 0 && len(s) > 0 && x.Err() == nil {
		k := min(spareBatchSize, len(s))
		more, m := b.holdAt(x, s[:k], r)
		w, n = append(w, more...), m
		h, s = append(h, s[:k]...), s[k:]
	}
	if n == 0 {
		return false
	}
	if !bill.IsDuplicate(r, w) {
		b.updateLedger(func(l bill.Ledger) bill.Ledger { return l.With(r) })
		return true
	}
	b.Duplicates.Add(1)
	b.log("bill_repeat", r, "first", bill.DuplicateOwners(w))
	b.updateLedger(func(l bill.Ledger) bill.Ledger { return l.WithDuplicate(r.Seq) })
	b.release(ctx, h, r)
	return true
}

// holders returns the instances that must hold the record, and the spares. An id
// that this entry generated can't be retried at another instance, so that the
// instance's own partners may hold its bill.
func (b *Biller) holders(r bill.Record, m []peer.Member) (hold, spare []peer.Member) {
	if !strings.HasPrefix(r.RequestID, GeneratedIDPrefix) {
		return peer.Holders(r.RequestID, m)
	}
	d := ""
	for _, x := range m {
		if x.ID == b.self {
			d = x.DataCentre
		}
	}
	return peer.PartnerHolders(b.self, d, m)
}

// GeneratedIDPrefix is the prefix of the ids that entries generate for requests without
// one.
const GeneratedIDPrefix = "fieldvale-"

// recordPeers notes whether m has an instance other than this one.
func (b *Biller) recordPeers(m []peer.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range m {
		b.seenPeer = b.seenPeer || x.ID != b.self
	}
}

// updateLedger replaces the ledger by the result of f.
func (b *Biller) updateLedger(f func(bill.Ledger) bill.Ledger) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger = f(b.ledger)
}

// holdAt sends the record to the holders in parallel and returns their results; n is
// the number of other instances that responded.
func (b *Biller) holdAt(x context.Context, h []peer.Member, r bill.Record) (w []bill.HoldResult, n int) {
	e := make([]error, len(h))
	all := make([]bill.HoldResult, len(h))
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

// Run periodically offers the pending records and retries failed releases, until
// ctx ends.
func (b *Biller) Run(ctx context.Context) error {
	t := time.NewTicker(offerInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			b.offerPending(ctx)
			b.retryReleases(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// offerPending offers the pending records in order until holders stop responding,
// and returns how many records are left.
func (b *Biller) offerPending(ctx context.Context) (left int) {
	b.offerSlot <- struct{}{}
	defer func() { <-b.offerSlot }()
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

// countIfDue counts the record without a holder if it is due, and reports whether
// it did.
func (b *Biller) countIfDue(p pendingRecord) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !p.isDue(b.seenPeer, time.Now()) {
		return false
	}
	b.countUnheld(p.record)
	return true
}

// hasPeers reports whether the fleet has ever had another instance.
func (b *Biller) hasPeers() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seenPeer
}

// countUnheld counts a record that no holder has confirmed. The caller must hold
// the mutex.
func (b *Biller) countUnheld(r bill.Record) {
	b.ledger = b.ledger.With(r)
	b.lastUnheldSeq = max(b.lastUnheldSeq, r.Seq)
}

// SettlePending settles the pending records before a planned stop: it offers them until
// holders have them or ctx ends, and counts the rest without a holder.
func (b *Biller) SettlePending(ctx context.Context) {
	for ctx.Err() == nil {
		if b.offerPending(ctx) == 0 || !b.hasPeers() {
			break
		}
		select {
		case <-time.After(offerInterval):
		case <-ctx.Done():
		}
	}
	b.offerSlot <- struct{}{}
	defer func() { <-b.offerSlot }()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pending {
		b.countUnheld(p.record)
	}
	b.pending = nil
}
