// Package readlimit bounds how much is read from a connection for one part of an answer.
package readlimit

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrExceeded reports that a part of an answer is longer than its limit.
var ErrExceeded = errors.New("the answer is longer than allowed")

// Reader reads from another reader up to a limit that can be set anew for each part. It is not safe for
// concurrent use.
type Reader struct {
	r         io.Reader
	left      int
	isLimited bool
}

// New returns a reader of r without a limit.
func New(r io.Reader) *Reader { return &Reader{r: r} }

// Limit allows n more bytes.
func (r *Reader) Limit(n int) { r.left, r.isLimited = n, true }

// Unlimit ends the limit.
func (r *Reader) Unlimit() { r.isLimited = false }

// Read implements io.Reader. It returns ErrExceeded if there is a limit and that many bytes were read.
func (r *Reader) Read(b []byte) (int, error) {
	if !r.isLimited {
		return r.r.Read(b)
	}
	if r.left <= 0 {
		return 0, ErrExceeded
	}
	n, err := r.r.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}
