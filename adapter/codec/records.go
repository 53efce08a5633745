package codec

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/audit"
	"fieldvale/bill"
	"fieldvale/claim"
	"fieldvale/version"
)

type wireAudit struct {
	Revision uint64            `json:"revision"`
	ChangeID string            `json:"change_id"`
	Team     string            `json:"team"`
	Who      string            `json:"who"`
	At       time.Time         `json:"at"`
	Action   string            `json:"action"`
	From     string            `json:"from"`
	To       string            `json:"to"`
	Why      string            `json:"why"`
	Files    map[string]string `json:"files,omitempty"`
}

// EncodeAudit encodes an audit entry as JSON. files are the policy files that an accept put
// in force; they are stored with the entry so that an older policy can be shown.
func EncodeAudit(e audit.Entry, files map[string]string) ([]byte, error) {
	b, err := json.Marshal(wireAudit{
		Revision: e.Revision, ChangeID: e.ChangeID, Team: e.Team, Who: e.Actor, At: e.At,
		Action: string(e.Action), From: e.From, To: e.To, Why: e.Reason, Files: files,
	})
	return b, errors.Wrap(err, "codec: encode audit entry")
}

// DecodeAudit is the inverse of EncodeAudit.
func DecodeAudit(b []byte) (audit.Entry, map[string]string, error) {
	var w wireAudit
	if err := json.Unmarshal(b, &w); err != nil {
		return audit.Entry{}, nil, errors.Wrap(err, "codec: decode audit entry")
	}
	return audit.Entry{
		Revision: w.Revision, ChangeID: w.ChangeID, Team: w.Team, Actor: w.Who, At: w.At,
		Action: audit.Action(w.Action), From: w.From, To: w.To, Reason: w.Why,
	}, w.Files, nil
}

type wireClaim struct {
	Customer string    `json:"customer"`
	Key      string    `json:"key"`
	Nonce    string    `json:"nonce"`
	Holder   string    `json:"holder"`
	Deadline time.Time `json:"deadline"`
	State    string    `json:"state"`
	Status   int       `json:"status,omitempty"`
	Answer   []byte    `json:"answer,omitempty"`
}

// EncodeClaim encodes a claim as JSON.
func EncodeClaim(c claim.Claim) ([]byte, error) {
	b, err := json.Marshal(wireClaim{
		Customer: c.Customer, Key: c.Key, Nonce: c.Nonce, Holder: c.Holder, Deadline: c.Deadline,
		State: string(c.State), Status: c.Status, Answer: c.Answer,
	})
	return b, errors.Wrap(err, "codec: encode claim")
}

// DecodeClaim is the inverse of EncodeClaim.
func DecodeClaim(b []byte) (claim.Claim, error) {
	var w wireClaim
	if err := json.Unmarshal(b, &w); err != nil {
		return claim.Claim{}, errors.Wrap(err, "codec: decode claim")
	}
	return claim.Claim{
		Customer: w.Customer, Key: w.Key, Nonce: w.Nonce, Holder: w.Holder, Deadline: w.Deadline,
		State: claim.State(w.State), Status: w.Status, Answer: w.Answer,
	}, nil
}

type wireLedger struct {
	Owner   string     `json:"owner"`
	Upto    uint64     `json:"upto"`
	Above   []uint64   `json:"above,omitempty"`
	Changes uint64     `json:"changes"`
	Lines   []wireLine `json:"lines"`
}

type wireLine struct {
	Team      string `json:"team"`
	Customer  string `json:"customer"`
	Version   string `json:"version"`
	Requests  uint64 `json:"requests"`
	TokensIn  uint64 `json:"tokens_in"`
	TokensOut uint64 `json:"tokens_out"`
	Cost      uint64 `json:"cost"`
}

// EncodeLedger encodes a ledger as JSON in a fixed order, so that equal ledgers have equal
// bytes.
func EncodeLedger(l bill.Ledger) ([]byte, error) {
	w := wireLedger{Owner: l.Owner, Upto: l.SettledUpto, Changes: l.Changes}
	for n := range l.SettledAbove {
		w.Above = append(w.Above, n)
	}
	slices.Sort(w.Above)
	for k, a := range l.Sums {
		w.Lines = append(w.Lines, wireLine{
			Team: k.Team, Customer: k.Customer, Version: k.Version.String(),
			Requests: a.Requests, TokensIn: a.TokensIn, TokensOut: a.TokensOut, Cost: a.Cost,
		})
	}
	slices.SortFunc(w.Lines, func(a, b wireLine) int {
		return strings.Compare(a.Team+"/"+a.Customer+"/"+a.Version, b.Team+"/"+b.Customer+"/"+b.Version)
	})
	b, err := json.Marshal(w)
	return b, errors.Wrap(err, "codec: encode ledger")
}

// DecodeLedger is the inverse of EncodeLedger.
func DecodeLedger(b []byte) (bill.Ledger, error) {
	var w wireLedger
	if err := json.Unmarshal(b, &w); err != nil {
		return bill.Ledger{}, errors.Wrap(err, "codec: decode ledger")
	}
	l := bill.Ledger{Owner: w.Owner, SettledUpto: w.Upto, Changes: w.Changes, SettledAbove: map[uint64]bool{}, Sums: map[bill.Line]bill.Amount{}}
	for _, n := range w.Above {
		l.SettledAbove[n] = true
	}
	for _, x := range w.Lines {
		v, err := version.Parse(x.Version)
		if err != nil {
			return l, errors.Wrap(err, "codec: decode ledger")
		}
		l.Sums[bill.Line{Team: x.Team, Customer: x.Customer, Version: v}] = bill.Amount{
			Requests: x.Requests, TokensIn: x.TokensIn, TokensOut: x.TokensOut, Cost: x.Cost,
		}
	}
	return l, nil
}
