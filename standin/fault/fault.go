// Package fault injects faults into the fake servers under standin while they
// run. Each fake server exposes Path as an HTTP endpoint to set its faults.
package fault

import (
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Path is the HTTP path on which a fake server accepts its faults.
const Path = "/standin/fault"

// Set is a set of faults of one fake server. The zero value has none.
type Set struct {
	// Down closes the connection of each request without a response.
	Down bool
	// Slow delays the handling of each request.
	Slow time.Duration
	// DropResponses handles the request and then closes the connection without
	// a response.
	DropResponses bool
	// Limited rejects each request with status 429.
	Limited bool
	// Bad makes responses incorrect, in a way that each fake server defines.
	Bad bool
	// TruncateAfter truncates a stream after this many tokens; 0 disables it.
	TruncateAfter int
	// FailFraction is the fraction of requests, from 0 to 1, that fail with
	// status 500.
	FailFraction float64
}

// Injector holds a Set that can be replaced at run time. It is safe for concurrent
// use.
type Injector struct {
	mu     sync.Mutex
	faults Set
}

// Get returns the current faults.
func (i *Injector) Get() Set {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// Put replaces the faults.
func (i *Injector) Put(s Set) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = s
}

// Handle serves Path. The query parameters are the faults to set; faults that
// the query omits are cleared.
func (i *Injector) Handle(c *fasthttp.RequestCtx) {
	a := c.QueryArgs()
	cutAfter, _ := strconv.Atoi(string(a.Peek("cut_after")))
	failPart, _ := strconv.ParseFloat(string(a.Peek("fail_part")), 64)
	delay, _ := time.ParseDuration(string(a.Peek("slow")))
	i.Put(Set{
		Down:          a.GetBool("down"),
		Slow:          delay,
		DropResponses: a.GetBool("drop_answers"),
		Limited:       a.GetBool("limited"),
		Bad:           a.GetBool("bad"),
		TruncateAfter: cutAfter,
		FailFraction:  failPart,
	})
}

// Before applies the faults that take effect before a request is handled. It
// reports whether the handler should proceed.
func (i *Injector) Before(c *fasthttp.RequestCtx) bool {
	s := i.Get()
	if s.Slow > 0 {
		time.Sleep(s.Slow)
	}
	if s.Down {
		closeConnection(c)
		return false
	}
	if s.Limited {
		c.SetStatusCode(fasthttp.StatusTooManyRequests)
		return false
	}
	return true
}

// After applies the faults that take effect once a request was handled.
func (i *Injector) After(c *fasthttp.RequestCtx) {
	if i.Get().DropResponses {
		closeConnection(c)
	}
}

// closeConnection closes the connection without a response.
func closeConnection(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(n net.Conn) { _ = n.Close() })
}
