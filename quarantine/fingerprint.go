package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// fingerprintBytes is long enough that nobody finds two contents with one fingerprint:
// that would have another caller's request refused.
const fingerprintBytes = 16

// Fingerprint names what is asked, whatever the attempt's id: a request that is sent
// again by its client, to any instance, has the same one.
type Fingerprint [fingerprintBytes]byte

// RequestContent is what makes two requests the same one.
type RequestContent struct {
	// Caller is the customer, empty where requests need no key.
	Caller string
	// Method and Target are the request line's; Target is the path with its query.
	Method string
	Host   string
	Target string
	Body   []byte
}

// Fingerprint returns the content's fingerprint.
func (c RequestContent) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, t := range []string{c.Caller, c.Method, c.Host, c.Target} {
		// The length goes first, so that no two lists of texts read the same.
		h.Write(binary.AppendUvarint(nil, uint64(len(t))))
		h.Write([]byte(t))
	}
	h.Write(c.Body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint in hex, as it stands in logs and in the store.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// compare orders fingerprints, so that what is told of many has the same order each time.
func (f Fingerprint) compare(o Fingerprint) int { return bytes.Compare(f[:], o[:]) }

// ErrFingerprint says that a text is no fingerprint.
var ErrFingerprint = errors.Newf("a fingerprint is %d hexadecimal digits", 2*fingerprintBytes)

// ParseFingerprint reads what String wrote.
func ParseFingerprint(t string) (Fingerprint, error) {
	var f Fingerprint
	b, err := hex.DecodeString(t)
	if err != nil || len(b) != len(f) {
		return f, ErrFingerprint
	}
	copy(f[:], b)
	return f, nil
}
