package entry

import (
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against comments that are lost before an event, and against a stream of nothing else.
func TestCommentsAreBoundedBetweenEvents(t *testing.T) {
	var c comments
	for _, text := range []string{":a\n\n", "\n"} {
		if err := c.add([]byte(text)); err != nil {
			t.Fatalf("got error %v, want none", err)
		}
		c.hold([]byte(text))
	}
	if got, want := string(c.take([]byte("data: x\n\n"))), ":a\n\n\ndata: x\n\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	for i := range maxComments + 1 {
		if err := c.add([]byte("\n")); errors.Is(err, ErrOnlyComments) != (i == maxComments) {
			t.Fatalf("comment %d: got error %v, want one for the last only", i+1, err)
		}
	}
	c = comments{}
	if err := c.add(make([]byte, maxCommentBytes+1)); !errors.Is(err, ErrOnlyComments) {
		t.Errorf("a long comment: got error %v, want ErrOnlyComments", err)
	}
}
