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

// flushState is one incarnation's ledger and how far it is in the store.
type flushState struct {
	ledger  bill.Ledger
	flushed uint64
	upto    uint64
	// alone is the number of the last record that no peer holds.
	alone uint64
	// verifyAt is when the store is read again even if nothing changed: it
	// may have been restored to an older state.
	verifyAt time.Time
}

// verifyEvery is between such readings.
const verifyEvery = 10 * time.Minute

// Hold keeps another instance's bill records.
func (n *Node) Hold(r []bill.Record, release []bill.Record) []bill.Word {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.Clock()
	v := make([]bill.Word, len(r))
	for i, x := range r {
		v[i] = n.book.Hold(x, t)
	}
	for _, x := range release {
		n.book.Release(x)
	}
	return v
}

// takeLedger keeps the entry's ledger for the next flush.
func (n *Node) takeLedger(l bill.Ledger, alone uint64) {
	if l.Owner == "" {
		return
	}
	f, ok := n.ledgers[l.Owner]
	if !ok {
		f = &flushState{ledger: l}
		n.ledgers[l.Owner] = f
	}
	f.ledger = f.ledger.Later(l)
	f.alone = max(f.alone, alone)
}

// heldAlone reports whether there are bills that neither the store nor any
// other instance has.
func (n *Node) heldAlone() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.ledgers {
		if f.alone > f.upto && f.flushed < f.ledger.Changes {
			return true
		}
	}
	return false
}

// flushedUpto is how far the living entry's ledger is in the store.
func (n *Node) flushedUpto() uint64 {
	f, ok := n.ledgers[n.entry.incarnation]
	if !ok {
		return 0
	}
	return f.upto
}

func billKey(owner string) string { return billPrefix + owner }

// flushLedgers writes the ledgers that have changed, at most one write each.
func (n *Node) flushLedgers(ctx context.Context) {
	for _, l := range n.unflushed() {
		if err := n.flush(ctx, l); err != nil {
			n.log("flush_failed", "owner", l.Owner, "error", err)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for o, f := range n.ledgers {
		if o != n.entry.incarnation && f.flushed == f.ledger.Changes {
			delete(n.ledgers, o)
		}
	}
	n.book.Expire(n.Clock())
}

func (n *Node) unflushed() []bill.Ledger {
	n.mu.Lock()
	defer n.mu.Unlock()
	var r []bill.Ledger
	for _, f := range n.ledgers {
		if f.flushed < f.ledger.Changes || !n.Clock().Before(f.verifyAt) {
			r = append(r, f.ledger)
		}
	}
	return r
}

// flush writes the owner's ledger unless the store has all of it. A lost
// answer does no harm: the next flush finds the write or makes it again.
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
		f.flushed = max(f.flushed, l.Changes)
		f.upto = max(f.upto, l.Upto)
		f.verifyAt = n.Clock().Add(verifyEvery)
	}
	return nil
}

// mergeLedger replaces the stored ledger by what f makes of it, if f says
// that it must be. It reports whether the store has the result.
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

// settleOrphans settles the held records of entries that are gone, and lets
// go of those that the store has.
func (n *Node) settleOrphans(ctx context.Context) {
	for o, r := range n.orphans() {
		if err := n.settleOrphan(ctx, o, r); err != nil {
			n.log("orphan_failed", "owner", o, "error", err)
		}
	}
}

// orphans returns the held records whose owner has not been heard for
// Times.Orphan. It also takes in what heartbeats say of flushes.
func (n *Node) orphans() map[string][]bill.HeldRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.Clock()
	for _, h := range n.instances() {
		if h.EntryIncarnation == "" {
			continue
		}
		n.seenAt[h.EntryIncarnation] = t
		n.book.Flushed(bill.Ledger{Owner: h.EntryIncarnation, Upto: h.LedgerUpto})
	}
	r := map[string][]bill.HeldRecord{}
	for o, l := range n.book.Held() {
		s, ok := n.seenAt[o]
		if !ok {
			n.seenAt[o] = t
			continue
		}
		if !t.Before(s.Add(n.Times.Orphan)) {
			r[o] = l
		}
	}
	n.forgetSeen(r)
	return r
}

// forgetSeen drops the owners of which nothing is held any more.
func (n *Node) forgetSeen(orphans map[string][]bill.HeldRecord) {
	for o, s := range n.seenAt {
		if _, ok := orphans[o]; !ok && n.Clock().After(s.Add(bill.Window)) {
			delete(n.seenAt, o)
		}
	}
}

// settleOrphan adds the records that the store's ledger lacks. Records stay
// held until their window ends and are looked at again, for the owner's own
// control may still write a ledger without them.
func (n *Node) settleOrphan(ctx context.Context, owner string, r []bill.HeldRecord) error {
	added := 0
	var l bill.Ledger
	ok, err := n.mergeLedger(ctx, owner, func(s bill.Ledger) (bill.Ledger, bool) {
		l, added = s, 0
		for _, x := range r {
			if l.Settled(x.Seq) {
				continue
			}
			added++
			if x.Beaten {
				l = l.WithVoid(x.Seq)
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
	n.book.Flushed(l)
	n.mu.Unlock()
	if added > 0 {
		for _, x := range r {
			n.log("orphan_bill", "owner", owner, "seq", x.Seq, "request", x.RequestID, "beaten", x.Beaten)
		}
		n.log("orphan_settled", "owner", owner, "records", added)
	}
	return nil
}

// Bills returns the sum of all ledgers in the store, of one team if named.
func (n *Node) Bills(ctx context.Context, team string) (map[bill.Line]bill.Amount, error) {
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

// Held returns how many bill records are held for other instances.
func (n *Node) Held() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.Len()
}

// handOver gives the records that this instance holds, and the store lacks,
// to the next holders in rank.
func (n *Node) handOver(ctx context.Context) {
	by := map[peer.Member][]bill.Record{}
	n.mu.Lock()
	m := n.members()
	for _, r := range n.book.Unflushed() {
		if x, ok := n.successor(r, m); ok {
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

// successor is the first in rank for the record other than this instance.
func (n *Node) successor(r bill.Record, m []peer.Member) (peer.Member, bool) {
	for _, x := range peer.Rank("bill/"+r.RequestID, m) {
		if x.ID != n.Self.ID {
			return x, true
		}
	}
	return peer.Member{}, false
}
