package backend

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fieldvale/notice"
	"fieldvale/pool"
	"fieldvale/quota"
)

// HeaderLimit is the number of requests per second, as a decimal number, that a backend
// server accepts from all instances together. The limit holds as long as the server's
// responses have the header.
const HeaderLimit = "X-Requests-Per-Second"

// HeaderRejectionLimit is the number of requests, as a decimal number, that a backend server may have to
// reject in a second, from all instances together, without crashing. It holds as long as the server's
// responses have the header.
const HeaderRejectionLimit = "X-Rejections-Per-Second"

// LimitObserver receives the rate limits that backend servers advertise.
type LimitObserver interface {
	Observe(service, replica string, w quota.LimitReport)
	// ObserveRejectionLimit receives a HeaderRejectionLimit, or that there is none.
	ObserveRejectionLimit(service, replica string, w quota.LimitReport)
	// LogInvalidLimit reports that a response has a HeaderLimit or HeaderRejectionLimit that can't be
	// parsed.
	LogInvalidLimit(replica string, err error)
}

// HeaderDraining is a boolean by which a backend server advertises that it is draining.
// headerRetryAfter, in a response with status 503, is for how long the server requests that
// this entry sends it no request, in seconds or as an HTTP date.
const (
	HeaderDraining   = "X-Leaving"
	headerRetryAfter = "Retry-After"
)

// NoticeObserver receives the draining and backoff notices of backend servers.
type NoticeObserver interface {
	Observe(n notice.Notice)
	// LogInvalidHeader reports that the named header of a response can't be parsed.
	LogInvalidHeader(replica, header string, err error)
}

// responseObservers receive the limits, notices and loads in responses; each may be nil.
type responseObservers struct {
	limits  LimitObserver
	notices NoticeObserver
	loads   LoadObserver
}

// observe passes on the limit, the notice and the load in the response to a request sent at
// sentAt.
func (h responseObservers) observe(r *pool.Replica, request string, p *fasthttp.Response, sentAt time.Time) {
	if h.limits != nil {
		observeLimit(h.limits, r, p, sentAt)
	}
	if h.notices != nil {
		observeNotice(h.notices, r, request, p, sentAt)
	}
	if h.loads != nil {
		observeLoad(h.loads, r, p, sentAt)
	}
}

// observeNotice passes on a response's draining flag and, with status 503, its requested
// backoff.
func observeNotice(l NoticeObserver, r *pool.Replica, request string, p *fasthttp.Response, sentAt time.Time) {
	n := notice.Notice{Replica: r.ID, Service: r.Service, Request: request, Refused: isRefusal(p), SentAt: sentAt, ReceivedAt: time.Now()}
	var err error
	if n.Draining, err = notice.ParseDraining(headerValues(p, HeaderDraining)); err != nil {
		l.LogInvalidHeader(r.ID, HeaderDraining, err)
	}
	if p.StatusCode() == fasthttp.StatusServiceUnavailable {
		if n.BackoffUntil, err = notice.ParseRetryAfter(headerValues(p, headerRetryAfter), n.ReceivedAt); err != nil {
			l.LogInvalidHeader(r.ID, headerRetryAfter, err)
		}
	}
	l.Observe(n)
}

// headerValues returns all values of the header.
func headerValues(p *fasthttp.Response, header string) []string {
	var l []string
	for _, b := range p.Header.PeekAll(header) {
		l = append(l, string(b))
	}
	return l
}

// observeLimit passes on the limits of requests and of rejections in a response, or that it has none.
// A refusal without a header is ignored: a refusal can set a limit, but can't end one.
func observeLimit(l LimitObserver, r *pool.Replica, p *fasthttp.Response, sentAt time.Time) {
	for header, observe := range map[string]func(service, replica string, w quota.LimitReport){
		HeaderLimit: l.Observe, HeaderRejectionLimit: l.ObserveRejectionLimit,
	} {
		w, err := quota.ParseLimitReport(headerValues(p, header), sentAt, time.Now())
		switch {
		case err != nil:
			l.LogInvalidLimit(r.ID, errors.Wrap(err, header))
		case w.HasLimit || !isRefusal(p):
			observe(r.Service, r.ID, w)
		}
	}
}
