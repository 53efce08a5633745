package catalog

import (
	"github.com/cockroachdb/errors"

	"fieldvale/version"
)

// Version declares one version of a model.
type Version struct {
	ID version.ID
	// CostIn and CostOut are the prices of 1,000 input and 1,000 output tokens, in
	// millionths of the price unit.
	CostIn  int64
	CostOut int64
	// Default reports that new sessions use the version while no roll-out is in
	// progress.
	Default bool
}

// Cost returns the price of a call with the given numbers of input and output tokens,
// in millionths of the price unit, rounded up.
func (v Version) Cost(in, out int64) int64 {
	return (in*v.CostIn + out*v.CostOut + 999) / 1000
}

// Validate returns an error for each invalid field of the version.
func (v Version) Validate() []error {
	var e []error
	if !isValidName(v.ID.Model) || !isValidName(v.ID.Name) {
		e = append(e, errors.Newf("version %s: invalid name, want 1 to 64 characters of a-z, 0-9, '-', '.' and '_'", v.ID))
	}
	if v.CostIn < 0 || v.CostOut < 0 {
		e = append(e, errors.Newf("version %s: negative cost, want 0 or more", v.ID))
	}
	return e
}
