package quota

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// LimitReport is what one response of a replica reports about its limit.
type LimitReport struct {
	// HasLimit is true if the response advertises a limit, which is PerSecond requests a second
	// from all instances together.
	HasLimit  bool
	PerSecond float64
	// SentAt is when the request was sent, ReceivedAt when the response headers arrived. The
	// replica reported the limit between the two.
	SentAt, ReceivedAt time.Time
}

// maxPerSecond bounds a limit, in requests a second. No replica gets more, and sums stay exact.
const maxPerSecond = 1e6

// errInvalidLimit marks a limit that could not be parsed.
var errInvalidLimit = errors.New("want a decimal number of requests a second that is not negative")

// ParseLimitReport parses the limits that a response advertises; a response without any is a valid
// report too. The smallest of several limits applies. On an error the response reports nothing, not
// even the end of a limit.
func ParseLimitReport(values []string, sentAt, receivedAt time.Time) (LimitReport, error) {
	w := LimitReport{SentAt: sentAt, ReceivedAt: receivedAt}
	var err error
	for _, t := range values {
		for _, f := range strings.Split(t, ",") {
			x, e := parseLimit(strings.TrimSpace(f))
			if e != nil {
				err = e
				continue
			}
			if !w.HasLimit || x < w.PerSecond {
				w.HasLimit, w.PerSecond = true, x
			}
		}
	}
	if w.HasLimit {
		return w, nil
	}
	return w, err
}

// numberChars are the characters of a valid limit. Hexadecimal numbers, infinities and NaN have
// others.
const numberChars = "0123456789.eE+-"

// parseLimit parses one limit. It accepts every unambiguous spelling, such as "+3" and "1e3", since
// a replica is harmed if its limit is ignored.
func parseLimit(s string) (float64, error) {
	if s == "" || strings.Trim(s, numberChars) != "" {
		return 0, errors.Wrapf(errInvalidLimit, "quota: invalid limit %.40q", s)
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil && !math.IsInf(x, 1) || math.Signbit(x) || math.IsNaN(x) {
		return 0, errors.Wrapf(errInvalidLimit, "quota: invalid limit %.40q", s)
	}
	return min(x, maxPerSecond), nil
}
