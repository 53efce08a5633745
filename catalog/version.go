package catalog

import (
	"github.com/cockroachdb/errors"

	"fieldvale/version"
)

// Version declares one version of a model.
type Version struct {
	ID version.ID
	// CostIn and CostOut are millionths of the price unit for 1,000 tokens
	// read and written.
	CostIn  int64
	CostOut int64
	// Default marks the version for new sessions outside a roll-out.
	Default bool
}

// Cost returns the price, in millionths of the price unit, of a call that
// read in tokens and wrote out tokens. It rounds up.
func (v Version) Cost(in, out int64) int64 {
	return (in*v.CostIn + out*v.CostOut + 999) / 1000
}

// Validate returns one error for each fault of the version.
func (v Version) Validate() []error {
	var e []error
	if !nameOK(v.ID.Model) || !nameOK(v.ID.Name) {
		e = append(e, errors.Newf("version %s: bad name", v.ID))
	}
	if v.CostIn < 0 || v.CostOut < 0 {
		e = append(e, errors.Newf("version %s: cost below 0", v.ID))
	}
	return e
}
