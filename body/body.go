// Package body reads the bodies of requests and answers into memory that is reserved as their bytes arrive.
package body

import (
	"io"

	"github.com/cockroachdb/errors"
)

// firstPart is the capacity with which reading begins, in bytes.
const firstPart = 4 << 10

// ErrTooLong reports a body that is longer than allowed.
var ErrTooLong = errors.New("the body is longer than allowed")

// Read reads r to its end. It calls reserve for each n bytes of memory before they are allocated, and returns its
// error. A body of more than most bytes is ErrTooLong.
func Read(r io.Reader, most int64, reserve func(n int64) error) ([]byte, error) {
	var b []byte
	for {
		if int64(len(b)) > most {
			return nil, errors.Wrapf(ErrTooLong, "more than %d bytes", most)
		}
		if len(b) == cap(b) {
			n := nextCapacity(cap(b), most)
			if err := reserve(int64(n - cap(b))); err != nil {
				return nil, errors.Wrapf(err, "after %d bytes", len(b))
			}
			b = append(make([]byte, 0, n), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF && int64(len(b)) <= most {
			return b, nil
		}
		if err != nil && err != io.EOF {
			return nil, err
		}
	}
}

// nextCapacity returns the capacity with which reading goes on. It leaves one byte more than the most, so that the end is
// seen without growing.
func nextCapacity(current int, most int64) int {
	return int(min(int64(max(firstPart, 2*current)), most+1))
}
