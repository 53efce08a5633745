// Package bill computes the amounts that customers owe and bills each request once.
//
// Nothing is written to the store for a single request. Each incarnation of an
// entry keeps a ledger of cumulative amounts. Before the caller receives the end
// of its response, the request's record is held by a second instance in another
// data centre, which also reports whether the request id was billed before.
// Ledgers are written to the store periodically. If an incarnation dies, the holders
// add the records to its ledger that it had not written.
package bill

import (
	"maps"

	"fieldvale/version"
)

// Line is the key by which amounts are summed.
type Line struct {
	Team     string
	Customer string
	Version  version.ID
}

// Amount is a sum of billed work.
type Amount struct {
	Requests  uint64
	TokensIn  uint64
	TokensOut uint64
	// Cost is in millionths of the unit of prices.
	Cost uint64
}

// Plus returns the sum of a and o.
func (a Amount) Plus(o Amount) Amount {
	return Amount{
		Requests:  a.Requests + o.Requests,
		TokensIn:  a.TokensIn + o.TokensIn,
		TokensOut: a.TokensOut + o.TokensOut,
		Cost:      a.Cost + o.Cost,
	}
}

// Record is the bill of one request. A cascade has one record with the cost of all
// its steps. A retry has none of its own.
type Record struct {
	// RequestID is the id that the caller gave the request, or one that the
	// entry generated.
	RequestID string
	// Owner is the entry's incarnation, and Seq the record's number in it, from
	// 1 without gaps.
	Owner string
	Seq   uint64
	Line  Line
	// Amount is the amount to be added to the ledger's line.
	Amount Amount
}

// Ledger holds the cumulative amounts of one entry incarnation. It is immutable.
type Ledger struct {
	Owner string
	// SettledUpto is the number up to which all records are settled: counted, or found
	// to be duplicates.
	SettledUpto uint64
	// SettledAbove holds the settled numbers beyond that.
	SettledAbove map[uint64]bool
	Sums         map[Line]Amount
	// Changes grows with each change by the owner and so orders the ledgers of
	// one owner.
	Changes uint64
}

// NewLedger returns an empty ledger of the entry incarnation.
func NewLedger(owner string) Ledger {
	return Ledger{Owner: owner}
}

// IsSettled reports whether the record with that number is counted in l or was
// found to be a duplicate.
func (l Ledger) IsSettled(seq uint64) bool {
	return seq <= l.SettledUpto || l.SettledAbove[seq]
}

// With returns l with the record counted. A record that is settled already is not
// counted again.
func (l Ledger) With(r Record) Ledger {
	if l.IsSettled(r.Seq) {
		return l
	}
	l.Sums = maps.Clone(l.Sums)
	if l.Sums == nil {
		l.Sums = map[Line]Amount{}
	}
	l.Sums[r.Line] = l.Sums[r.Line].Plus(r.Amount)
	return l.markSettled(r.Seq)
}

// WithDuplicate returns l with the record of that number settled but not
// counted.
func (l Ledger) WithDuplicate(seq uint64) Ledger {
	if l.IsSettled(seq) {
		return l
	}
	return l.markSettled(seq)
}

// markSettled returns l with the number settled. The number up to which all records
// are settled advances over those that follow it without a gap.
func (l Ledger) markSettled(seq uint64) Ledger {
	l.Changes++
	a := maps.Clone(l.SettledAbove)
	if a == nil {
		a = map[uint64]bool{}
	}
	a[seq] = true
	for a[l.SettledUpto+1] {
		l.SettledUpto++
		delete(a, l.SettledUpto)
	}
	l.SettledAbove = a
	return l
}

// Latest returns the one of two ledgers of the same owner that has more changes.
func (l Ledger) Latest(o Ledger) Ledger {
	if o.Changes > l.Changes {
		return o
	}
	return l
}

// Total returns the sum over all lines.
func (l Ledger) Total() Amount {
	var t Amount
	for _, a := range l.Sums {
		t = t.Plus(a)
	}
	return t
}

// Covers reports whether all records that are settled in o are settled in l.
func (l Ledger) Covers(o Ledger) bool {
	for n := l.SettledUpto + 1; n <= o.SettledUpto; n++ {
		if !l.SettledAbove[n] {
			return false
		}
	}
	for n := range o.SettledAbove {
		if !l.IsSettled(n) {
			return false
		}
	}
	return true
}
