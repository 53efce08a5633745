package answerbuffer_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"fieldvale/answerbuffer"
)

// endless is a body without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

func ExampleBodies() {
	b := answerbuffer.NewBodies(1 << 20)
	short := b.NewBody()
	data, err := short.ReadAll(strings.NewReader("ok"), 2)
	fmt.Printf("%s, %v, %d bytes reserved\n", data, err, b.Held())
	long := b.NewBody()
	_, err = long.ReadAll(endless{}, -1)
	fmt.Println(errors.Is(err, answerbuffer.ErrNoRoom))
	long.Release()
	_, err = answerbuffer.NewBodies(8<<20).NewBody().ReadAll(endless{}, -1)
	fmt.Println(errors.Is(err, answerbuffer.ErrTooLong))
	_, err = b.NewBody().ReadAll(endless{}, 1<<40)
	fmt.Println(errors.Is(err, answerbuffer.ErrTooLong), b.Held())
	// Output:
	// ok, <nil>, 0 bytes reserved
	// true
	// true
	// true 0
}

// Guards against bodies that are altered or cut, and against memory that is not given back.
func TestBodiesAreReadWhole(t *testing.T) {
	b := answerbuffer.NewBodies(4 << 20)
	rapid.Check(t, func(t *rapid.T) {
		want := strings.Repeat("x", rapid.IntRange(0, 300_000).Draw(t, "length"))
		length := int64(-1)
		if rapid.Bool().Draw(t, "states its length") {
			length = int64(len(want))
		}
		var r io.Reader = strings.NewReader(want)
		if rapid.Bool().Draw(t, "ends with its last bytes") {
			r = iotest.DataErrReader(r)
		}
		x := b.NewBody()
		got, err := x.ReadAll(r, length)
		if string(got) != want || err != nil {
			t.Fatalf("got %d bytes and error %v, want %d", len(got), err, len(want))
		}
		x.Release()
		if b.Held() != 0 {
			t.Fatalf("%d bytes reserved after the release, want 0", b.Held())
		}
	})
}
