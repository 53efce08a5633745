// Package caller serves the HTTP API for callers: chat completions and the list of models
// in the form of the OpenAI API, and calls of plain services.
package caller

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"fieldvale/adapter/socket"
	"fieldvale/biller"
	"fieldvale/config"
	"fieldvale/connlimit"
	"fieldvale/entry"
	"fieldvale/session"
)

// Headers of the API in addition to those of HTTP and of the OpenAI API.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderTask           = "X-Fieldvale-Task"
	HeaderTimeout        = "X-Fieldvale-Timeout-Ms"
	HeaderSession        = "X-Fieldvale-Session"
	HeaderSessionMoved   = "X-Fieldvale-Session-Moved"
	HeaderModel          = "X-Fieldvale-Model"
	HeaderVersion        = "X-Fieldvale-Version"
	HeaderPolicyRevision = "X-Fieldvale-Policy-Revision"
	HeaderBelowTarget    = "X-Fieldvale-Below-Target"
	HeaderOnce           = "X-Fieldvale-Once"
	HeaderReplayed       = "X-Fieldvale-Replayed"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Limits on requests and connections of callers.
const (
	maxBody      = 1 << 20
	maxHeaders   = 16 << 10
	readTimeout  = 15 * time.Second
	idleTimeout  = 60 * time.Second
	writeTimeout = 30 * time.Second
	maxIDLength  = 128
	// maxTimeout bounds the timeout that a caller may set for its request.
	maxTimeout = 10 * time.Minute
	// sessionTTL is how long a session's token is valid after its last use.
	sessionTTL = 24 * time.Hour
)

// Observer is called for each request that was handled or couldn't be read, and for each
// stream that ends with an error.
type Observer func(path, code string, status int, took time.Duration, requestID, customer string)

// Server serves the caller API of one entry.
type Server struct {
	router  *entry.Router
	view    *entry.CurrentView
	clock   entry.Clock
	observe Observer
	limiter *connlimit.Limiter
	ready   atomic.Bool
	http    *fasthttp.Server
}

// New returns a server that is not ready until SetReady(true). It keeps connections within the limits of l.
func New(r *entry.Router, v *entry.CurrentView, c entry.Clock, o Observer, l *connlimit.Limiter) *Server {
	s := &Server{router: r, view: v, clock: c, observe: o, limiter: l}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.handleReadError,
		MaxRequestBodySize:           maxBody,
		StreamRequestBody:            true,
		ConnState:                    markIdle,
		ReadBufferSize:               maxHeaders,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		WriteTimeout:                 writeTimeout,
		CloseOnShutdown:              true,
		NoDefaultServerHeader:        true,
		DisablePreParseMultipartForm: true,
		Logger:                       discardLogger{},
	}
	return s
}

// discardLogger drops fasthttp's log lines.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// SetReady sets whether /readyz reports that the load balancer may send requests here.
func (s *Server) SetReady(b bool) { s.ready.Store(b) }

// Serve serves callers on the listener until Shutdown. It uses TLS if t is not nil.
func (s *Server) Serve(l net.Listener, t *tls.Config) error {
	l = socket.Limited(l, s.limiter)
	if t != nil {
		l = tls.NewListener(l, t)
	}
	return errors.Wrap(s.http.Serve(l), "caller.Serve")
}

// Shutdown stops accepting connections and waits until the responses to all requests, streams
// included, are complete or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.http.ShutdownWithContext(ctx), "caller.Shutdown")
}

// servicePrefix is the start of the path /v1/services/SERVICE/CALL.
const servicePrefix = "/v1/services/"

func (s *Server) handle(c *fasthttp.RequestCtx) {
	defer s.recoverPanic(c)
	p := string(c.Path())
	switch {
	case p == "/healthz":
		c.SetBodyString("ok\n")
	case p == "/readyz":
		s.readiness(c)
	case p == "/v1/chat/completions" && c.IsPost():
		s.serveCall(c, "chat", s.chat)
	case p == "/v1/models" && c.IsGet():
		s.serveCall(c, "models", s.models)
	case strings.HasPrefix(p, servicePrefix) && c.IsPost():
		s.serveCall(c, "service", s.service)
	default:
		s.writeError(c, apiError{status: fasthttp.StatusNotFound, code: "not_found", kind: invalidRequest, message: "no such path or method: " + string(c.Method()) + " " + p})
	}
}

// recoverPanic responds to a request whose handler panicked with an internal error.
func (s *Server) recoverPanic(c *fasthttp.RequestCtx) {
	if x := recover(); x != nil {
		s.writeError(c, apiError{status: fasthttp.StatusInternalServerError, code: "internal", kind: serverError, message: "internal fault"})
		s.observe("panic", "internal", fasthttp.StatusInternalServerError, 0, "", "")
	}
}

// readiness handles /readyz. The server is ready after SetReady(true) if a configuration is
// in force.
func (s *Server) readiness(c *fasthttp.RequestCtx) {
	if !s.ready.Load() || s.view.Get().Active == nil {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBodyString("not ready\n")
		return
	}
	c.SetBodyString("ready\n")
}

// call is the state of one request.
type call struct {
	id       string
	caller   config.Caller
	active   *config.Compiled
	started  time.Time
	deadline time.Time
	body     []byte
}

// serveCall authenticates a request, runs its handler f, and reports the result and duration
// to the observer.
func (s *Server) serveCall(c *fasthttp.RequestCtx, path string, f func(*fasthttp.RequestCtx, *call) *apiError) {
	k := &call{started: s.clock(), id: requestID(c)}
	c.Response.Header.Set(HeaderRequestID, k.id)
	e := s.authenticate(c, k)
	if e == nil {
		e = s.readBody(c, k)
	}
	if e == nil {
		e = f(c, k)
	}
	code := "ok"
	if e != nil {
		code = e.code
		s.writeError(c, *e)
	}
	s.observe(path, code, c.Response.StatusCode(), s.clock().Sub(k.started), k.id, k.caller.Customer.Name)
}

// requestID returns the caller's request id if it is valid, else a new one. An id with
// biller.GeneratedIDPrefix is not valid, since the prefix marks generated ids.
func requestID(c *fasthttp.RequestCtx) string {
	id := string(c.Request.Header.Peek(HeaderRequestID))
	if id == "" || len(id) > maxIDLength || !printable(id) || strings.HasPrefix(id, biller.GeneratedIDPrefix) {
		return biller.GeneratedIDPrefix + uuid.NewString()
	}
	return id
}

// printable reports whether s is printable ASCII without spaces.
func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// authenticate sets the call's configuration, and its caller from the API key.
func (s *Server) authenticate(c *fasthttp.RequestCtx, k *call) *apiError {
	k.active = s.view.Get().Active
	if k.active == nil {
		return &apiError{status: fasthttp.StatusServiceUnavailable, code: string(entry.NotReady), kind: serverError, message: "no configuration is in force yet", run: notRun, retryAt: s.clock().Add(time.Second)}
	}
	key, ok := strings.CutPrefix(string(c.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if ok {
		k.caller, ok = k.active.Caller(key)
	}
	if !ok {
		return &apiError{status: fasthttp.StatusUnauthorized, code: "invalid_api_key", kind: authentication, message: "the API key is missing or wrong", run: notRun}
	}
	return nil
}

// setDeadline sets the call's deadline from the caller's timeout header, or else from the
// task's allowance.
func (s *Server) setDeadline(c *fasthttp.RequestCtx, k *call, task string) *apiError {
	t := string(c.Request.Header.Peek(HeaderTimeout))
	if t == "" {
		k.deadline = k.started.Add(k.active.Task(k.caller.Team, task).Allowance)
		return nil
	}
	n, err := strconv.Atoi(t)
	d := time.Duration(n) * time.Millisecond
	if err != nil || d <= 0 || d > maxTimeout {
		return invalid(HeaderTimeout, HeaderTimeout+" is not a number of milliseconds up to ten minutes")
	}
	k.deadline = k.started.Add(d)
	return nil
}

// session returns the session of the caller's token with a renewed expiry. Without a token, or
// if it is invalid, expired or another customer's, it returns a new session and no error.
func (s *Server) session(c *fasthttp.RequestCtx, k *call) session.Session {
	t := string(c.Request.Header.Peek(HeaderSession))
	if t != "" {
		x, err := k.active.SessionKeys().Verify(t, k.started)
		if err == nil && x.Customer == k.caller.Customer.Name {
			x.Expires = k.started.Add(sessionTTL)
			return x
		}
	}
	return session.New(uuid.NewString(), k.caller.Customer.Name, k.started.Add(sessionTTL))
}
