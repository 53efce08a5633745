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
	// chunks is the length of a streamed answer.
	chunks = 6
	// perChunk is the time of one, and callWork that of a plain call.
	perChunk = 20 * time.Millisecond
	callWork = 10 * time.Millisecond
	// maxWaiting bounds an engine's queue.
	maxWaiting = 16
)

// Defect is what is wrong with a backend server's answers.
type Defect int

// The defects. Late answers come after the work's time many times over;
// crossed and truncated ones are reported as the adapters report them, whose
// own tests show that they do.
const (
	None Defect = iota
	Late
	Crossed
	Truncated
	// Full refuses all work for want of capacity.
	Full
	// Broken answers nothing but server errors.
	Broken
	// Slow takes half a minute for an answer, chunk by chunk.
	Slow
)

// slowChunk is the time of one chunk of a slow answer.
const slowChunk = 5 * time.Second

// lateBy is the delay of a late answer.
const lateBy = 3 * time.Second

// Run is one piece of work that a backend server started. At is when the
// request reached it.
type Run struct {
	// Marker is the request's own mark, or "call/key" of a plain call.
	Marker  string
	Version version.ID
	At      time.Time
	Backend string
}

// Backend is a model engine or the replica of a plain service.
type Backend struct {
	Proc        *Proc
	Kind        pool.Kind
	Service     string
	Slots       int
	ChecksFence bool

	mu      sync.Mutex
	loaded  map[version.ID]bool
	bad     map[version.ID]bool
	defect  Defect
	leaving bool
	mute    bool
	fence   uint64
	running int
	waiting int
	slots   chan struct{}
	runs    []Run
	hook    func(step string, p *Proc)
}

// AddEngine adds a model engine with the versions loaded.
func (w *World) AddEngine(id, site string, slots int, checksFence bool, v ...version.ID) *Backend {
	b := w.add(id, site, pool.Engine, slots)
	b.ChecksFence = checksFence
	for _, x := range v {
		b.loaded[x] = true
	}
	return b
}

// AddService adds a replica of a plain service.
func (w *World) AddService(id, site, service string, slots int) *Backend {
	b := w.add(id, site, pool.Service, slots)
	b.Service = service
	return b
}

func (w *World) add(id, site string, k pool.Kind, slots int) *Backend {
	b := &Backend{
		Proc: &Proc{Name: id, Site: site}, Kind: k, Slots: slots, loaded: map[version.ID]bool{}, bad: map[version.ID]bool{},
		slots: make(chan struct{}, slots), hook: w.hook,
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

// Backend returns the one of that id.
func (w *World) Backend(id string) *Backend {
	for _, b := range w.Backends() {
		if b.Proc.Name == id {
			return b
		}
	}
	panic("world: no backend server " + id)
}

// Set changes the backend server under its lock.
func (b *Backend) Set(f func(b *Backend)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b)
}

// SetDefect makes answers wrong from now on.
func (b *Backend) SetDefect(d Defect) { b.Set(func(b *Backend) { b.defect = d }) }

// SetLeaving makes the backend server say that it leaves. It goes on taking
// what it is sent, so that a test sees who still sends.
func (b *Backend) SetLeaving() { b.Set(func(b *Backend) { b.leaving = true }) }

// SetMute stops its load reports.
func (b *Backend) SetMute(m bool) { b.Set(func(b *Backend) { b.mute = m }) }

// SetBad makes a version's answers worthless.
func (b *Backend) SetBad(v version.ID, bad bool) { b.Set(func(b *Backend) { b.bad[v] = bad }) }

// Runs returns the work that was started.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

func (b *Backend) replica() pool.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	return pool.Replica{
		ID: b.Proc.Name, Addr: b.Proc.Name, DataCentre: b.Proc.Site, Kind: b.Kind, Service: b.Service,
		Slots: b.Slots, ChecksFencingToken: b.ChecksFence, Draining: b.leaving,
	}
}

func (b *Backend) report() (platform.Report, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mute {
		return platform.Report{}, errors.New("world: no report")
	}
	r := platform.Report{Running: b.running, Waiting: b.waiting, Slots: b.Slots, Leaving: b.leaving}
	for v := range b.loaded {
		r.Versions = append(r.Versions, v)
	}
	return r, nil
}

func (b *Backend) unload(v version.ID, fence uint64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ChecksFence && fence < b.fence {
		return errors.New("world: fence is lower than one seen")
	}
	b.fence = max(b.fence, fence)
	delete(b.loaded, v)
	return nil
}

// refusal is the backend server's word that it did not start the work.
func (b *Backend) refusal(status int, why string) error {
	return outcome.New(outcome.NotRun, "refusal", b.Proc.Name, errors.New(why)).WithStatus(status)
}

// enter takes a place or refuses.
func (b *Backend) enter(v version.ID) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.Kind == pool.Engine && !b.loaded[v]:
		return b.refusal(503, "model not loaded")
	case b.defect == Full || b.waiting >= maxWaiting:
		return b.refusal(429, "queue is full")
	}
	b.waiting++
	return nil
}

// begin waits for a slot and notes the work.
func (b *Backend) begin(ctx context.Context, r Run) (Defect, error) {
	r.At = time.Now()
	b.hook(StepQueue, b.Proc)
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
		return None, outcome.New(outcome.Unknown, "queue", b.Proc.Name, ctx.Err())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	b.running++
	r.Backend = b.Proc.Name
	b.runs = append(b.runs, r)
	return b.defect, nil
}

func (b *Backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	<-b.slots
}

// wrong is the error by which an adapter reports a defect that shows in the
// answer.
func (b *Backend) wrong(d Defect) error {
	switch d {
	case Crossed:
		return outcome.New(outcome.Unknown, "answer", b.Proc.Name, errors.New("answer belongs to another request"))
	case Truncated:
		return outcome.New(outcome.Unknown, "stream", b.Proc.Name, errors.New("cut before its end"))
	case Broken:
		return outcome.New(outcome.Unknown, "answer", b.Proc.Name, errors.New("status 500")).WithStatus(500)
	}
	return nil
}

// chat works on one chat request. sink is nil for an answer that is not
// streamed.
func (b *Backend) chat(ctx context.Context, a entry.Attempt, sink func(n int, t []byte) error) (entry.Answer, error) {
	if err := b.enter(a.Version); err != nil {
		return entry.Answer{}, err
	}
	m := markerOf(a.Body)
	d, err := b.begin(ctx, Run{Marker: m, Version: a.Version})
	if err != nil {
		return entry.Answer{}, err
	}
	defer b.end()
	if d == Late {
		time.Sleep(lateBy)
	}
	t := b.tokens(a, m)
	for n := a.ResumeChunks; n < len(t); n++ {
		time.Sleep(perChunk)
		if d == Slow {
			time.Sleep(slowChunk)
		}
		if err := b.Proc.gate(); err != nil {
			return entry.Answer{}, outcome.New(outcome.Unknown, "stream", b.Proc.Name, err)
		}
		if d == Truncated && n == len(t)/2 {
			return entry.Answer{}, b.wrong(d)
		}
		if sink == nil {
			continue
		}
		if err := sink(n, []byte(t[n])); err != nil {
			return entry.Answer{}, err
		}
	}
	b.hook(StepEnd, b.Proc)
	x := strings.Join(t, "")
	return entry.Answer{Body: []byte(x), Text: x, TokensIn: 10, TokensOut: uint64(len(t))}, b.wrong(d)
}

func (b *Backend) tokens(a entry.Attempt, marker string) []string {
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
	for n := 1; n < chunks; n++ {
		t = append(t, fmt.Sprintf(" w%d", n))
	}
	return t
}

// WholeAnswer reports whether the text is the whole answer to the marker.
func WholeAnswer(text, marker string) bool {
	return strings.HasPrefix(text, "<"+marker+"> ") && strings.HasSuffix(text, fmt.Sprintf(" w%d", chunks-1)) &&
		strings.Count(text, " w") == chunks-1
}

// Body is a chat request's body with the marker in it.
func Body(marker string) []byte {
	b, _ := json.Marshal(map[string]string{"marker": marker})
	return b
}

func markerOf(body []byte) string {
	var m map[string]string
	_ = json.Unmarshal(body, &m)
	return m["marker"]
}

// call works on one call of a plain service.
func (b *Backend) call(ctx context.Context, c entry.ServiceCall) (entry.ServiceAnswer, error) {
	if err := b.enter(version.ID{}); err != nil {
		return entry.ServiceAnswer{}, err
	}
	d, err := b.begin(ctx, Run{Marker: c.Call + "/" + string(c.Body)})
	if err != nil {
		return entry.ServiceAnswer{}, err
	}
	defer b.end()
	if d == Late {
		time.Sleep(lateBy)
	}
	time.Sleep(callWork)
	if err := b.Proc.gate(); err != nil {
		return entry.ServiceAnswer{}, outcome.New(outcome.Unknown, "call", b.Proc.Name, err)
	}
	b.hook(StepEnd, b.Proc)
	return entry.ServiceAnswer{Status: 200, Body: append([]byte("done "), c.Body...)}, b.wrong(d)
}

// Order gives the backend server an order to unload a version.
func Order(b *Backend, v version.ID, fence uint64) error { return b.unload(v, fence) }

// Load loads a version again, as its platform would.
func Load(b *Backend, v version.ID) { b.Set(func(b *Backend) { b.loaded[v] = true }) }
