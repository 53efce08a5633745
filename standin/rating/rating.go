// Package rating fakes the platform's service that rates answers. The rating
// is the quality that the fake of package engine wrote into its answer.
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

// qualityPattern matches the quality in an answer of package engine.
var qualityPattern = regexp.MustCompile(`q=([0-9.]+)`)

// Rating is a fake rating service. It is safe for concurrent use.
type Rating struct {
	Faults *fault.Injector
	// Work is the duration of one rating.
	Work time.Duration
	// Count is the number of ratings made.
	Count atomic.Int64
}

// New returns a rating service that takes work for each rating.
func New(work time.Duration) *Rating {
	return &Rating{Faults: &fault.Injector{}, Work: work}
}

// Handle serves one HTTP request.
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
	rated := 0.0
	if m := qualityPattern.FindStringSubmatch(q.Answer); m != nil {
		rated, _ = strconv.ParseFloat(m[1], 64)
	}
	serve.JSON(c, map[string]float64{"rating": rated})
}
