// Package engine fakes a model engine. It serves the OpenAI chat API with a
// bounded number of concurrent requests, streams answers, resumes streams,
// reports its load and accepts orders with fencing tokens. Its answers repeat the
// marker of the request, so that a test can check which request an answer belongs
// to, and contain a quality that the fake of package rating reads.
package engine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"fieldvale/standin/fault"
	"fieldvale/standin/serve"
)

// Model describes the answers of one model version.
type Model struct {
	// Quality is the quality of the answer to the easiest prompt.
	Quality float64
	// QualityRange is the difference between the qualities of the answers to the
	// easiest and to the hardest prompt.
	QualityRange float64
	// PerToken is the time that one token of an answer takes.
	PerToken time.Duration
	// Bad gives all answers badQuality.
	Bad bool
}

// Settings configures one engine.
type Settings struct {
	ID string
	// Slots is the number of requests that run concurrently.
	Slots int
	// QueueSize is the number of requests that may wait for a slot.
	QueueSize int
	// Models holds the versions by name; all are loaded at the start.
	Models map[string]Model
	// ChecksFencingToken makes the engine reject orders with a fencing token below the
	// highest one that it has received.
	ChecksFencingToken bool
	// ReportsLoad makes the answers of runs report the load.
	ReportsLoad bool
}

// Run is one request that the engine started. AttemptID is its X-Request-Id.
type Run struct {
	AttemptID string    `json:"attempt"`
	Model     string    `json:"model"`
	Marker    string    `json:"marker"`
	At        time.Time `json:"at"`
}

// Engine is a fake model engine. It is safe for concurrent use.
type Engine struct {
	Settings
	Faults *fault.Injector

	mu           sync.Mutex
	loaded       map[string]bool
	running      int
	queued       int
	slots        chan struct{}
	highestToken uint64
	draining     bool
	runs         []Run
	badModels    map[string]bool
}

// New returns an engine with all its models loaded.
func New(s Settings) *Engine {
	e := &Engine{Settings: s, Faults: &fault.Injector{}, loaded: map[string]bool{}, badModels: map[string]bool{}, slots: make(chan struct{}, s.Slots)}
	for m := range s.Models {
		e.loaded[m] = true
	}
	return e
}

// Runs returns the requests that the engine started, in order.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// SetDraining sets whether the engine is draining: it then rejects new requests.
func (e *Engine) SetDraining(b bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = b
}

// SetBad sets whether the model's answers have badQuality from now on.
func (e *Engine) SetBad(model string, b bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.badModels[model] = b
}

// Handle serves one HTTP request.
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
		e.SetDraining(c.QueryArgs().GetBool("leaving"))
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

// load serves /load, the load report.
func (e *Engine) load(c *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := []string{}
	for m := range e.loaded {
		v = append(v, m)
	}
	serve.JSON(c, map[string]any{"running": e.running, "waiting": e.queued, "slots": e.Slots, "versions": v, "leaving": e.draining})
}

// admit adds the request to the queue, or returns the reason for a rejection.
func (e *Engine) admit(model string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining:
		return "leaving"
	case !e.loaded[model]:
		return "model not loaded"
	case e.queued >= e.QueueSize:
		return "queue is full"
	}
	e.queued++
	return ""
}

// startRun waits for a free slot and records the run.
func (e *Engine) startRun(r Run) {
	e.slots <- struct{}{}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued--
	e.running++
	r.At = time.Now()
	e.runs = append(e.runs, r)
}

// reportLoad adds the load report, if any, to the answer of a run.
func (e *Engine) reportLoad(c *fasthttp.RequestCtx) {
	if !e.ReportsLoad {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	serve.ReportLoad(c, e.running, e.queued, e.Slots, 100)
}

// finishRun releases the slot of a run.
func (e *Engine) finishRun() {
	<-e.slots
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// quality returns the quality of the model's answer to the prompt. It depends on
// the model and the prompt alone.
func (e *Engine) quality(model, prompt string) float64 {
	e.mu.Lock()
	bad := e.badModels[model]
	e.mu.Unlock()
	m := e.Models[model]
	if bad || m.Bad {
		return badQuality
	}
	const grain = 1000
	return m.Quality - m.QualityRange*float64(xxhash.Sum64String(prompt)%grain)/grain
}

// badQuality is the quality of all answers of a bad version.
const badQuality = 0.05
