package main

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"fieldvale/entry"
	"fieldvale/rollout"
)

// wireTally is the message in which an instance reports its tally of a release in progress
// to other instances.
type wireTally struct {
	From        string `json:"from"`
	Service     string `json:"service"`
	Order       int64  `json:"order"`
	Incarnation int64  `json:"life"`
	// New and Old have a row for each kind of request that has counts, for the new and
	// the old release.
	New []wireCounts `json:"new,omitempty"`
	Old []wireCounts `json:"old,omitempty"`
}

// wireCounts is a row of counts: the number of the kind of request, its good, failed and
// broken answers, then for each interval of the wait for an answer how many answers arrived
// in it, and then for each interval how many requests were still waiting at its end.
type wireCounts [4 + 2*rollout.IntervalCount]uint64

// errUnknownKind reports a row of counts for a kind of request that does not exist.
var errUnknownKind = errors.New("decodeTally: unknown kind of request")

// encodeCounts returns rows for the kinds that have counts.
func encodeCounts(l [rollout.KindCount]rollout.Counts) []wireCounts {
	var w []wireCounts
	for i, c := range l {
		if c != (rollout.Counts{}) {
			x := wireCounts{uint64(i), c.Good, c.Failed, c.Broken}
			copy(x[4:], c.Waits.Answered[:])
			copy(x[4+rollout.IntervalCount:], c.Waits.Outlasted[:])
			w = append(w, x)
		}
	}
	return w
}

// decodeCounts returns the counts of the rows by kind, or errUnknownKind.
func decodeCounts(w []wireCounts) (l [rollout.KindCount]rollout.Counts, err error) {
	for _, c := range w {
		if c[0] >= rollout.KindCount {
			return l, errUnknownKind
		}
		x := rollout.Counts{Good: c[1], Failed: c[2], Broken: c[3]}
		copy(x.Waits.Answered[:], c[4:])
		copy(x.Waits.Outlasted[:], c[4+rollout.IntervalCount:])
		l[c[0]] = x
	}
	return l, nil
}

// encodeTally returns the datagram with the tally of the instance from.
func encodeTally(from string, t entry.ReleaseTally) ([]byte, error) {
	x := t.Tally
	b, err := json.Marshal(wireTally{
		From: from, Service: t.Service, Order: t.Order, Incarnation: x.Incarnation,
		New: encodeCounts(x.New), Old: encodeCounts(x.Old),
	})
	return b, errors.Wrap(err, "encodeTally")
}

// decodeTally is the inverse of encodeTally.
func decodeTally(b []byte) (from string, t entry.ReleaseTally, err error) {
	var r wireTally
	if err := json.Unmarshal(b, &r); err != nil {
		return "", t, errors.Wrap(err, "decodeTally")
	}
	t = entry.ReleaseTally{Service: r.Service, Order: r.Order}
	t.Tally.Incarnation = r.Incarnation
	if t.Tally.New, err = decodeCounts(r.New); err != nil {
		return "", t, err
	}
	t.Tally.Old, err = decodeCounts(r.Old)
	return r.From, t, err
}

// wireVerdict is the message in which an instance reports a release to be bad, or in doubt.
type wireVerdict struct {
	From    string `json:"from"`
	Service string `json:"service"`
	Order   int64  `json:"order"`
	Doubt   bool   `json:"doubt,omitempty"`
}

// encodeVerdict returns the datagram in which the instance from reports the release to be
// bad, or in doubt.
func encodeVerdict(from string, r rollout.Release, doubt bool) ([]byte, error) {
	b, err := json.Marshal(wireVerdict{From: from, Service: r.Service, Order: r.Order, Doubt: doubt})
	return b, errors.Wrap(err, "encodeVerdict")
}

// decodeVerdict is the inverse of encodeVerdict.
func decodeVerdict(b []byte) (v wireVerdict, err error) {
	return v, errors.Wrap(json.Unmarshal(b, &v), "decodeVerdict")
}
