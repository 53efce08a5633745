package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// fingerprintBytes is long enough that nobody can construct two contents with the same fingerprint,
// which would get another caller's requests refused.
const fingerprintBytes = 16

// Fingerprint is the hash of a request's content, without the id of the attempt. A retry by the
// client has the same fingerprint at every instance.
type Fingerprint [fingerprintBytes]byte

// RequestContent is the part of a request that decides whether two requests are the same.
type RequestContent struct {
	// Caller is the customer; empty where requests need no API key.
	Caller string
	// Method and Target are those of the request line; Target is the path with the query.
	Method string
	Host   string
	Target string
	Body   []byte
}

// Fingerprint returns the hash of the content.
func (c RequestContent) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, t := range []string{c.Caller, c.Method, c.Host, c.Target} {
		// The length prefix keeps different lists of strings from hashing the same bytes.
		h.Write(binary.AppendUvarint(nil, uint64(len(t))))
		h.Write([]byte(t))
	}
	h.Write(c.Body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint in hexadecimal, as logs and the store have it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// compare orders fingerprints, so that messages and lists with several of them have a stable order.
func (f Fingerprint) compare(o Fingerprint) int { return bytes.Compare(f[:], o[:]) }

// ErrFingerprint reports a string that is not a fingerprint.
var ErrFingerprint = errors.Newf("not a fingerprint: want %d hexadecimal digits", 2*fingerprintBytes)

// ParseFingerprint parses the output of String.
func ParseFingerprint(t string) (Fingerprint, error) {
	var f Fingerprint
	b, err := hex.DecodeString(t)
	if err != nil || len(b) != len(f) {
		return f, ErrFingerprint
	}
	copy(f[:], b)
	return f, nil
}
