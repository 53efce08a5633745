package main

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"fieldvale/entry"
	"fieldvale/rollout"
)

// report is what instances tell each other of releases under way.
type report struct {
	From    string `json:"from"`
	Service string `json:"service"`
	Order   int64  `json:"order"`
	Life    int64  `json:"life"`
	// New and Old have a row for each kind of request of which something is
	// known.
	New []wireCounts `json:"new,omitempty"`
	Old []wireCounts `json:"old,omitempty"`
}

// wireCounts are a kind and its good, failed and broken answers, and for each span
// of waiting how many answers came in it and how many requests passed it.
type wireCounts [4 + 2*rollout.IntervalCount]uint64

// errKind says that a report names a kind that there is none of.
var errKind = errors.New("decodeReport: no such kind of request")

func newWireCounts(l [rollout.KindCount]rollout.Counts) []wireCounts {
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

func counts(w []wireCounts) (l [rollout.KindCount]rollout.Counts, err error) {
	for _, c := range w {
		if c[0] >= rollout.KindCount {
			return l, errKind
		}
		x := rollout.Counts{Good: c[1], Failed: c[2], Broken: c[3]}
		copy(x.Waits.Answered[:], c[4:])
		copy(x.Waits.Outlasted[:], c[4+rollout.IntervalCount:])
		l[c[0]] = x
	}
	return l, nil
}

// encodeReport returns the datagram that tells what an instance saw.
func encodeReport(from string, t entry.ReleaseTally) ([]byte, error) {
	x := t.Tally
	b, err := json.Marshal(report{
		From: from, Service: t.Service, Order: t.Order, Life: x.Incarnation,
		New: newWireCounts(x.New), Old: newWireCounts(x.Old),
	})
	return b, errors.Wrap(err, "encodeReport")
}

// decodeReport reads what encodeReport wrote.
func decodeReport(b []byte) (from string, t entry.ReleaseTally, err error) {
	var r report
	if err := json.Unmarshal(b, &r); err != nil {
		return "", t, errors.Wrap(err, "decodeReport")
	}
	t = entry.ReleaseTally{Service: r.Service, Order: r.Order}
	t.Tally.Incarnation = r.Life
	if t.Tally.New, err = counts(r.New); err != nil {
		return "", t, err
	}
	t.Tally.Old, err = counts(r.Old)
	return r.From, t, err
}

// wireVerdict tells that an instance found a release bad, or is in doubt of it.
type wireVerdict struct {
	From    string `json:"from"`
	Service string `json:"service"`
	Order   int64  `json:"order"`
	Doubt   bool   `json:"doubt,omitempty"`
}

// encodeVerdict returns the datagram that tells of a bad release, or of a doubt.
func encodeVerdict(from string, r rollout.Release, doubt bool) ([]byte, error) {
	b, err := json.Marshal(wireVerdict{From: from, Service: r.Service, Order: r.Order, Doubt: doubt})
	return b, errors.Wrap(err, "encodeVerdict")
}

// decodeVerdict reads what encodeVerdict wrote.
func decodeVerdict(b []byte) (v wireVerdict, err error) {
	return v, errors.Wrap(json.Unmarshal(b, &v), "decodeVerdict")
}
