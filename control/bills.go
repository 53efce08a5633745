package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/codec"
	"fieldvale/bill"
	"fieldvale/peer"
	"fieldvale/store"
)

// flushState is one entry incarnation's ledger and how much of it the store has.
type flushState struct {
	ledger bill.Ledger
	// storedChanges is the change count of the ledger that the store has, and
	// storedUpto the number up to which the store has all records.
	storedChanges uint64
	storedUpto    uint64
	// lastUnheldSeq is the number of the last record that no peer holds.
	lastUnheldSeq uint64
	// verifyAt is when the stored ledger is read again even if nothing
	// changed: the store may have been restored from an older backup.
	verifyAt time.Time
}

// verifyEvery is the interval between checks of an unchanged ledger in the store.
const verifyEvery = 10 * time.Minute

// HoldRecords stores bill records r on behalf of other instances and returns one
// result per record. It also deletes the records in release, which their owner
// has found to be duplicates.
func (n *Node) HoldRecords(r []bill.Record, release []bill.Record) []bill.HoldResult {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.Clock()
	v := make([]bill.HoldResult, len(r))
	for i, x := range r {
		v[i] = n.heldBills.Hold(x, t)
	}
	for _, x := range release {
		n.heldBills.Release(x)
	}
	return v
}

// updateLedger stores the ledger that the entry reported, for the next flush. A
// ledger older than the stored one is ignored.
func (n *Node) updateLedger(l bill.Ledger, lastUnheldSeq uint64) {
	if l.Owner == "" {
		return
	}
	f, ok := n.ledgers[l.Owner]
	if !ok {
		f = &flushState{ledger: l}
		n.ledgers[l.Owner] = f
	}
	f.ledger = f.ledger.Latest(l)
	f.lastUnheldSeq = max(f.lastUnheldSeq, lastUnheldSeq)
}

// hasUnprotectedBills reports whether a ledger has bills that neither the store nor
// any other instance has, so that they would be lost with this instance.
func (n *Node) hasUnprotectedBills() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.ledgers {
		if f.lastUnheldSeq > f.storedUpto && f.storedChanges < f.ledger.Changes {
			return true
		}
	}
	return false
}

// entryStoredUpto returns the number up to which the store has all records of the
// running entry's ledger.
func (n *Node) entryStoredUpto() uint64 {
	f, ok := n.ledgers[n.entry.incarnation]
	if !ok {
		return 0
	}
	return f.storedUpto
}

// billKey returns the store key of the owner's ledger.
func billKey(owner string) string { return billPrefix + owner }

// flushLedgers writes the changed ledgers to the store, at most one write each,
// and drops fully written ledgers of former entry incarnations.
func (n *Node) flushLedgers(ctx context.Context) {
	for _, l := range n.unflushed() {
		if err := n.flush(ctx, l); err != nil {
			n.log("flush_failed", "owner", l.Owner, "error", err)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for o, f := range n.ledgers {
		if o != n.entry.incarnation && f.storedChanges == f.ledger.Changes {
			delete(n.ledgers, o)
		}
	}
	n.heldBills.Expire(n.Clock())
}

// unflushed returns the ledgers that have changes not yet written or are due for
// a check.
func (n *Node) unflushed() []bill.Ledger {
	n.mu.Lock()
	defer n.mu.Unlock()
	var r []bill.Ledger
	for _, f := range n.ledgers {
		if f.storedChanges < f.ledger.Changes || !n.Clock().Before(f.verifyAt) {
			r = append(r, f.ledger)
		}
	}
	return r
}

// flush writes the owner's ledger unless the stored one covers it already. A
// lost response does no harm: the next flush finds the write or repeats it.
func (n *Node) flush(ctx context.Context, l bill.Ledger) error {
	ok, err := n.mergeLedger(ctx, l.Owner, func(s bill.Ledger) (bill.Ledger, bool) {
		return l, !s.Covers(l)
	})
	if err != nil || !ok {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if f, ok := n.ledgers[l.Owner]; ok {
		f.storedChanges = max(f.storedChanges, l.Changes)
		f.storedUpto = max(f.storedUpto, l.SettledUpto)
		f.verifyAt = n.Clock().Add(verifyEvery)
	}
	return nil
}

// mergeLedger reads the owner's ledger from the store and passes it to f, which
// returns the new ledger and whether it must be written. The write fails if
// another instance has changed the ledger since. mergeLedger reports whether
// the store has the result.
func (n *Node) mergeLedger(ctx context.Context, owner string, f func(bill.Ledger) (bill.Ledger, bool)) (bool, error) {
	x, cancel := n.call(ctx)
	defer cancel()
	p, err := n.Store.Get(x, billKey(owner))
	if err != nil {
		return false, errors.Wrap(err, "control.mergeLedger")
	}
	s := bill.NewLedger(owner)
	if p.Version != 0 {
		if s, err = codec.DecodeLedger(p.Value); err != nil {
			return false, errors.Wrap(err, "control.mergeLedger")
		}
	}
	l, need := f(s)
	if !need {
		return true, nil
	}
	b, err := codec.EncodeLedger(l)
	if err != nil {
		return false, err
	}
	ok, err := n.Store.Commit(x, []store.Guard{{Key: p.Key, Version: p.Version}}, []store.Write{{Key: billKey(owner), Value: b}})
	return ok, errors.Wrap(err, "control.mergeLedger")
}

// settleOrphans adds the held records of entries that have stopped to their
// ledgers in the store.
func (n *Node) settleOrphans(ctx context.Context) {
	for o, r := range n.orphans() {
		if err := n.settleOrphan(ctx, o, r); err != nil {
			n.log("orphan_failed", "owner", o, "error", err)
		}
	}
}

// orphans returns the held records by owner, for owners that no heartbeat has
// named for the orphan delay. It also marks the held records that heartbeats
// report as written to the store.
func (n *Node) orphans() map[string][]bill.HeldRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.Clock()
	for _, h := range n.instances() {
		if h.EntryIncarnation == "" {
			continue
		}
		n.ownersSeenAt[h.EntryIncarnation] = t
		n.heldBills.MarkFlushed(bill.Ledger{Owner: h.EntryIncarnation, SettledUpto: h.LedgerUpto})
	}
	r := map[string][]bill.HeldRecord{}
	for o, l := range n.heldBills.Held() {
		s, ok := n.ownersSeenAt[o]
		if !ok {
			n.ownersSeenAt[o] = t
			continue
		}
		if !t.Before(s.Add(n.Times.OrphanDelay)) {
			r[o] = l
		}
	}
	n.pruneOwnersSeen(r)
	return r
}

// pruneOwnersSeen drops owners that are not orphans and were last seen longer ago
// than the duplicate window.
func (n *Node) pruneOwnersSeen(orphans map[string][]bill.HeldRecord) {
	for o, s := range n.ownersSeenAt {
		if _, ok := orphans[o]; !ok && n.Clock().After(s.Add(bill.DuplicateWindow)) {
			delete(n.ownersSeenAt, o)
		}
	}
}

// settleOrphan adds the records that the owner's ledger in the store lacks. The
// records stay held until their duplicate window ends and are checked again on
// each run, because the owner's own control process may still overwrite the
// ledger with one that lacks them.
func (n *Node) settleOrphan(ctx context.Context, owner string, r []bill.HeldRecord) error {
	added := 0
	var l bill.Ledger
	ok, err := n.mergeLedger(ctx, owner, func(s bill.Ledger) (bill.Ledger, bool) {
		l, added = s, 0
		for _, x := range r {
			if l.IsSettled(x.Seq) {
				continue
			}
			added++
			if x.Duplicate {
				l = l.WithDuplicate(x.Seq)
				continue
			}
			l = l.With(x.Record)
		}
		return l, added > 0
	})
	if err != nil || !ok {
		return err
	}
	n.mu.Lock()
	n.heldBills.MarkFlushed(l)
	n.mu.Unlock()
	if added > 0 {
		for _, x := range r {
			n.log("orphan_bill", "owner", owner, "seq", x.Seq, "request", x.RequestID, "beaten", x.Duplicate)
		}
		n.log("orphan_settled", "owner", owner, "records", added)
	}
	return nil
}

// BillTotals returns the totals of all ledgers in the store, restricted to the team
// unless it is empty.
func (n *Node) BillTotals(ctx context.Context, team string) (map[bill.Line]bill.Amount, error) {
	x, cancel := n.call(ctx)
	defer cancel()
	p, err := n.Store.List(x, billPrefix, 0)
	if err != nil {
		return nil, errors.Wrap(err, "control.Bills")
	}
	r := map[bill.Line]bill.Amount{}
	for _, y := range p {
		l, err := codec.DecodeLedger(y.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "control.Bills: %s", y.Key)
		}
		for k, a := range l.Sums {
			if team == "" || k.Team == team {
				r[k] = r[k].Plus(a)
			}
		}
	}
	return r, nil
}

// HeldRecords returns the number of bill records held for other instances.
func (n *Node) HeldRecords() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heldBills.Len()
}

// handOver sends the records that this instance holds and the store lacks to the
// next holder in rank of each, before this instance stops.
func (n *Node) handOver(ctx context.Context) {
	by := map[peer.Member][]bill.Record{}
	n.mu.Lock()
	m := n.members()
	for _, r := range n.heldBills.Unflushed() {
		if x, ok := n.nextHolder(r, m); ok {
			by[x] = append(by[x], r)
		}
	}
	n.mu.Unlock()
	for x, r := range by {
		y, cancel := n.call(ctx)
		err := n.Peers.HandOver(y, x, r)
		cancel()
		if err != nil {
			n.log("hand_over_failed", "peer", x.ID, "records", len(r), "error", err)
		}
	}
}

// nextHolder returns the highest-ranked holder of the record other than this
// instance.
func (n *Node) nextHolder(r bill.Record, m []peer.Member) (peer.Member, bool) {
	for _, x := range peer.Rank("bill/"+r.RequestID, m) {
		if x.ID != n.Self.ID {
			return x, true
		}
	}
	return peer.Member{}, false
}
