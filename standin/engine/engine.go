// Package engine stands in for a model engine: it speaks the OpenAI API,
// works on a bounded number of requests at once, streams, resumes, reports
// its load and takes fenced orders. Its answers are made of the request, so
// that a test can tell whose answer it got, and carry a quality that the
// rating stand-in reads.
package engine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"fieldvale/standin/fault"
	"fieldvale/standin/serve"
)

// Model says how a version answers.
type Model struct {
	// Quality of the easiest request, and how much less the hardest gets.
	Quality float64
	Spread  float64
	// PerToken is the time of one token of an answer.
	PerToken time.Duration
	// Bad makes all answers worthless.
	Bad bool
}

// Settings of one engine.
type Settings struct {
	ID     string
	Slots  int
	Queue  int
	Models map[string]Model
	// ChecksFence makes it refuse orders with a lower fence than it has seen.
	ChecksFence bool
}

// Run is one request that the engine worked on.
type Run struct {
	Attempt string    `json:"attempt"`
	Model   string    `json:"model"`
	Marker  string    `json:"marker"`
	At      time.Time `json:"at"`
}

// Engine is one stand-in. It is safe for concurrent use.
type Engine struct {
	Settings
	Faults *fault.Box

	mu      sync.Mutex
	loaded  map[string]bool
	running int
	waiting int
	slots   chan struct{}
	fence   uint64
	leaving bool
	runs    []Run
	bad     map[string]bool
}

// New returns an engine with all its models loaded.
func New(s Settings) *Engine {
	e := &Engine{Settings: s, Faults: &fault.Box{}, loaded: map[string]bool{}, bad: map[string]bool{}, slots: make(chan struct{}, s.Slots)}
	for m := range s.Models {
		e.loaded[m] = true
	}
	return e
}

// Runs returns what the engine worked on.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// SetLeaving makes the engine refuse new work, as one that is going away.
func (e *Engine) SetLeaving(b bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = b
}

// SetBad makes a version's answers worthless from now on, or good again.
func (e *Engine) SetBad(model string, b bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bad[model] = b
}

// Handle serves one request.
func (e *Engine) Handle(c *fasthttp.RequestCtx) {
	p := string(c.Path())
	switch p {
	case fault.Path:
		e.Faults.Handle(c)
		return
	case "/standin/runs":
		serve.JSON(c, e.Runs())
		return
	case "/standin/bad":
		e.SetBad(string(c.QueryArgs().Peek("model")), c.QueryArgs().GetBool("bad"))
		return
	case "/standin/leaving":
		e.SetLeaving(c.QueryArgs().GetBool("leaving"))
		return
	}
	if !e.Faults.Before(c) {
		return
	}
	switch p {
	case "/load":
		e.load(c)
	case "/orders":
		e.order(c)
	case "/v1/chat/completions":
		e.chat(c)
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
	e.Faults.After(c)
}

func (e *Engine) load(c *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := []string{}
	for m := range e.loaded {
		v = append(v, m)
	}
	serve.JSON(c, map[string]any{"running": e.running, "waiting": e.waiting, "slots": e.Slots, "versions": v, "leaving": e.leaving})
}

// enter takes a place for the request, or says why there is none.
func (e *Engine) enter(model string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.leaving:
		return "leaving"
	case !e.loaded[model]:
		return "model not loaded"
	case e.waiting >= e.Queue:
		return "queue is full"
	}
	e.waiting++
	return ""
}

func (e *Engine) start(r Run) {
	e.slots <- struct{}{}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	e.running++
	r.At = time.Now()
	e.runs = append(e.runs, r)
}

func (e *Engine) stop() {
	<-e.slots
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// quality is that of the model's answer to the prompt.
func (e *Engine) quality(model, prompt string) float64 {
	e.mu.Lock()
	b := e.bad[model]
	e.mu.Unlock()
	m := e.Models[model]
	if b || m.Bad {
		return badQuality
	}
	const grain = 1000
	return m.Quality - m.Spread*float64(xxhash.Sum64String(prompt)%grain)/grain
}

// badQuality is that of answers of a version that turned bad.
const badQuality = 0.05
