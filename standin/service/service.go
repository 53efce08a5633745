// Package service stands in for a plain service, such as a memory service or
// an order desk. It counts how often each key was run, which is where doubled
// work shows.
package service

import (
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fieldvale/standin/fault"
	"fieldvale/standin/serve"
)

// Service is one stand-in. It is safe for concurrent use.
type Service struct {
	// ChecksKey makes it answer a second call with a key as the first.
	ChecksKey bool
	// Work is the time of one call.
	Work   time.Duration
	Faults *fault.Box

	mu      sync.Mutex
	runs    map[string]int
	leaving bool
}

// New returns a service whose calls take the given time.
func New(work time.Duration, checksKey bool) *Service {
	return &Service{ChecksKey: checksKey, Work: work, Faults: &fault.Box{}, runs: map[string]int{}}
}

// Runs returns how often each "call/key" was run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		r[k] = n
	}
	return r
}

// Handle serves one request.
func (s *Service) Handle(c *fasthttp.RequestCtx) {
	switch p := string(c.Path()); p {
	case fault.Path:
		s.Faults.Handle(c)
	case "/standin/runs":
		serve.JSON(c, s.Runs())
	case "/standin/leaving":
		s.mu.Lock()
		s.leaving = c.QueryArgs().GetBool("leaving")
		s.mu.Unlock()
	case "/load":
		s.mu.Lock()
		defer s.mu.Unlock()
		serve.JSON(c, map[string]any{"leaving": s.leaving})
	default:
		if s.Faults.Before(c) {
			s.call(c, strings.TrimPrefix(p, "/"))
			s.Faults.After(c)
		}
	}
}

func (s *Service) call(c *fasthttp.RequestCtx, call string) {
	k := call + "/" + string(c.Request.Header.Peek("Idempotency-Key"))
	s.mu.Lock()
	if s.leaving {
		s.mu.Unlock()
		c.Response.Header.Set("X-Not-Run", "true")
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if !s.ChecksKey || s.runs[k] == 0 {
		s.runs[k]++
	}
	s.mu.Unlock()
	time.Sleep(s.Work)
	serve.JSON(c, map[string]any{"call": call, "key": string(c.Request.Header.Peek("Idempotency-Key")), "done": true, "echo": string(c.PostBody())})
}
