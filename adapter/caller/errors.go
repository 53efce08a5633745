package caller

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fieldvale/entry"
	"fieldvale/outcome"
)

// Kinds of error, as the OpenAI API names them.
const (
	invalidRequest = "invalid_request_error"
	authentication = "authentication_error"
	rateLimit      = "rate_limit_error"
	serverError    = "server_error"
)

// notRun is the word by which a refusal says that nothing was done.
const notRun = "not_run"

// apiError is an error in the API's own shape. run says whether the request
// was run: "not_run", "unknown" or "ran".
type apiError struct {
	status  int
	code    string
	kind    string
	param   string
	message string
	run     string
	retryAt time.Time
}

func invalid(param, message string) *apiError {
	return &apiError{status: fasthttp.StatusBadRequest, code: "invalid_request", kind: invalidRequest, param: param, message: message, run: notRun}
}

type wireError struct {
	Message      string  `json:"message"`
	Type         string  `json:"type"`
	Param        *string `json:"param"`
	Code         string  `json:"code"`
	Run          string  `json:"run,omitempty"`
	RetryAfterMs int64   `json:"retry_after_ms,omitempty"`
}

func (e apiError) body(now time.Time) []byte {
	w := wireError{Message: e.message, Type: e.kind, Code: e.code, Run: e.run}
	if e.param != "" {
		w.Param = &e.param
	}
	if !e.retryAt.IsZero() {
		w.RetryAfterMs = max(1, e.retryAt.Sub(now).Milliseconds())
	}
	b, err := json.Marshal(map[string]wireError{"error": w})
	if err != nil {
		return []byte(`{"error":{"message":"internal fault","type":"server_error","code":"internal","param":null}}`)
	}
	return b
}

func (s *Server) fail(c *fasthttp.RequestCtx, e apiError) {
	n := s.clock()
	c.SetStatusCode(e.status)
	c.SetContentType("application/json")
	if !e.retryAt.IsZero() {
		d := max(1, int64((e.retryAt.Sub(n)+time.Second-1)/time.Second))
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(d, 10))
	}
	c.SetBody(e.body(n))
}

// statuses of failures that have one of their own.
var statuses = map[entry.Code]int{
	entry.NotReady:               fasthttp.StatusServiceUnavailable,
	entry.ModelNotAllowed:        fasthttp.StatusForbidden,
	entry.ModelNotFound:          fasthttp.StatusNotFound,
	entry.ServiceNotFound:        fasthttp.StatusNotFound,
	entry.Refused:                fasthttp.StatusTooManyRequests,
	entry.DeadlineExceeded:       fasthttp.StatusGatewayTimeout,
	entry.BackendFailed:          fasthttp.StatusBadGateway,
	entry.MayHaveRun:             fasthttp.StatusConflict,
	entry.AlreadyRan:             fasthttp.StatusConflict,
	entry.IdempotencyKeyRequired: fasthttp.StatusBadRequest,
	entry.ClaimsUnavailable:      fasthttp.StatusServiceUnavailable,
	entry.Quarantined:            fasthttp.StatusServiceUnavailable,
}

// fromFailure puts the router's last word in the API's shape.
func fromFailure(err error) *apiError {
	var f *entry.Failure
	if !errors.As(err, &f) {
		return &apiError{status: fasthttp.StatusBadGateway, code: string(entry.BackendFailed), kind: serverError, message: err.Error(), run: outcome.Of(err).String()}
	}
	e := &apiError{status: statuses[f.Code], code: string(f.Code), kind: serverError, message: f.Error(), run: f.Outcome.String(), retryAt: f.RetryAt}
	if f.Code == entry.BackendFailed && f.Outcome == outcome.NotRun {
		e.status = fasthttp.StatusServiceUnavailable
	}
	switch {
	case e.status == fasthttp.StatusTooManyRequests:
		e.kind = rateLimit
	case e.status < fasthttp.StatusInternalServerError:
		e.kind = invalidRequest
	}
	return e
}

// badRequest answers what fasthttp could not read.
func (s *Server) badRequest(c *fasthttp.RequestCtx, err error) {
	var b *fasthttp.ErrSmallBuffer
	var t interface{ Timeout() bool }
	e := invalid("", "the request can't be read: "+err.Error())
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		e.status, e.code, e.message = fasthttp.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than "+strconv.Itoa(maxBody)+" bytes"
	case errors.As(err, &b):
		e.status, e.code, e.message = fasthttp.StatusRequestHeaderFieldsTooLarge, "headers_too_large", "the headers are larger than "+strconv.Itoa(maxHeaders)+" bytes"
	case errors.As(err, &t) && t.Timeout():
		e.status, e.code, e.message = fasthttp.StatusRequestTimeout, "request_timeout", "the request did not come in time"
	}
	s.fail(c, *e)
	s.observe("unread", e.code, e.status, 0, "", "")
}
