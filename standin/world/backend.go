package world

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"fieldvale/adapter/platform"
	"fieldvale/entry"
	"fieldvale/outcome"
	"fieldvale/pool"
	"fieldvale/version"
)

const (
	// chunksPerAnswer is the number of chunks of an answer.
	chunksPerAnswer = 6
	// chunkDuration is the time that one chunk takes, callDuration that of one
	// call of a plain service.
	chunkDuration = 20 * time.Millisecond
	callDuration  = 10 * time.Millisecond
	// maxQueued bounds the queue of a backend server.
	maxQueued = 16
)

// Defect is a fault in the answers of a backend server.
type Defect int

// The defects. CrossedAnswers and TruncatedAnswers return the errors that the
// adapters return when they detect these defects; the tests of the adapters cover
// the detection.
const (
	NoDefect Defect = iota
	// LateAnswers delays each answer by lateDelay, many times its normal duration.
	LateAnswers
	// CrossedAnswers fails each request like an answer that belongs to another request.
	CrossedAnswers
	// TruncatedAnswers ends a chat answer after half of its chunks.
	TruncatedAnswers
	// NoCapacity rejects all requests with status 429.
	NoCapacity
	// ServerErrors responds with status 500.
	ServerErrors
	// SlowAnswers takes half a minute for a chat answer, spread over its chunks.
	SlowAnswers
)

// slowChunkDuration is the additional time per chunk with SlowAnswers.
const slowChunkDuration = 5 * time.Second

// lateDelay is the delay of an answer with LateAnswers.
const lateDelay = 3 * time.Second

// Run is one request that a backend server started. At is the time at which the
// request arrived.
type Run struct {
	// Marker is the marker in the body of a chat request, or "call/body" of a call
	// of a plain service.
	Marker  string
	Version version.ID
	At      time.Time
	Backend string
}

// Backend is a fake backend server: a model engine or a replica of a plain
// service.
type Backend struct {
	Proc               *Proc
	Kind               pool.Kind
	Service            string
	Slots              int
	ChecksFencingToken bool

	mu              sync.Mutex
	loaded          map[version.ID]bool
	bad             map[version.ID]bool
	defect          Defect
	draining        bool
	reportsDisabled bool
	highestToken    uint64
	running         int
	queued          int
	slots           chan struct{}
	runs            []Run
	onStep          func(step string, p *Proc)
}

// AddEngine adds a model engine that has the versions v loaded.
func (w *World) AddEngine(id, dataCentre string, slots int, checksFencingToken bool, v ...version.ID) *Backend {
	b := w.addBackend(id, dataCentre, pool.Engine, slots)
	b.ChecksFencingToken = checksFencingToken
	for _, x := range v {
		b.loaded[x] = true
	}
	return b
}

// AddService adds a replica of a plain service.
func (w *World) AddService(id, dataCentre, service string, slots int) *Backend {
	b := w.addBackend(id, dataCentre, pool.Service, slots)
	b.Service = service
	return b
}

func (w *World) addBackend(id, dataCentre string, k pool.Kind, slots int) *Backend {
	b := &Backend{
		Proc: &Proc{Name: id, DataCentre: dataCentre}, Kind: k, Slots: slots, loaded: map[version.ID]bool{}, bad: map[version.ID]bool{},
		slots: make(chan struct{}, slots), onStep: w.step,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends = append(w.backends, b)
	return b
}

// Backends returns all backend servers.
func (w *World) Backends() []*Backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Backend(nil), w.backends...)
}

// Backend returns the backend server with that ID and panics if there is none.
func (w *World) Backend(id string) *Backend {
	for _, b := range w.Backends() {
		if b.Proc.Name == id {
			return b
		}
	}
	panic("world: no backend server " + id)
}

// update calls f with the backend server's lock held.
func (b *Backend) update(f func(b *Backend)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b)
}

// SetDefect sets the defect of all further answers.
func (b *Backend) SetDefect(d Defect) { b.update(func(b *Backend) { b.defect = d }) }

// SetDraining makes the backend server report that it is draining. It still
// accepts requests, so that a test detects requests that are sent to it.
func (b *Backend) SetDraining() { b.update(func(b *Backend) { b.draining = true }) }

// SetReportsDisabled sets whether the load reports fail.
func (b *Backend) SetReportsDisabled(m bool) { b.update(func(b *Backend) { b.reportsDisabled = m }) }

// SetBad sets whether a version's answers have the lowest quality.
func (b *Backend) SetBad(v version.ID, bad bool) { b.update(func(b *Backend) { b.bad[v] = bad }) }

// Runs returns the requests that the backend server started, in order.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// replica returns the backend server's entry in the platform's list.
func (b *Backend) replica() pool.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	return pool.Replica{
		ID: b.Proc.Name, Addr: b.Proc.Name, DataCentre: b.Proc.DataCentre, Kind: b.Kind, Service: b.Service,
		Slots: b.Slots, ChecksFencingToken: b.ChecksFencingToken, Draining: b.draining,
	}
}

// loadReport returns the current load, unless reports are disabled.
func (b *Backend) loadReport() (platform.EngineReport, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reportsDisabled {
		return platform.EngineReport{}, errors.Newf("world: load reports of %s are disabled", b.Proc.Name)
	}
	r := platform.EngineReport{Running: b.running, Waiting: b.queued, Slots: b.Slots, Draining: b.draining}
	for v := range b.loaded {
		r.Versions = append(r.Versions, v)
	}
	return r, nil
}

// unload runs an order to unload a version. A backend server that checks fencing
// tokens rejects a token below the highest one that it has received.
func (b *Backend) unload(v version.ID, fencingToken uint64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ChecksFencingToken && fencingToken < b.highestToken {
		return errors.Newf("world: fencing token %d is lower than %d, the highest received", fencingToken, b.highestToken)
	}
	b.highestToken = max(b.highestToken, fencingToken)
	delete(b.loaded, v)
	return nil
}

// refusal returns the error of a request that the backend server rejected without
// starting it.
func (b *Backend) refusal(status int, why string) error {
	return outcome.New(outcome.NotRun, "refusal", b.Proc.Name, errors.New(why)).WithStatus(status)
}

// enqueue adds a request to the queue or rejects it.
func (b *Backend) enqueue(v version.ID) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.Kind == pool.Engine && !b.loaded[v]:
		return b.refusal(503, "model not loaded")
	case b.defect == NoCapacity || b.queued >= maxQueued:
		return b.refusal(429, "queue is full")
	}
	b.queued++
	return nil
}

// startRun waits for a free slot and records the run. It returns the current
// defect.
func (b *Backend) startRun(ctx context.Context, r Run) (Defect, error) {
	r.At = time.Now()
	b.onStep(StepQueue, b.Proc)
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		b.mu.Lock()
		b.queued--
		b.mu.Unlock()
		return NoDefect, outcome.New(outcome.Unknown, "queue", b.Proc.Name, ctx.Err())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued--
	b.running++
	r.Backend = b.Proc.Name
	b.runs = append(b.runs, r)
	return b.defect, nil
}

// finishRun releases the slot of a run.
func (b *Backend) finishRun() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	<-b.slots
}

// defectError returns the error that an adapter returns for an answer with the
// defect, or nil if the answer shows none.
func (b *Backend) defectError(d Defect) error {
	switch d {
	case CrossedAnswers:
		return outcome.New(outcome.Unknown, "answer", b.Proc.Name, errors.New("answer belongs to another request"))
	case TruncatedAnswers:
		return outcome.New(outcome.Unknown, "stream", b.Proc.Name, errors.New("cut before its end"))
	case ServerErrors:
		return outcome.New(outcome.Unknown, "answer", b.Proc.Name, errors.New("status 500")).WithStatus(500)
	}
	return nil
}

// chat answers one chat request. sink receives the index and the text of each
// chunk; it is nil for an answer that is not streamed.
func (b *Backend) chat(ctx context.Context, a entry.Attempt, sink func(n int, t []byte) error) (entry.Answer, error) {
	if err := b.enqueue(a.Version); err != nil {
		return entry.Answer{}, err
	}
	m := markerOf(a.Body)
	d, err := b.startRun(ctx, Run{Marker: m, Version: a.Version})
	if err != nil {
		return entry.Answer{}, err
	}
	defer b.finishRun()
	if d == LateAnswers {
		time.Sleep(lateDelay)
	}
	t := b.answerChunks(a, m)
	for n := a.ResumeChunks; n < len(t); n++ {
		time.Sleep(chunkDuration)
		if d == SlowAnswers {
			time.Sleep(slowChunkDuration)
		}
		if err := b.Proc.waitWhilePaused(); err != nil {
			return entry.Answer{}, outcome.New(outcome.Unknown, "stream", b.Proc.Name, err)
		}
		if d == TruncatedAnswers && n == len(t)/2 {
			return entry.Answer{}, b.defectError(d)
		}
		if sink == nil {
			continue
		}
		if err := sink(n, []byte(t[n])); err != nil {
			return entry.Answer{}, err
		}
	}
	b.onStep(StepAnswerDone, b.Proc)
	x := strings.Join(t, "")
	return entry.Answer{Body: []byte(x), Text: x, TokensIn: 10, TokensOut: uint64(len(t))}, b.defectError(d)
}

// answerChunks returns the chunks of an answer. The first one has the request's
// marker, the version and the quality, which depends on the marker and the version.
func (b *Backend) answerChunks(a entry.Attempt, marker string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := 0.95 - 0.4*float64(xxhash.Sum64String(marker)%100)/100
	if strings.Contains(a.Version.Model, "large") {
		q = 0.95
	}
	if b.bad[a.Version] {
		q = 0.05
	}
	t := []string{fmt.Sprintf("<%s> %s q=%.2f", marker, a.Version, q)}
	for n := 1; n < chunksPerAnswer; n++ {
		t = append(t, fmt.Sprintf(" w%d", n))
	}
	return t
}

// IsCompleteAnswer reports whether the text is the complete answer to the request
// with the marker.
func IsCompleteAnswer(text, marker string) bool {
	return strings.HasPrefix(text, "<"+marker+"> ") && strings.HasSuffix(text, fmt.Sprintf(" w%d", chunksPerAnswer-1)) &&
		strings.Count(text, " w") == chunksPerAnswer-1
}

// ChatBody returns the body of a chat request with the marker.
func ChatBody(marker string) []byte {
	b, _ := json.Marshal(map[string]string{"marker": marker})
	return b
}

func markerOf(body []byte) string {
	var m map[string]string
	_ = json.Unmarshal(body, &m)
	return m["marker"]
}

// call answers one call of a plain service.
func (b *Backend) call(ctx context.Context, c entry.ServiceCall) (entry.ServiceAnswer, error) {
	if err := b.enqueue(version.ID{}); err != nil {
		return entry.ServiceAnswer{}, err
	}
	d, err := b.startRun(ctx, Run{Marker: c.Call + "/" + string(c.Body)})
	if err != nil {
		return entry.ServiceAnswer{}, err
	}
	defer b.finishRun()
	if d == LateAnswers {
		time.Sleep(lateDelay)
	}
	time.Sleep(callDuration)
	if err := b.Proc.waitWhilePaused(); err != nil {
		return entry.ServiceAnswer{}, outcome.New(outcome.Unknown, "call", b.Proc.Name, err)
	}
	b.onStep(StepAnswerDone, b.Proc)
	return entry.ServiceAnswer{Status: 200, Body: append([]byte("done "), c.Body...)}, b.defectError(d)
}

// OrderUnload orders the backend server to unload a version, with a fencing token.
func OrderUnload(b *Backend, v version.ID, fencingToken uint64) error {
	return b.unload(v, fencingToken)
}

// LoadVersion loads a version, as the platform does after an unload.
func LoadVersion(b *Backend, v version.ID) { b.update(func(b *Backend) { b.loaded[v] = true }) }
