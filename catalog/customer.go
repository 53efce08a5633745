package catalog

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Customer is a caller of the API, identified by its API keys.
type Customer struct {
	Name string
	// Tier is an arbitrary text that the policy program may read.
	Tier string
	// KeyHashes are the hex SHA-256 sums of the customer's API keys. Two keys at the
	// same time allow a key to be rotated without an interruption.
	KeyHashes []string
	// Share is the customer's weight in the division of scarce capacity, from 1 to
	// 1000.
	Share int
}

// Defaults returns c with default values in unset fields.
func (c Customer) Defaults() Customer {
	if c.Share == 0 {
		c.Share = 1
	}
	return c
}

// Validate returns an error for each invalid field of the customer.
func (c Customer) Validate() []error {
	var e []error
	if !isValidName(c.Name) {
		e = append(e, errors.Newf("customer %q: invalid name, want 1 to 64 characters of a-z, 0-9, '-', '.' and '_'", c.Name))
	}
	if c.Share < 1 || c.Share > 1000 {
		e = append(e, errors.Newf("customer %s: share is %d, want 1 to 1000", c.Name, c.Share))
	}
	if len(c.KeyHashes) == 0 {
		e = append(e, errors.Newf("customer %s: no key_sha256, want at least one", c.Name))
	}
	for _, k := range c.KeyHashes {
		if b, err := hex.DecodeString(k); err != nil || len(b) != sha256.Size {
			e = append(e, errors.Newf("customer %s: key_sha256 is %q, want a hex SHA-256 sum", c.Name, k))
		}
	}
	return e
}

// HashKey returns the hex SHA-256 sum under which an API key is stored and compared.
func HashKey(key string) string {
	s := sha256.Sum256([]byte(key))
	return hex.EncodeToString(s[:])
}
