// Package load tracks the load that replicas report in the headers of their responses.
//
// Each instance uses only the responses that it received itself, and passes nothing on to other
// instances.
package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Report is what one response reports about the load of its replica.
type Report struct {
	// Running and Waiting are the numbers of requests in slots and in the queue, of all instances.
	Running, Waiting int
	Slots            int
	// Slowness is how long work takes at the replica at present, relative to the usual time; 1 if
	// the response doesn't report it.
	Slowness float64
}

const (
	// maxRequests and maxSlots bound the counts in a report. They exceed what a server can hold, so
	// that a larger value is an error of the replica.
	maxRequests = 1_000_000
	maxSlots    = 100_000
	// usualSlowness is the slowness in the header that means the usual speed. A slowness outside of
	// minSlowness to maxSlowness, which is ten times faster to a hundred times slower, is an error:
	// one such value would outweigh all other figures.
	usualSlowness = 100
	minSlowness   = 10
	maxSlowness   = 10_000
	// countFields is the number of mandatory fields; the slowness is the optional field after them.
	countFields = 3
)

// errInvalidReport marks a header value that is not a load report.
var errInvalidReport = errors.New("invalid load report")

// Parse parses the values of the header that reports a replica's load: the requests running, the
// requests waiting, the slots and optionally the slowness, separated by commas. Several values are
// joined with commas, as HTTP defines for lists. ok is false without values.
func Parse(values []string) (r Report, ok bool, err error) {
	if len(values) == 0 {
		return Report{}, false, nil
	}
	v := strings.Join(values, ",")
	f := strings.Split(v, ",")
	if len(f) != countFields && len(f) != countFields+1 {
		return Report{}, false, errors.Wrapf(errInvalidReport, "load.Parse: %.60q has %d fields, want %d or %d", v, len(f), countFields, countFields+1)
	}
	r.Slowness = 1
	for _, x := range []struct {
		name     string
		field    string
		min, max int
		to       *int
	}{
		{"requests running", f[0], 0, maxRequests, &r.Running},
		{"requests waiting", f[1], 0, maxRequests, &r.Waiting},
		{"slots", f[2], 1, maxSlots, &r.Slots},
	} {
		if *x.to, err = parseInt(x.field, x.min, x.max); err != nil {
			return Report{}, false, errors.Wrapf(err, "load.Parse: %s", x.name)
		}
	}
	if len(f) > countFields {
		n, err := parseInt(f[countFields], minSlowness, maxSlowness)
		if err != nil {
			return Report{}, false, errors.Wrap(err, "load.Parse: slowness")
		}
		r.Slowness = float64(n) / usualSlowness
	}
	return r, true, nil
}

// String formats the report as Parse reads it.
func (r Report) String() string {
	return fmt.Sprintf("%d,%d,%d,%.0f", r.Running, r.Waiting, r.Slots, r.Slowness*usualSlowness)
}

// parseInt parses an integer in decimal digits from least to most. Blanks around it are ignored.
func parseInt(s string, least, most int) (int, error) {
	s = strings.Trim(s, " \t")
	if s == "" || strings.Trim(s, "0123456789") != "" {
		return 0, errors.Wrapf(errInvalidReport, "%.40q is not a number", s)
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < least || n > most {
		return 0, errors.Wrapf(errInvalidReport, "%.40s is not between %d and %d", s, least, most)
	}
	return n, nil
}

// Sample is a report with its origin.
type Sample struct {
	Report
	Replica, Service string
	// Refused is true if the replica turned the request away.
	Refused bool
	// SentAt is when the request was sent, ReceivedAt when the response headers arrived.
	SentAt, ReceivedAt time.Time
	// Own is the number of this instance's requests at the replica when the response arrived. They
	// are part of Running and Waiting.
	Own int
}

// WithOwn returns s with the number of this instance's requests at the replica.
func (s Sample) WithOwn(n int) Sample {
	s.Own = n
	return s
}

// OthersPerSlot returns the requests of the other instances per slot at the time of the report.
func (s *Sample) OthersPerSlot() float64 {
	return float64(max(0, s.Running+s.Waiting-s.Own)) / float64(s.Slots)
}
