package fleetsize_test

import (
	"fmt"
	"testing"
	"time"

	"fieldvale/fleetsize"
)

var noon = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return noon.Add(time.Duration(seconds * float64(time.Second)))
}

func Example() {
	var r fleetsize.Record
	show := func(what string) { fmt.Println(what+":", r.Size()) }
	show("unknown")
	r = r.WithEstimate(3, at(0)).WithEstimate(48, at(3)).WithEstimate(65, at(4))
	show("while members register")
	r = r.WithEstimate(65, at(5)).WithEstimate(65, at(7))
	show("settled")
	r = r.WithEstimate(130, at(11)).WithEstimate(65, at(12))
	show("while followers change their source")
	r = r.WithEstimate(48, at(20)).WithEstimate(48, at(60))
	show("after followers were cut off")
	r = r.WithEstimate(80, at(70)).WithEstimate(80, at(75))
	show("after others joined")
	// Output:
	// unknown: 0
	// while members register: 0
	// settled: 65
	// while followers change their source: 65
	// after followers were cut off: 65
	// after others joined: 80
}

// A new process must use what others know at once, and one that has a size must not keep the
// sizes that others report.
func TestReportsCountUntilSizeIsKnown(t *testing.T) {
	r := fleetsize.Record{}.WithEstimate(3, at(0)).WithReport(65, at(1))
	if got := r.Size(); got != 65 {
		t.Errorf("got size %d after a report, want 65", got)
	}
	if got := r.WithReport(900, at(2)).Size(); got != 65 {
		t.Errorf("got size %d after a second report, want 65", got)
	}
	if got := r.Since(); !got.Equal(at(1)) {
		t.Errorf("got size since %s, want %s", got, at(1))
	}
}

// A fleet that has shrunk for good must get its whole bound back, but not within the retention.
func TestLargestEstimateIsForgottenInTime(t *testing.T) {
	r := fleetsize.Record{}
	for i := range 25 * 60 {
		n := 20
		if i < 60 {
			n = 100
		}
		r = r.WithEstimate(n, at(float64(i)))
		want := 100
		if i >= 20*60 {
			want = 20
		}
		if got := r.Size(); i > 10 && got != want {
			t.Fatalf("got size %d after %d s, want %d", got, i, want)
		}
	}
}
