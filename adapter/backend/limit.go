package backend

import (
	"time"

	"github.com/valyala/fasthttp"

	"fieldvale/notice"
	"fieldvale/pool"
	"fieldvale/quota"
)

// HeaderLimit names how many requests a second a backend server takes from all instances
// together, as a decimal number, for as long as its answers have it.
const HeaderLimit = "X-Requests-Per-Second"

// Limits takes what backend servers say of how much they take.
type Limits interface {
	Observe(service, replica string, w quota.LimitReport)
	// Unreadable says that an answer names a limit that can't be read.
	Unreadable(replica string, err error)
}

// Headers by which a backend server says that it leaves, as a truth value, and with status 503
// for how long it wants no request from this entry, in seconds or as a date of HTTP.
const (
	HeaderLeaving    = "X-Leaving"
	headerRetryAfter = "Retry-After"
)

// Notices takes what backend servers say of themselves.
type Notices interface {
	Observe(n notice.Notice)
	// Unreadable says that a header of an answer has no meaning.
	Unreadable(replica, header string, err error)
}

// hearing are those who are told what answers say of their backend servers; each may be nil.
type hearing struct {
	limits  Limits
	notices Notices
}

// hear hands on what an answer to the request sent at that moment says.
func (h hearing) hear(r *pool.Replica, request string, p *fasthttp.Response, sentAt time.Time) {
	if h.limits != nil {
		hearLimit(h.limits, r, p, sentAt)
	}
	if h.notices != nil {
		heed(h.notices, r, request, p, sentAt)
	}
}

func heed(l Notices, r *pool.Replica, request string, p *fasthttp.Response, sentAt time.Time) {
	n := notice.Notice{Replica: r.ID, Service: r.Service, Request: request, Refused: refusal(p), SentAt: sentAt, ReceivedAt: time.Now()}
	var err error
	if n.Draining, err = notice.ParseDraining(values(p, HeaderLeaving)); err != nil {
		l.Unreadable(r.ID, HeaderLeaving, err)
	}
	if p.StatusCode() == fasthttp.StatusServiceUnavailable {
		if n.BackoffUntil, err = notice.ParseRetryAfter(values(p, headerRetryAfter), n.ReceivedAt); err != nil {
			l.Unreadable(r.ID, headerRetryAfter, err)
		}
	}
	l.Observe(n)
}

// values returns the header's values.
func values(p *fasthttp.Response, header string) []string {
	var l []string
	for _, b := range p.Header.PeekAll(header) {
		l = append(l, string(b))
	}
	return l
}

// hearLimit hands on what an answer says of its server's limit. One that turns the request
// away can name a limit, but not end one.
func hearLimit(l Limits, r *pool.Replica, p *fasthttp.Response, sentAt time.Time) {
	w, err := quota.ParseLimitReport(values(p, HeaderLimit), sentAt, time.Now())
	switch {
	case err != nil:
		l.Unreadable(r.ID, err)
	case w.HasLimit || !refusal(p):
		l.Observe(r.Service, r.ID, w)
	}
}
