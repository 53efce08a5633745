package main

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"fieldvale/entry"
	"fieldvale/rollout"
)

// report is what instances tell each other of releases under way.
type report struct {
	From    string      `json:"from"`
	Release wireRelease `json:"release"`
}

// wireRelease is an entry.ReleaseTally as it is sent.
type wireRelease struct {
	Service string    `json:"Service"`
	Order   int64     `json:"Order"`
	Tally   wireTally `json:"Tally"`
}

type wireTally struct {
	New     wireEvidence `json:"New"`
	Old     wireEvidence `json:"Old"`
	NewPace wireEvidence `json:"NewPace"`
	OldPace wireEvidence `json:"OldPace"`
}

type wireEvidence struct {
	Good uint64 `json:"Good"`
	Bad  uint64 `json:"Bad"`
}

func newWireTally(t rollout.Tally) wireTally {
	return wireTally{
		New: wireEvidence(t.New), Old: wireEvidence(t.Old),
		NewPace: wireEvidence(t.NewPace), OldPace: wireEvidence(t.OldPace),
	}
}

func (w wireTally) tally() rollout.Tally {
	return rollout.Tally{
		New: rollout.Evidence(w.New), Old: rollout.Evidence(w.Old),
		NewPace: rollout.Evidence(w.NewPace), OldPace: rollout.Evidence(w.OldPace),
	}
}

// encodeReport returns the datagram that tells what an instance saw.
func encodeReport(from string, t entry.ReleaseTally) ([]byte, error) {
	r := wireRelease{Service: t.Service, Order: t.Order, Tally: newWireTally(t.Tally)}
	b, err := json.Marshal(report{From: from, Release: r})
	return b, errors.Wrap(err, "encodeReport")
}

// decodeReport reads what encodeReport wrote.
func decodeReport(b []byte) (from string, t entry.ReleaseTally, err error) {
	var r report
	if err := json.Unmarshal(b, &r); err != nil {
		return "", t, errors.Wrap(err, "decodeReport")
	}
	return r.From, entry.ReleaseTally{Service: r.Release.Service, Order: r.Release.Order, Tally: r.Release.Tally.tally()}, nil
}
