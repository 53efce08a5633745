// Package caller serves the API to callers: chat completions in the form of
// the OpenAI API, the list of models, and plain services.
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

	"fieldvale/biller"
	"fieldvale/config"
	"fieldvale/entry"
	"fieldvale/session"
)

// Headers of the API beside those of HTTP and OpenAI.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderTask        = "X-Fieldvale-Task"
	HeaderTimeout     = "X-Fieldvale-Timeout-Ms"
	HeaderSession     = "X-Fieldvale-Session"
	HeaderMoved       = "X-Fieldvale-Session-Moved"
	HeaderModel       = "X-Fieldvale-Model"
	HeaderVersion     = "X-Fieldvale-Version"
	HeaderRevision    = "X-Fieldvale-Policy-Revision"
	HeaderBelowTarget = "X-Fieldvale-Below-Target"
	HeaderOnce        = "X-Fieldvale-Once"
	HeaderReplayed    = "X-Fieldvale-Replayed"
	HeaderKey         = "Idempotency-Key"
)

// Limits of what is read from a caller.
const (
	maxBody      = 1 << 20
	maxHeaders   = 16 << 10
	readTimeout  = 15 * time.Second
	idleTimeout  = 60 * time.Second
	writeTimeout = 30 * time.Second
	maxIDLength  = 128
	// maxTimeout bounds the time that a caller may ask for.
	maxTimeout = 10 * time.Minute
	// sessionLife is how long a token is honoured after its last use.
	sessionLife = 24 * time.Hour
)

// Observer is told of each answered request.
type Observer func(path, code string, status int, took time.Duration, requestID, customer string)

// Server is the caller API of one entry.
type Server struct {
	router  *entry.Router
	view    *entry.CurrentView
	clock   entry.Clock
	observe Observer
	ready   atomic.Bool
	http    *fasthttp.Server
}

// New returns a server; it is not ready until SetReady.
func New(r *entry.Router, v *entry.CurrentView, c entry.Clock, o Observer) *Server {
	s := &Server{router: r, view: v, clock: c, observe: o}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.badRequest,
		MaxRequestBodySize:           maxBody,
		ReadBufferSize:               maxHeaders,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		WriteTimeout:                 writeTimeout,
		CloseOnShutdown:              true,
		NoDefaultServerHeader:        true,
		DisablePreParseMultipartForm: true,
		Logger:                       quiet{},
	}
	return s
}

// quiet keeps fasthttp from writing lines of its own.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// SetReady says whether the balancer should send requests here.
func (s *Server) SetReady(b bool) { s.ready.Store(b) }

// Serve answers callers on the listener until Shutdown; with TLS if t is set.
func (s *Server) Serve(l net.Listener, t *tls.Config) error {
	if t != nil {
		l = tls.NewListener(l, t)
	}
	return errors.Wrap(s.http.Serve(l), "caller.Serve")
}

// Shutdown stops taking connections and waits until all requests, streams
// too, have their answers.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.http.ShutdownWithContext(ctx), "caller.Shutdown")
}

// servicePrefix is followed by the service and the call.
const servicePrefix = "/v1/services/"

func (s *Server) handle(c *fasthttp.RequestCtx) {
	defer s.recover(c)
	p := string(c.Path())
	switch {
	case p == "/healthz":
		c.SetBodyString("ok\n")
	case p == "/readyz":
		s.readiness(c)
	case p == "/v1/chat/completions" && c.IsPost():
		s.timed(c, "chat", s.chat)
	case p == "/v1/models" && c.IsGet():
		s.timed(c, "models", s.models)
	case strings.HasPrefix(p, servicePrefix) && c.IsPost():
		s.timed(c, "service", s.service)
	default:
		s.fail(c, apiError{status: fasthttp.StatusNotFound, code: "not_found", kind: invalidRequest, message: "no such path or method: " + string(c.Method()) + " " + p})
	}
}

// recover turns a fault of the server itself into an error of the API.
func (s *Server) recover(c *fasthttp.RequestCtx) {
	if x := recover(); x != nil {
		s.fail(c, apiError{status: fasthttp.StatusInternalServerError, code: "internal", kind: serverError, message: "internal fault"})
		s.observe("panic", "internal", fasthttp.StatusInternalServerError, 0, "", "")
	}
}

func (s *Server) readiness(c *fasthttp.RequestCtx) {
	if !s.ready.Load() || s.view.Get().Active == nil {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBodyString("not ready\n")
		return
	}
	c.SetBodyString("ready\n")
}

// call is one authenticated request.
type call struct {
	id       string
	caller   config.Caller
	active   *config.Active
	started  time.Time
	deadline time.Time
}

// timed authenticates and measures a request.
func (s *Server) timed(c *fasthttp.RequestCtx, path string, f func(*fasthttp.RequestCtx, *call) *apiError) {
	k := &call{started: s.clock(), id: requestID(c)}
	c.Response.Header.Set(HeaderRequestID, k.id)
	e := s.authenticate(c, k)
	if e == nil {
		e = f(c, k)
	}
	code := "ok"
	if e != nil {
		code = e.code
		s.fail(c, *e)
	}
	s.observe(path, code, c.Response.StatusCode(), s.clock().Sub(k.started), k.id, k.caller.Customer.Name)
}

// requestID is the caller's own id if it gave a usable one.
func requestID(c *fasthttp.RequestCtx) string {
	id := string(c.Request.Header.Peek(HeaderRequestID))
	if id == "" || len(id) > maxIDLength || !printable(id) || strings.HasPrefix(id, biller.MintedPrefix) {
		return biller.MintedPrefix + uuid.NewString()
	}
	return id
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

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

// setDeadline takes the caller's time or else the task's allowance.
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

// session opens the caller's token. One that can't be honoured is no error:
// the caller gets a new session.
func (s *Server) session(c *fasthttp.RequestCtx, k *call) session.Session {
	t := string(c.Request.Header.Peek(HeaderSession))
	if t != "" {
		x, err := k.active.Ring().Open(t, k.started)
		if err == nil && x.Customer == k.caller.Customer.Name {
			x.Expires = k.started.Add(sessionLife)
			return x
		}
	}
	return session.New(uuid.NewString(), k.caller.Customer.Name, k.started.Add(sessionLife))
}
