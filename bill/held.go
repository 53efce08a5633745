package bill

import (
	"time"
)

// HoldResult is a holder's response to a record that it was offered.
type HoldResult struct {
	// Duplicate reports that another record bills the request.
	Duplicate bool
	// Owner is the owner of that other record.
	Owner string
	// Settled reports that the other record was offered so long ago that all its
	// holders must have received it.
	Settled bool
}

// maxDeliveryDelay is how long a record may take to reach all its holders.
const maxDeliveryDelay = time.Second

// IsDuplicate reports whether the record must not be counted, given the responses
// of the holders that were reached. Two records of one request can reach the holders
// at the same time, in a different order at each. Both owners then decide that the
// record of the owner with the lower name is counted.
func IsDuplicate(mine Record, w []HoldResult) bool {
	first, lower := false, false
	for _, x := range w {
		if x.Duplicate && x.Settled {
			return true
		}
		first = first || !x.Duplicate
		lower = lower || x.Duplicate && x.Owner < mine.Owner
	}
	return lower || !first && len(w) > 0
}

// DuplicateOwners returns the owners of the records of which the record is a
// duplicate, for the log.
func DuplicateOwners(w []HoldResult) (l []string) {
	for _, x := range w {
		if x.Duplicate {
			l = append(l, x.Owner)
		}
	}
	return l
}

// DuplicateWindow is how long a holder keeps a request id. A retry after that time is
// billed again.
const DuplicateWindow = 10 * time.Minute

// maxHeld bounds the records that one instance holds to 60 MB, at 400 bytes each. If
// each instance bills 10 requests a second with two holders each, the limit is reached
// after two hours of store outage.
const maxHeld = 150_000

// requestKey identifies a request: ids are unique per customer only.
type requestKey struct {
	team     string
	customer string
	id       string
}

// heldEntry is the first record that was offered for a request.
type heldEntry struct {
	record Record
	// competing is a record of an owner with a lower name that was offered for the
	// same request while this one may not have reached all its holders, and that
	// was not released. If it was the first at another holder, its owner counts
	// it.
	competing *Record
	// concurrentUntil is when the record must have reached all its holders.
	concurrentUntil time.Time
	expires         time.Time
	// flushed reports that the store has the record in its owner's ledger.
	flushed bool
}

// HeldRecords holds the bill records that one instance keeps for others. It is not safe for
// concurrent use.
type HeldRecords struct {
	byID map[requestKey]*heldEntry
	// order has the keys in the order in which they were added.
	order []requestKey
	// Dropped is the number of records that were evicted, as the limit was reached,
	// before the store had them.
	Dropped uint64
}

// NewHeldRecords returns an empty set of held records.
func NewHeldRecords() *HeldRecords {
	return &HeldRecords{byID: map[requestKey]*heldEntry{}}
}

// Hold stores the record unless another record bills its request already, and
// reports which was the case. The same record may be offered again and gets the
// same response.
func (b *HeldRecords) Hold(r Record, now time.Time) HoldResult {
	k := requestKey{r.Line.Team, r.Line.Customer, r.RequestID}
	if h, ok := b.byID[k]; ok {
		if h.record.Owner == r.Owner && h.record.Seq == r.Seq {
			return HoldResult{}
		}
		settled := !now.Before(h.concurrentUntil)
		if !settled && r.Owner < h.record.Owner {
			h.competing = &r
		}
		return HoldResult{Duplicate: true, Owner: h.record.Owner, Settled: settled}
	}
	b.evictOldest()
	b.byID[k] = &heldEntry{record: r, concurrentUntil: now.Add(maxDeliveryDelay), expires: now.Add(DuplicateWindow)}
	b.order = append(b.order, k)
	return HoldResult{}
}

// Release deletes a record that its owner has found to be a duplicate.
func (b *HeldRecords) Release(r Record) {
	k := requestKey{r.Line.Team, r.Line.Customer, r.RequestID}
	h, ok := b.byID[k]
	if !ok {
		return
	}
	if h.record.Owner == r.Owner && h.record.Seq == r.Seq {
		delete(b.byID, k)
		return
	}
	if h.competing != nil && h.competing.Owner == r.Owner && h.competing.Seq == r.Seq {
		h.competing = nil
	}
}

// evictOldest makes room for one record by evicting the oldest ones.
func (b *HeldRecords) evictOldest() {
	for len(b.byID) >= maxHeld && len(b.order) > 0 {
		k := b.order[0]
		b.order = b.order[1:]
		h, ok := b.byID[k]
		if ok && !h.flushed {
			b.Dropped++
		}
		delete(b.byID, k)
	}
}

// MarkFlushed marks the records that are settled in l, a ledger that the store has.
func (b *HeldRecords) MarkFlushed(l Ledger) {
	for _, h := range b.byID {
		if h.record.Owner == l.Owner && l.IsSettled(h.record.Seq) {
			h.flushed = true
		}
	}
}

// Expire deletes the records whose duplicate window has ended and that the store
// has.
func (b *HeldRecords) Expire(now time.Time) {
	n := b.order[:0]
	for _, k := range b.order {
		h, ok := b.byID[k]
		if !ok {
			continue
		}
		if h.flushed && !now.Before(h.expires) {
			delete(b.byID, k)
			continue
		}
		n = append(n, k)
	}
	b.order = n
}

// HeldRecord is a held record with the way in which its holder must settle it.
type HeldRecord struct {
	Record
	// Duplicate reports that another owner's record bills the request, so that
	// this one must not be counted.
	Duplicate bool
}

// Held returns the held records by owner.
func (b *HeldRecords) Held() map[string][]HeldRecord {
	r := map[string][]HeldRecord{}
	for _, h := range b.byID {
		r[h.record.Owner] = append(r[h.record.Owner], HeldRecord{Record: h.record, Duplicate: h.competing != nil})
	}
	return r
}

// Unflushed returns the held records that the store doesn't have yet.
func (b *HeldRecords) Unflushed() []Record {
	var r []Record
	for _, h := range b.byID {
		if !h.flushed {
			r = append(r, h.record)
		}
	}
	return r
}

// Len returns the number of records held.
func (b *HeldRecords) Len() int { return len(b.byID) }
