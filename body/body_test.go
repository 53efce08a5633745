package body_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"fieldvale/body"
)

func ExampleRead() {
	reserved := int64(0)
	b, err := body.Read(strings.NewReader("ok"), 1<<20, func(n int64) error {
		reserved += n
		return nil
	})
	fmt.Printf("%s, %v, %d bytes reserved\n", b, err, reserved)
	// Output: ok, <nil>, 4096 bytes reserved
}

// Guards against bodies that are altered, against one that is too long, and against memory that is not reserved.
func TestReadReservesWhatItAllocates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := strings.Repeat("x", rapid.IntRange(0, 100_000).Draw(t, "length"))
		most := rapid.Int64Range(0, 100_000).Draw(t, "most")
		var r io.Reader = strings.NewReader(want)
		if rapid.Bool().Draw(t, "ends with its last bytes") {
			r = iotest.DataErrReader(r)
		}
		reserved := int64(0)
		got, err := body.Read(r, most, func(n int64) error {
			reserved += n
			return nil
		})
		if int64(len(want)) > most {
			if !errors.Is(err, body.ErrTooLong) {
				t.Fatalf("%d bytes of at most %d: got error %v, want %v", len(want), most, err, body.ErrTooLong)
			}
			return
		}
		if string(got) != want || err != nil || reserved < int64(cap(got)) {
			t.Fatalf("got %d bytes, error %v and %d bytes reserved, want %d, none and at least %d", len(got), err, reserved, len(want), cap(got))
		}
	})
}
