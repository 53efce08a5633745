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

// Values of an error's type field in the OpenAI API.
const (
	invalidRequest = "invalid_request_error"
	authentication = "authentication_error"
	rateLimit      = "rate_limit_error"
	serverError    = "server_error"
)

// notRun is the value of an error's run field if no part of the request was run.
const notRun = "not_run"

// apiError is an error of the caller API.
type apiError struct {
	status  int
	code    string
	kind    string
	param   string
	message string
	// run states whether the request was run: "not_run", "unknown" or "ran".
	run     string
	retryAt time.Time
}

// invalid returns the error for a request that is rejected before it is routed.
func invalid(param, message string) *apiError {
	return &apiError{status: fasthttp.StatusBadRequest, code: "invalid_request", kind: invalidRequest, param: param, message: message, run: notRun}
}

// errorBody is an error in the JSON form of the OpenAI API with the fields run and
// retry_after_ms added.
type errorBody struct {
	Message      string  `json:"message"`
	Type         string  `json:"type"`
	Param        *string `json:"param"`
	Code         string  `json:"code"`
	Run          string  `json:"run,omitempty"`
	RetryAfterMs int64   `json:"retry_after_ms,omitempty"`
}

// body returns the error's response body.
func (e apiError) body(now time.Time) []byte {
	w := errorBody{Message: e.message, Type: e.kind, Code: e.code, Run: e.run}
	if e.param != "" {
		w.Param = &e.param
	}
	if !e.retryAt.IsZero() {
		w.RetryAfterMs = max(1, e.retryAt.Sub(now).Milliseconds())
	}
	b, err := json.Marshal(map[string]errorBody{"error": w})
	if err != nil {
		return []byte(`{"error":{"message":"internal fault","type":"server_error","code":"internal","param":null}}`)
	}
	return b
}

// writeError sets the response to the error.
func (s *Server) writeError(c *fasthttp.RequestCtx, e apiError) {
	n := s.clock()
	c.SetStatusCode(e.status)
	c.SetContentType("application/json")
	if !e.retryAt.IsZero() {
		d := max(1, int64((e.retryAt.Sub(n)+time.Second-1)/time.Second))
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(d, 10))
	}
	c.SetBody(e.body(n))
}

// statuses are the HTTP statuses of the router's failures.
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

// toAPIError converts the router's error to an error of the API. A request that failed at the
// backend servers without having run gets status 503 instead of 502.
func toAPIError(err error) *apiError {
	var f *entry.Failure
	if !errors.As(err, &f) {
		return &apiError{status: fasthttp.StatusBadGateway, code: string(entry.BackendFailed), kind: serverError, message: err.Error(), run: outcome.KindOf(err).String()}
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

// handleReadError responds to a request that fasthttp failed to read.
func (s *Server) handleReadError(c *fasthttp.RequestCtx, err error) {
	var b *fasthttp.ErrSmallBuffer
	var t interface{ Timeout() bool }
	e := invalid("", "the request can't be read: "+err.Error())
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		e.status, e.code, e.message = fasthttp.StatusRequestEntityTooLarge, codeBodyTooLarge, bodyTooLargeMessage
	case errors.As(err, &b):
		e.status, e.code, e.message = fasthttp.StatusRequestHeaderFieldsTooLarge, "headers_too_large", "the headers are larger than "+strconv.Itoa(maxHeaders)+" bytes"
	case errors.As(err, &t) && t.Timeout():
		e.status, e.code, e.message = fasthttp.StatusRequestTimeout, codeRequestTimeout, requestTimeoutMessage
	}
	s.writeError(c, *e)
	s.observe("unread", e.code, e.status, 0, "", "")
}
