package service

import (
	"github.com/valyala/fasthttp"

	"fieldvale/standin/serve"
)

// SetSlowness sets the duration of further calls, in percent of Work.
func (s *Service) SetSlowness(percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowness = percent
}

// finishCall ends a call and adds the load report, which includes the call, to its answer.
func (s *Service) finishCall(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Slots > 0 {
		serve.ReportLoad(c, min(s.running, s.Slots), max(0, s.running-s.Slots), s.Slots, s.slowness)
	}
	s.running--
}
