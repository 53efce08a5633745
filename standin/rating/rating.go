// Package rating stands in for the platform's service that rates answers. It
// reads the quality that the engine stand-in wrote into its answer.
package rating

import (
	"encoding/json"
	"regexp"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"fieldvale/standin/fault"
	"fieldvale/standin/serve"
)

var quality = regexp.MustCompile(`q=([0-9.]+)`)

// Rating is the stand-in. It is safe for concurrent use.
type Rating struct {
	Faults *fault.Box
	// Work is the time of one rating.
	Work  time.Duration
	Count atomic.Int64
}

// New returns a rating service.
func New(work time.Duration) *Rating {
	return &Rating{Faults: &fault.Box{}, Work: work}
}

// Handle serves one request.
func (r *Rating) Handle(c *fasthttp.RequestCtx) {
	if string(c.Path()) == fault.Path {
		r.Faults.Handle(c)
		return
	}
	if !r.Faults.Before(c) {
		return
	}
	var q struct {
		Answer string `json:"answer"`
	}
	if err := json.Unmarshal(c.PostBody(), &q); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	time.Sleep(r.Work)
	r.Count.Add(1)
	f := 0.0
	if m := quality.FindStringSubmatch(q.Answer); m != nil {
		f, _ = strconv.ParseFloat(m[1], 64)
	}
	serve.JSON(c, map[string]float64{"rating": f})
}
