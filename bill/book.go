package bill

import (
	"time"
)

// Word is what a holder says of a record that it was offered.
type Word struct {
	// Repeat says that another record bills the request. Owner is that
	// record's, and Settled that it is too old to be under way still.
	Repeat  bool
	Owner   string
	Settled bool
}

// underWay is how long a record may be on its way to its holders.
const underWay = time.Second

// Void reports whether the record must not be counted, by the words of the
// holders that were reached. Of two records that reach the holders at the
// same time in different order, all agree on the one of the lower owner.
func Void(mine Record, w []Word) bool {
	first, lower := false, false
	for _, x := range w {
		if x.Repeat && x.Settled {
			return true
		}
		first = first || !x.Repeat
		lower = lower || x.Repeat && x.Owner < mine.Owner
	}
	return lower || !first && len(w) > 0
}

// Owners are those whose records the words name, for the log.
func Owners(w []Word) (l []string) {
	for _, x := range w {
		if x.Repeat {
			l = append(l, x.Owner)
		}
	}
	return l
}

// Window is how long a holder knows a request id. A caller that repeats a
// request later than this is billed again.
const Window = 10 * time.Minute

// maxHeld bounds the records of one book: 400 bytes each, 60 MB in all (make
// measure, item bills). An instance that makes and holds 10 bills a second for
// two holders each fills it in two hours of store outage.
const maxHeld = 150_000

type requestKey struct {
	team     string
	customer string
	id       string
}

type held struct {
	record Record
	// rival is a record of an owner with a lower name that came for the same
	// request while this one was under way, and was not taken back: where it
	// was the first at another holder it is counted, by the rule of Void.
	rival *Record
	// settled is when the record can't be under way any more.
	settled time.Time
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
func (b *Book) Hold(r Record, now time.Time) Word {
	k := requestKey{r.Line.Team, r.Line.Customer, r.RequestID}
	if h, ok := b.byID[k]; ok {
		if h.record.Owner == r.Owner && h.record.Seq == r.Seq {
			return Word{}
		}
		settled := !now.Before(h.settled)
		if !settled && r.Owner < h.record.Owner {
			h.rival = &r
		}
		return Word{Repeat: true, Owner: h.record.Owner, Settled: settled}
	}
	b.makeRoom()
	b.byID[k] = &held{record: r, settled: now.Add(underWay), expires: now.Add(Window)}
	b.order = append(b.order, k)
	return Word{}
}

// Release forgets a record that its owner has found to be a repeat.
func (b *Book) Release(r Record) {
	k := requestKey{r.Line.Team, r.Line.Customer, r.RequestID}
	h, ok := b.byID[k]
	if !ok {
		return
	}
	if h.record.Owner == r.Owner && h.record.Seq == r.Seq {
		delete(b.byID, k)
		return
	}
	if h.rival != nil && h.rival.Owner == r.Owner && h.rival.Seq == r.Seq {
		h.rival = nil
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

// HeldRecord is a record as its holder would settle it.
type HeldRecord struct {
	Record
	// Beaten says that another owner's record bills the request, so that this
	// one must not be counted.
	Beaten bool
}

// Held returns the held records by owner.
func (b *Book) Held() map[string][]HeldRecord {
	r := map[string][]HeldRecord{}
	for _, h := range b.byID {
		r[h.record.Owner] = append(r[h.record.Owner], HeldRecord{Record: h.record, Beaten: h.rival != nil})
	}
	return r
}

// Unflushed returns the held records that the store lacks.
func (b *Book) Unflushed() []Record {
	var r []Record
	for _, h := range b.byID {
		if !h.flushed {
			r = append(r, h.record)
		}
	}
	return r
}

// Len returns the number of records held.
func (b *Book) Len() int { return len(b.byID) }
