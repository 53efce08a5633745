package answerbuffer

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"fieldvale/body"
)

const (
	// freeBytes is the memory that an answer which is being read takes without a reservation. Nearly all
	// answers are shorter.
	freeBytes = 64 << 10
	// maxAnswerBytes bounds one answer, in bytes, maxUnstatedBytes one whose head states no length.
	maxAnswerBytes   = 8 << 20
	maxUnstatedBytes = 2 << 20
)

// ErrTooLong reports an answer that is longer than one may be, ErrNoRoom one for which the answers that are being
// read leave no room.
var (
	ErrTooLong = errors.New("the answer is longer than an answer may be")
	ErrNoRoom  = errors.New("the answers being read leave no room for one as long")
)

// Bodies bounds the memory of the long answers that an instance is reading from backend servers. It is safe
// for concurrent use.
type Bodies struct {
	available *semaphore.Weighted
	held      atomic.Int64
}

// NewBodies returns a bound of totalBytes for all answers together. The first 64 kB of each don't count.
func NewBodies(totalBytes int64) *Bodies {
	return &Bodies{available: semaphore.NewWeighted(totalBytes)}
}

// Held returns the memory that is reserved, in bytes.
func (b *Bodies) Held() int64 { return b.held.Load() }

// NewBody returns the account of one answer.
func (b *Bodies) NewBody() *Body { return &Body{bodies: b} }

// Body is the memory of one answer that is being read. It is not safe for concurrent use.
type Body struct {
	bodies *Bodies
	// size is the memory of the answer, reserved the part of it that is reserved.
	size, reserved int64
}

// Grow counts n more bytes. It returns ErrTooLong or ErrNoRoom if there may not be as many.
func (b *Body) Grow(n int64) error {
	size := b.size + n
	if size > maxAnswerBytes {
		return ErrTooLong
	}
	if more := size - freeBytes - b.reserved; more > 0 {
		if !b.bodies.available.TryAcquire(more) {
			return ErrNoRoom
		}
		b.reserved += more
		b.bodies.held.Add(more)
	}
	b.size = size
	return nil
}

// Release frees the memory of the answer.
func (b *Body) Release() {
	if b.reserved > 0 {
		b.bodies.held.Add(-b.reserved)
		b.bodies.available.Release(b.reserved)
	}
	b.size, b.reserved = 0, 0
}

// ReadAll reads a body to its end. length is the length that its head states; negative if it states none.
func (b *Body) ReadAll(r io.Reader, length int64) ([]byte, error) {
	if length > maxAnswerBytes {
		return nil, errors.Wrapf(ErrTooLong, "length %d, want at most %d", length, maxAnswerBytes)
	}
	most := length
	if length < 0 {
		most = maxUnstatedBytes
	}
	data, err := body.Read(r, most, b.Grow)
	if errors.Is(err, body.ErrTooLong) {
		return nil, errors.Wrapf(ErrTooLong, "more than %d bytes, length %d", most, length)
	}
	return data, err
}
