// Package notice tracks what replicas report about themselves in the headers of their responses:
// that they are draining, and until when they ask this instance to back off.
//
// Each instance relies only on the responses that it received itself, and passes nothing on to
// other instances. Responses reach an instance even where the platform's replica list cannot.
package notice

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Notice is what one response reports about the replica that sent it.
type Notice struct {
	Replica, Service string
	// Request is the id of the request that was answered.
	Request string
	// Draining is true if the replica is about to shut down.
	Draining bool
	// BackoffUntil is the time until which the replica wants no request from this instance; zero if
	// the response requests no backoff.
	BackoffUntil time.Time
	// Refused is true if the replica turned the request away.
	Refused bool
	// SentAt is when the request was sent, ReceivedAt when the response headers arrived.
	SentAt, ReceivedAt time.Time
}

// errInvalidHeader marks a header value that could not be parsed.
var errInvalidHeader = errors.New("invalid header value")

// ParseDraining parses the values of the header by which a replica reports that it is draining. It
// returns true if any value is true, and false without values. An error is returned only if no
// value is true and at least one is invalid.
func ParseDraining(values []string) (bool, error) {
	var err error
	for _, v := range values {
		draining, e := strconv.ParseBool(strings.TrimSpace(v))
		if draining {
			return true, nil
		}
		if e != nil {
			err = errors.Wrapf(errInvalidHeader, "notice.ParseDraining: %.40q is not a boolean", v)
		}
	}
	return false, err
}

// maxBackoff bounds the backoff that one response may request.
const maxBackoff = 10 * time.Minute

// ParseRetryAfter parses the values of the Retry-After header of a response that arrived now, each
// a number of seconds or an HTTP date. It returns the latest of the requested times; zero if no
// value requests a backoff. An error is returned only if no value does and at least one is invalid.
func ParseRetryAfter(values []string, now time.Time) (time.Time, error) {
	var until time.Time
	var err error
	for _, v := range values {
		d, e := parseBackoff(strings.TrimSpace(v), now)
		if e != nil {
			err = e
			continue
		}
		if t := now.Add(min(d, maxBackoff)); d > 0 && t.After(until) {
			until = t
		}
	}
	if until.IsZero() {
		return until, err
	}
	return until, nil
}

// parseBackoff parses one value of the Retry-After header. The result is negative for a date in the
// past.
func parseBackoff(v string, now time.Time) (time.Duration, error) {
	if s, err := strconv.ParseFloat(v, 64); err == nil && !math.IsNaN(s) && s >= 0 {
		return time.Duration(min(s, maxBackoff.Seconds()) * float64(time.Second)), nil
	}
	if t, err := http.ParseTime(v); err == nil {
		return t.Sub(now), nil
	}
	return 0, errors.Wrapf(errInvalidHeader, "notice.ParseRetryAfter: %.40q is neither a number of seconds nor an HTTP date", v)
}
