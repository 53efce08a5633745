package caller

import (
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fieldvale/adapter/socket"
	"fieldvale/body"
	"fieldvale/connlimit"
)

// markIdle marks connections that wait for their next request.
func markIdle(c net.Conn, s fasthttp.ConnState) {
	if s == fasthttp.StateIdle {
		socket.MarkIdle(c)
	}
}

// limitOf returns the limits of the request's connection. If there are none, nothing limits it.
func limitOf(c *fasthttp.RequestCtx) *connlimit.Conn {
	if l := socket.LimitOf(c.Conn()); l != nil {
		return l
	}
	return connlimit.Unlimited()
}

// readBody reads the request's body, which must arrive within the server's time to read a request.
func (s *Server) readBody(c *fasthttp.RequestCtx, k *call) *apiError {
	l := limitOf(c)
	err := l.BeginBody(k.started.Add(readTimeout))
	if r := c.RequestBodyStream(); err == nil && r != nil {
		k.body, err = body.Read(r, maxBody, l.Reserve)
	}
	if e := l.Err(); e != nil {
		err = e
	}
	if err == nil {
		err = l.EndBody()
	}
	if err == nil {
		return nil
	}
	c.SetConnectionClose()
	return s.bodyError(err)
}

// bodyError returns the error of a request whose body was not read.
func (s *Server) bodyError(err error) *apiError {
	e := invalid("", "the body can't be read: "+err.Error())
	var t net.Error
	switch {
	case errors.Is(err, body.ErrTooLong):
		e.status, e.code, e.message = fasthttp.StatusRequestEntityTooLarge, codeBodyTooLarge, bodyTooLargeMessage
	case errors.Is(err, connlimit.ErrNoRoom):
		e.status, e.code, e.kind, e.message, e.retryAt = fasthttp.StatusServiceUnavailable, "no_room", serverError, "no room for the request", s.clock().Add(connlimit.RetryAfter)
	case errors.Is(err, connlimit.ErrTooSlow), errors.As(err, &t) && t.Timeout():
		e.status, e.code, e.message = fasthttp.StatusRequestTimeout, codeRequestTimeout, requestTimeoutMessage
	}
	return e
}

// Errors of requests that fasthttp or readBody can't read.
const (
	codeBodyTooLarge      = "body_too_large"
	codeRequestTimeout    = "request_timeout"
	requestTimeoutMessage = "the request did not come in time"
)

// bodyTooLargeMessage is the message of errors with codeBodyTooLarge.
var bodyTooLargeMessage = "the body is larger than " + strconv.Itoa(maxBody) + " bytes"
