// Package notice holds what replicas say of themselves in their answers to this instance: that
// they leave, and until when they want no request from it.
//
// Answers say so to each instance for itself, and reach it where the platform's list can't: a
// Book goes by them alone. Nothing is passed on to other instances.
package notice

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Notice is what one answer says of the replica that gave it.
type Notice struct {
	Replica, Service string
	// Request is the id of the request that was answered.
	Request string
	// Draining says that the replica ends soon.
	Draining bool
	// BackoffUntil is until when it wants no request from this instance; zero if it
	// does not ask for that.
	BackoffUntil time.Time
	// Refused says that it turned the request away.
	Refused bool
	// SentAt is when the request was sent, ReceivedAt when the head of its answer came.
	SentAt, ReceivedAt time.Time
}

// errUnreadable says that a value has no meaning.
var errUnreadable = errors.New("has no meaning")

// ParseDraining reads the values by which an answer says whether its replica leaves; none says that
// it does not.
func ParseDraining(values []string) (bool, error) {
	var err error
	for _, v := range values {
		leaves, e := strconv.ParseBool(strings.TrimSpace(v))
		if leaves {
			return true, nil
		}
		if e != nil {
			err = errors.Wrapf(errUnreadable, "notice.Leaves: %.40q", v)
		}
	}
	return false, err
}

// longestRest bounds the rest that one answer may ask for.
const longestRest = 10 * time.Minute

// ParseRetryAfter reads the values of Retry-After, in seconds or as a date of HTTP, of an answer that
// came now. Of several the latest moment counts; zero if there is none.
func ParseRetryAfter(values []string, now time.Time) (time.Time, error) {
	var until time.Time
	var err error
	for _, v := range values {
		d, e := restFor(strings.TrimSpace(v), now)
		if e != nil {
			err = e
			continue
		}
		if t := now.Add(min(d, longestRest)); d > 0 && t.After(until) {
			until = t
		}
	}
	if until.IsZero() {
		return until, err
	}
	return until, nil
}

func restFor(v string, now time.Time) (time.Duration, error) {
	if s, err := strconv.ParseFloat(v, 64); err == nil && !math.IsNaN(s) && s >= 0 {
		return time.Duration(min(s, longestRest.Seconds()) * float64(time.Second)), nil
	}
	if t, err := http.ParseTime(v); err == nil {
		return t.Sub(now), nil
	}
	return 0, errors.Wrapf(errUnreadable, "notice.RestUntil: %.40q", v)
}
