package quota

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// LimitReport is what one answer of a replica says of its limit.
type LimitReport struct {
	// HasLimit says that the answer names a limit, of PerSecond requests from all
	// instances together.
	HasLimit  bool
	PerSecond float64
	// SentAt is when the request was sent, ReceivedAt when the head of its answer came; the
	// replica said it in between.
	SentAt, ReceivedAt time.Time
}

// most bounds a figure, in requests a second: nothing gets more, and sums stay exact.
const most = 1e6

// errUnreadable says that a figure is none.
var errUnreadable = errors.New("not a number of requests a second")

// ParseLimitReport reads the figures that an answer names; none is a word as well. Of several the
// smallest counts. An error means that the answer says nothing, not even that the limit is
// over.
func ParseLimitReport(figures []string, sentAt, heardAt time.Time) (LimitReport, error) {
	w := LimitReport{SentAt: sentAt, ReceivedAt: heardAt}
	var err error
	for _, t := range figures {
		for _, f := range strings.Split(t, ",") {
			x, e := parse(strings.TrimSpace(f))
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

// digits are what a figure is written with; hexadecimal ones, infinities and what is no
// number have others.
const digits = "0123456789.eE+-"

// parse reads one figure. What can be meant in one way only is taken, such as "+3" and
// "1e3": to leave a limit unheard harms the replica.
func parse(s string) (float64, error) {
	if s == "" || strings.Trim(s, digits) != "" {
		return 0, errors.Wrapf(errUnreadable, "quota: %.40q", s)
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil && !math.IsInf(x, 1) || math.Signbit(x) || math.IsNaN(x) {
		return 0, errors.Wrapf(errUnreadable, "quota: %.40q", s)
	}
	return min(x, most), nil
}
