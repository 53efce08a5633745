// Package bill counts what customers owe, each request once.
//
// Nothing is written to the store for a single request. Each incarnation of
// an entry keeps a ledger of cumulative amounts. Before the caller gets the
// end of its answer, the request's record is held by a second instance in
// another data centre, which also says whether the request id was billed
// before. Ledgers are written to the store in batches, and a holder adds the
// records that an incarnation died with.
package bill

import (
	"maps"

	"fieldvale/version"
)

// Line is what amounts are kept by.
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
	// Cost is in millionths of the price unit.
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

// Record is the bill of one request. A cascade is one record with the cost of
// all its steps; a retry adds none.
type Record struct {
	// RequestID is the caller's or, if it gave none, the entry's own.
	RequestID string
	// Owner is the entry's incarnation and Seq the record's number in it,
	// from 1 without gaps.
	Owner string
	Seq   uint64
	Line  Line
	Add   Amount
}

// Ledger holds one incarnation's cumulative amounts. It is immutable.
type Ledger struct {
	Owner string
	// Upto says that all records with numbers up to it are settled: counted,
	// or found to be repeats. Above holds the settled numbers beyond it.
	Upto  uint64
	Above map[uint64]bool
	Sums  map[Line]Amount
	// Changes grows with each change by the owner, so that of two of its
	// ledgers the later one is known.
	Changes uint64
}

// NewLedger returns an empty ledger.
func NewLedger(owner string) Ledger {
	return Ledger{Owner: owner}
}

// Settled reports whether the numbered record is counted or void in l.
func (l Ledger) Settled(seq uint64) bool {
	return seq <= l.Upto || l.Above[seq]
}

// With returns l with the record counted. A record is counted once however
// often it is added.
func (l Ledger) With(r Record) Ledger {
	if l.Settled(r.Seq) {
		return l
	}
	l.Sums = maps.Clone(l.Sums)
	if l.Sums == nil {
		l.Sums = map[Line]Amount{}
	}
	l.Sums[r.Line] = l.Sums[r.Line].Plus(r.Add)
	return l.settle(r.Seq)
}

// WithVoid returns l with the numbered record settled and not counted.
func (l Ledger) WithVoid(seq uint64) Ledger {
	if l.Settled(seq) {
		return l
	}
	return l.settle(seq)
}

func (l Ledger) settle(seq uint64) Ledger {
	l.Changes++
	a := maps.Clone(l.Above)
	if a == nil {
		a = map[uint64]bool{}
	}
	a[seq] = true
	for a[l.Upto+1] {
		l.Upto++
		delete(a, l.Upto)
	}
	l.Above = a
	return l
}

// Later returns the ledger to keep of two of one owner's own ledgers.
func (l Ledger) Later(o Ledger) Ledger {
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

// Covers reports whether all that o has settled is settled in l.
func (l Ledger) Covers(o Ledger) bool {
	for n := l.Upto + 1; n <= o.Upto; n++ {
		if !l.Above[n] {
			return false
		}
	}
	for n := range o.Above {
		if !l.Settled(n) {
			return false
		}
	}
	return true
}
