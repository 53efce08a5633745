// Package fault holds the faults that the stand-ins can be given while they
// run, over a small control path of their own.
package fault

import (
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Path is where a stand-in takes its faults.
const Path = "/standin/fault"

// Set is what a stand-in does wrong. The zero value is sound.
type Set struct {
	// Down refuses everything by closing the connection.
	Down bool
	// Slow delays each answer.
	Slow time.Duration
	// DropAnswers does the work and closes the connection.
	DropAnswers bool
	// Limited refuses with status 429.
	Limited bool
	// Bad makes answers wrong, in a way of the stand-in's own.
	Bad bool
	// CutAfter ends a stream after so many tokens; 0 does not.
	CutAfter int
	// FailPart fails this part of requests with status 500, from 0 to 1.
	FailPart float64
}

// Box holds a Set that can be replaced while it is used.
type Box struct {
	mu sync.Mutex
	s  Set
}

// Get returns the faults in force.
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

// Handle serves Path: the query's fields are the faults, and those left out
// are cleared.
func (b *Box) Handle(c *fasthttp.RequestCtx) {
	a := c.QueryArgs()
	n, _ := strconv.Atoi(string(a.Peek("cut_after")))
	f, _ := strconv.ParseFloat(string(a.Peek("fail_part")), 64)
	d, _ := time.ParseDuration(string(a.Peek("slow")))
	b.Put(Set{
		Down:        a.GetBool("down"),
		Slow:        d,
		DropAnswers: a.GetBool("drop_answers"),
		Limited:     a.GetBool("limited"),
		Bad:         a.GetBool("bad"),
		CutAfter:    n,
		FailPart:    f,
	})
}

// Before applies the faults that come ahead of the work and reports whether
// the work should go on.
func (b *Box) Before(c *fasthttp.RequestCtx) bool {
	s := b.Get()
	if s.Slow > 0 {
		time.Sleep(s.Slow)
	}
	if s.Down {
		hangUp(c)
		return false
	}
	if s.Limited {
		c.SetStatusCode(fasthttp.StatusTooManyRequests)
		return false
	}
	return true
}

// After applies the faults that come behind the work.
func (b *Box) After(c *fasthttp.RequestCtx) {
	if b.Get().DropAnswers {
		hangUp(c)
	}
}

// hangUp closes the connection without an answer.
func hangUp(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(n net.Conn) { _ = n.Close() })
}
