package entry

import "github.com/cockroachdb/errors"

const (
	// maxCommentBytes and maxComments bound the comments and blank lines between two events of a stream.
	maxCommentBytes = 64 << 10
	maxComments     = 1000
)

// ErrOnlyComments reports a stream that goes on without events.
var ErrOnlyComments = errors.New("the stream has no event in as many comments and blank lines as it may have")

// comments are the comments and blank lines of a stream since its last event.
type comments struct {
	bytes, count int
	// held are those that the client has not received.
	held []byte
}

// add counts a comment. It returns ErrOnlyComments if there are too many.
func (c *comments) add(data []byte) error {
	c.bytes += len(data)
	c.count++
	if c.bytes > maxCommentBytes || c.count > maxComments {
		return ErrOnlyComments
	}
	return nil
}

// hold keeps a comment for the client.
func (c *comments) hold(data []byte) { c.held = append(c.held, data...) }

// take returns what was held with the event that follows it, and starts anew.
func (c *comments) take(event []byte) []byte {
	held := c.held
	*c = comments{}
	if len(held) == 0 {
		return event
	}
	return append(held, event...)
}
