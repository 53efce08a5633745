package catalog

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Customer is a caller of the API that is known by its keys.
type Customer struct {
	Name string
	// Tier is free text that the policy program may look at.
	Tier string
	// KeyHashes are hex SHA-256 sums of the customer's keys. Two at a time
	// allow a key to be changed without a gap.
	KeyHashes []string
	// Share is the customer's weight when capacity is short; at least 1.
	Share int
}

// Defaults returns c with what was left out filled in.
func (c Customer) Defaults() Customer {
	if c.Share == 0 {
		c.Share = 1
	}
	return c
}

// Validate returns one error for each fault of the customer.
func (c Customer) Validate() []error {
	var e []error
	if !nameOK(c.Name) {
		e = append(e, errors.Newf("customer %q: bad name", c.Name))
	}
	if c.Share < 1 || c.Share > 1000 {
		e = append(e, errors.Newf("customer %s: share %d is not between 1 and 1000", c.Name, c.Share))
	}
	if len(c.KeyHashes) == 0 {
		e = append(e, errors.Newf("customer %s: no key_sha256", c.Name))
	}
	for _, k := range c.KeyHashes {
		if b, err := hex.DecodeString(k); err != nil || len(b) != sha256.Size {
			e = append(e, errors.Newf("customer %s: key_sha256 %q is not a hex SHA-256 sum", c.Name, k))
		}
	}
	return e
}

// HashKey returns the form in which a key is kept and compared.
func HashKey(key string) string {
	s := sha256.Sum256([]byte(key))
	return hex.EncodeToString(s[:])
}
