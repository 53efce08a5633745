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

// Services implements entry.Services.
type Services struct {
	http *httpconn.Client
	hearing
}

var _ entry.Services = (*Services)(nil)

// NewServices returns a client of plain services.
func NewServices(c *httpconn.Client) *Services {
	return &Services{http: c}
}

// WithLimits returns the client with l told what answers say of their backend servers.
func (s Services) WithLimits(l Limits) *Services {
	s.limits = l
	return &s
}

// WithNotices returns the client with n told what answers say of their backend servers.
func (s Services) WithNotices(n Notices) *Services {
	s.notices = n
	return &s
}

// Call implements entry.Services. Any answer below status 500 is the
// service's own and is passed on.
func (s *Services) Call(ctx context.Context, r *pool.Replica, c entry.ServiceCall) (entry.ServiceAnswer, error) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	q.Header.SetMethod(fasthttp.MethodPost)
	q.SetRequestURI("http://" + r.Addr + "/" + c.Call)
	q.Header.SetContentType(c.ContentType)
	q.Header.Set(HeaderDeadline, strconv.FormatInt(c.Deadline.UnixMilli(), 10))
	if c.IdempotencyKey != "" {
		q.Header.Set(HeaderKey, c.IdempotencyKey)
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
	s.hear(r, c.IdempotencyKey, p, sentAt)
	if p.StatusCode() >= fasthttp.StatusInternalServerError || refusal(p) {
		return entry.ServiceAnswer{}, checkStatus(r, p, 0, 0)
	}
	return entry.ServiceAnswer{
		Status:      p.StatusCode(),
		ContentType: string(p.Header.ContentType()),
		Body:        append([]byte(nil), p.Body()...),
	}, nil
}

func refusal(p *fasthttp.Response) bool {
	return string(p.Header.Peek(HeaderNotRun)) == "true"
}
