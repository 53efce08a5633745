package backend

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"fieldvale/adapter/httpconn"
	"fieldvale/entry"
	"fieldvale/pool"
)

// Services is a client of plain services. It implements entry.Services.
type Services struct {
	http *httpconn.Client
	responseObservers
}

var _ entry.Services = (*Services)(nil)

// NewServices returns a client of plain services that sends its requests with c.
func NewServices(c *httpconn.Client) *Services {
	return &Services{http: c}
}

// WithLimits returns a copy of the client that passes the rate limits in responses to l.
func (s Services) WithLimits(l LimitObserver) *Services {
	s.limits = l
	return &s
}

// WithNotices returns a copy of the client that passes the draining and backoff notices in
// responses to n.
func (s Services) WithNotices(n NoticeObserver) *Services {
	s.notices = n
	return &s
}

// Call implements entry.Services. Any response with a status below 500 that isn't a refusal
// is the service's own answer and is returned. A call that may run only once is sent over a
// new connection; see httpconn.Client.DoFresh.
func (s *Services) Call(ctx context.Context, r *pool.Replica, c entry.ServiceCall) (entry.ServiceAnswer, error) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	q.Header.SetMethod(fasthttp.MethodPost)
	q.SetRequestURI("http://" + r.Addr + "/" + c.Call)
	q.Header.SetContentType(c.ContentType)
	q.Header.Set(HeaderDeadline, strconv.FormatInt(c.Deadline.UnixMilli(), 10))
	if c.IdempotencyKey != "" {
		q.Header.Set(HeaderIdempotencyKey, c.IdempotencyKey)
	}
	q.SetBodyRaw(c.Body)
	do := s.http.Do
	if c.Once {
		do = s.http.DoFresh
	}
	sentAt := time.Now()
	if err := do(ctx, r.Addr, q, p); err != nil {
		return entry.ServiceAnswer{}, withContext(ctx, err)
	}
	s.observe(r, c.IdempotencyKey, p, sentAt)
	if p.StatusCode() >= fasthttp.StatusInternalServerError || isRefusal(p) {
		return entry.ServiceAnswer{}, checkStatus(r, p, 0, 0)
	}
	return entry.ServiceAnswer{
		Status:      p.StatusCode(),
		ContentType: string(p.Header.ContentType()),
		Body:        append([]byte(nil), p.Body()...),
	}, nil
}

// isRefusal reports whether the backend server refused the request without starting it.
func isRefusal(p *fasthttp.Response) bool {
	return string(p.Header.Peek(HeaderNotRun)) == "true"
}
