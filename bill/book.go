package bill

import (
	"time"
)

// Verdict is a holder's word on a record.
type Verdict int

const (
	// First: the request was not billed before; the record is held.
	First Verdict = iota
	// Repeat: another record bills the request; this one must be void.
	Repeat
)

// Window is how long a holder knows a request id. A caller that repeats a
// request later than this is billed again.
const Window = 10 * time.Minute

// maxHeld bounds the records of one book: about 150 bytes each, 30 MB in all.
// At 10 requests a second an instance holds 5.5 hours of store outage.
const maxHeld = 200_000

type requestKey struct {
	team     string
	customer string
	id       string
}

type held struct {
	record  Record
	expires time.Time
	flushed bool
}

// Book is what one instance holds for the ledgers of others. It is not safe
// for concurrent use.
type Book struct {
	byID  map[requestKey]*held
	order []requestKey
	// Dropped counts records let go unflushed because the book was full.
	Dropped uint64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{byID: map[requestKey]*held{}}
}

// Hold keeps the record and says whether its request is billed already. The
// same record may be offered again and gets the same word.
func (b *Book) Hold(r Record, now time.Time) Verdict {
	k := requestKey{r.Line.Team, r.Line.Customer, r.RequestID}
	if h, ok := b.byID[k]; ok {
		if h.record.Owner == r.Owner && h.record.Seq == r.Seq {
			return First
		}
		return Repeat
	}
	b.makeRoom()
	b.byID[k] = &held{record: r, expires: now.Add(Window)}
	b.order = append(b.order, k)
	return First
}

// Release forgets a record that its owner has found to be a repeat.
func (b *Book) Release(r Record) {
	k := requestKey{r.Line.Team, r.Line.Customer, r.RequestID}
	if h, ok := b.byID[k]; ok && h.record.Owner == r.Owner && h.record.Seq == r.Seq {
		delete(b.byID, k)
	}
}

func (b *Book) makeRoom() {
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

// Flushed notes that the store has the owner's ledger.
func (b *Book) Flushed(l Ledger) {
	for _, h := range b.byID {
		if h.record.Owner == l.Owner && l.Settled(h.record.Seq) {
			h.flushed = true
		}
	}
}

// Expire forgets the records that are in the store and older than Window.
func (b *Book) Expire(now time.Time) {
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

// Held returns the held records by owner.
func (b *Book) Held() map[string][]Record {
	r := map[string][]Record{}
	for _, h := range b.byID {
		r[h.record.Owner] = append(r[h.record.Owner], h.record)
	}
	return r
}

// Len returns the number of records held.
func (b *Book) Len() int { return len(b.byID) }
