package budget

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// message is a datagram between instances: deposits for a pool, or the grants in answer to them.
type message struct {
	// Process and Number identify a message with deposits. The answer repeats them.
	Process  uint64                 `json:"p"`
	Number   uint64                 `json:"n"`
	From     string                 `json:"f,omitempty"`
	Deposits map[string]wireDeposit `json:"d,omitempty"`
	Grants   map[string]float64     `json:"g,omitempty"`
}

type wireDeposit struct {
	Surplus  float64 `json:"s,omitempty"`
	Wanted   float64 `json:"w,omitempty"`
	Requests float64 `json:"r,omitempty"`
}

// encode returns the datagram with the message.
func encode(m message) ([]byte, error) {
	b, err := json.Marshal(m)
	return b, errors.Wrap(err, "budget.encode")
}

// decode is the inverse of encode.
func decode(b []byte) (message, error) {
	var m message
	return m, errors.Wrap(json.Unmarshal(b, &m), "budget.decode")
}

// depositOf returns the deposit of a message, or an error if its numbers are impossible.
func depositOf(w wireDeposit) (deposit, error) {
	d := deposit(w)
	if !d.isValid() {
		return d, errors.Newf("budget.depositOf: got surplus %g and wanted %g for %g requests, want 0 to %d wanted and no more surplus than requests", d.Surplus, d.Wanted, d.Requests, exchangeBelow)
	}
	return d, nil
}
