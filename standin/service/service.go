// Package service fakes a plain service, such as a translation memory or an order
// service. It counts the runs of each idempotency key, so that a test can detect
// calls that were run twice.
package service

import (
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fieldvale/standin/fault"
	"fieldvale/standin/serve"
)

// Service is a fake service. It is safe for concurrent use.
type Service struct {
	// ChecksIdempotencyKey makes the service deduplicate calls by idempotency key: a second
	// call with the same key is answered without a second run.
	ChecksIdempotencyKey bool
	// Work is the duration of one call at the usual speed.
	Work time.Duration
	// Slots makes the answers report the load; 0 for no report. It does not limit the calls.
	Slots  int
	Faults *fault.Injector

	mu       sync.Mutex
	runs     map[string]int
	draining bool
	running  int
	// slowness is the duration of a call in percent of Work.
	slowness int
}

// New returns a service whose calls take work.
func New(work time.Duration, checksKey bool) *Service {
	return &Service{ChecksIdempotencyKey: checksKey, Work: work, Faults: &fault.Injector{}, runs: map[string]int{}, slowness: 100}
}

// Runs returns the number of runs by "call/key".
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		r[k] = n
	}
	return r
}

// Handle serves one HTTP request.
func (s *Service) Handle(c *fasthttp.RequestCtx) {
	switch p := string(c.Path()); p {
	case fault.Path:
		s.Faults.Handle(c)
	case "/standin/runs":
		serve.JSON(c, s.Runs())
	case "/standin/leaving":
		s.mu.Lock()
		s.draining = c.QueryArgs().GetBool("leaving")
		s.mu.Unlock()
	case "/standin/slowness":
		s.SetSlowness(c.QueryArgs().GetUintOrZero("percent"))
	case "/load":
		s.mu.Lock()
		defer s.mu.Unlock()
		serve.JSON(c, map[string]any{"leaving": s.draining})
	default:
		if s.Faults.Before(c) {
			s.call(c, strings.TrimPrefix(p, "/"))
			s.Faults.After(c)
		}
	}
}

// call runs one call. A draining service rejects it with the X-Not-Run header,
// which states that the call was not started.
func (s *Service) call(c *fasthttp.RequestCtx, call string) {
	k := call + "/" + string(c.Request.Header.Peek("Idempotency-Key"))
	s.mu.Lock()
	if s.draining {
		s.mu.Unlock()
		c.Response.Header.Set("X-Not-Run", "true")
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if !s.ChecksIdempotencyKey || s.runs[k] == 0 {
		s.runs[k]++
	}
	s.running++
	work := s.Work * time.Duration(s.slowness) / 100
	s.mu.Unlock()
	time.Sleep(work)
	s.finishCall(c)
	serve.JSON(c, map[string]any{"call": call, "key": string(c.Request.Header.Peek("Idempotency-Key")), "done": true, "echo": string(c.PostBody())})
}
