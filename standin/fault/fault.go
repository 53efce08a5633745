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

// Set is the faults of one fake server. The zero value injects none.
type Set struct {
	// Down closes the connection of each request without a response.
	Down bool
	// Slow delays the handling of each request.
	Slow time.Duration
	// DropAnswers handles the request and then closes the connection without
	// a response.
	DropAnswers bool
	// Limited rejects each request with status 429.
	Limited bool
	// Bad makes responses incorrect, in a way that each fake server defines.
	Bad bool
	// CutAfter truncates a stream after this many tokens; 0 disables it.
	CutAfter int
	// FailPart is the fraction of requests, from 0 to 1, that fail with
	// status 500.
	FailPart float64
}

// Box holds a Set that can be replaced at run time. It is safe for concurrent
// use.
type Box struct {
	mu sync.Mutex
	s  Set
}

// Get returns the current faults.
func (b *Box) Get() Set {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.s
}

// Put replaces the faults.
func (b *Box) Put(s Set) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.s = s
}

// Handle serves Path. The query parameters are the faults to set; faults that
// the query omits are cleared.
func (b *Box) Handle(c *fasthttp.RequestCtx) {
	a := c.QueryArgs()
	cutAfter, _ := strconv.Atoi(string(a.Peek("cut_after")))
	failPart, _ := strconv.ParseFloat(string(a.Peek("fail_part")), 64)
	delay, _ := time.ParseDuration(string(a.Peek("slow")))
	b.Put(Set{
		Down:        a.GetBool("down"),
		Slow:        delay,
		DropAnswers: a.GetBool("drop_answers"),
		Limited:     a.GetBool("limited"),
		Bad:         a.GetBool("bad"),
		CutAfter:    cutAfter,
		FailPart:    failPart,
	})
}

// Before applies the faults that take effect before a request is handled. It
// reports whether the handler should proceed.
func (b *Box) Before(c *fasthttp.RequestCtx) bool {
	s := b.Get()
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
func (b *Box) After(c *fasthttp.RequestCtx) {
	if b.Get().DropAnswers {
		closeConnection(c)
	}
}

// closeConnection closes the connection without a response.
func closeConnection(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(n net.Conn) { _ = n.Close() })
}
