package backend_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fieldvale/adapter/backend"
	"fieldvale/adapter/httpconn"
	"fieldvale/entry"
	"fieldvale/notice"
	"fieldvale/outcome"
	"fieldvale/pool"
	"fieldvale/quota"
	"fieldvale/standin/engine"
	"fieldvale/standin/fault"
	"fieldvale/standin/serve"
	"fieldvale/standin/service"
	"fieldvale/version"
)

var small = version.New("small", "1")

func newEngine(t *testing.T) (*engine.Engine, *pool.Replica) {
	e := engine.New(engine.Settings{ID: "e", Slots: 2, Queue: 2, Models: map[string]engine.Model{"small@1": {Quality: 0.9}}})
	l, err := serve.On("127.0.0.1:0", e.Handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return e, &pool.Replica{ID: "e", Addr: l.Addr}
}

func attempt(resume int) entry.Attempt {
	return entry.Attempt{ID: "id-1", Version: small, Deadline: time.Now().Add(time.Minute), ResumeChunks: resume,
		Body: []byte(`{"model":"auto","temperature":0.5,"messages":[{"role":"user","content":"<mark> hello"}]}`)}
}

func TestEngineAnswers(t *testing.T) {
	_, r := newEngine(t)
	e := backend.NewEngines(httpconn.New())
	a, err := e.Chat(t.Context(), r, attempt(0))
	if err != nil || !strings.HasPrefix(a.Text, "<mark> small@1") || a.TokensOut == 0 {
		t.Fatalf("%+v, %v", a, err)
	}
	var b []string
	s, err := e.Stream(t.Context(), r, attempt(0), func(c []byte) error { b = append(b, string(c)); return nil })
	if err != nil || s.Text != a.Text {
		t.Fatalf("streamed %q, %v; want %q", s.Text, err, a.Text)
	}
	rest, err := e.Stream(t.Context(), r, attempt(3), func([]byte) error { return nil })
	if err != nil || !strings.HasSuffix(a.Text, rest.Text) || rest.Text == a.Text {
		t.Errorf("resumed %q, %v", rest.Text, err)
	}
}

func TestEngineFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		fault  fault.Set
		model  string
		want   outcome.Kind
		step   string
		stream bool
	}{
		{"another's answer", fault.Set{Bad: true}, "small", outcome.Unknown, "answer", false},
		{"another's stream", fault.Set{Bad: true}, "small", outcome.Unknown, "answer", true},
		{"cut stream", fault.Set{CutAfter: 2}, "small", outcome.Unknown, "stream", true},
		{"server error", fault.Set{FailPart: 1}, "small", outcome.Unknown, "answer", false},
		{"no answer", fault.Set{Down: true}, "small", outcome.Unknown, "read", false},
		{"answer lost", fault.Set{DropAnswers: true}, "small", outcome.Unknown, "read", false},
		{"not loaded", fault.Set{}, "large", outcome.NotRun, "refusal", false},
		{"not loaded, stream", fault.Set{}, "large", outcome.NotRun, "refusal", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, r := newEngine(t)
			x.Faults.Put(c.fault)
			a := attempt(0)
			a.Version = version.New(c.model, "1")
			e := backend.NewEngines(httpconn.New())
			var err error
			if c.stream {
				_, err = e.Stream(t.Context(), r, a, func([]byte) error { return nil })
			} else {
				_, err = e.Chat(t.Context(), r, a)
			}
			o, ok := err.(*outcome.Error)
			if !ok || o.Kind != c.want || o.Step != c.step {
				t.Errorf("%v, want %s at %s", err, c.want, c.step)
			}
		})
	}
}

// A stream that says its end without a finish reason is not whole.
func TestStreamWithoutFinishReason(t *testing.T) {
	for name, body := range map[string]string{
		"no finish":     `data: {"id":"id-1","model":"small@1","choices":[{"delta":{"content":"x"}}]}` + "\n\ndata: [DONE]\n\n",
		"no end":        `data: {"id":"id-1","model":"small@1","choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n",
		"another model": `data: {"id":"id-1","model":"small@2","choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n",
		"another id":    `data: {"id":"id-2","model":"small@1","choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n",
		"no JSON":       "data: {\n\ndata: [DONE]\n\n",
	} {
		l, err := serve.On("127.0.0.1:0", raw(body))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		_, err = backend.NewEngines(httpconn.New()).Stream(context.Background(), &pool.Replica{ID: "e", Addr: l.Addr}, attempt(0), func([]byte) error { return nil })
		if err == nil || outcome.Of(err) != outcome.Unknown {
			t.Errorf("%s: %v, want unknown", name, err)
		}
	}
}

func TestServiceCalls(t *testing.T) {
	s := service.New(0, false)
	l, err := serve.On("127.0.0.1:0", s.Handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	c := backend.NewServices(httpconn.New())
	r := &pool.Replica{ID: "s", Addr: l.Addr}
	k := entry.ServiceCall{Call: "confirm", IdempotencyKey: "k1", Body: []byte("rye"), ContentType: "text/plain", Deadline: time.Now().Add(time.Minute), Once: true}
	a, err := c.Call(t.Context(), r, k)
	if err != nil || !strings.Contains(string(a.Body), "rye") || s.Runs()["confirm/k1"] != 1 {
		t.Fatalf("%s, %v, runs %v", a.Body, err, s.Runs())
	}
	s.Faults.Put(fault.Set{DropAnswers: true})
	if _, err := c.Call(t.Context(), r, k); outcome.Of(err) != outcome.Unknown {
		t.Errorf("answer lost: %v, want unknown", err)
	}
	s.Faults.Put(fault.Set{Limited: true})
	if a, err := c.Call(t.Context(), r, k); err != nil || a.Status != 429 {
		t.Errorf("the service's own 429: %d, %v; want it passed on", a.Status, err)
	}
}

func raw(body string) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		c.Response.Header.Set("X-Request-Id", "id-1")
		c.SetBodyString(body)
	}
}

// words are what was heard of limits.
type words []string

func (w *words) Observe(_, replica string, x quota.LimitReport) {
	*w = append(*w, fmt.Sprint(replica, " ", x.HasLimit, " ", x.PerSecond))
}
func (w *words) Unreadable(replica string, _ error) { *w = append(*w, replica+" unreadable") }

// Each answer says what its backend server takes: whole ones, streams, errors, refusals, of
// engines and of plain services. One of another request says nothing, and a refusal without a
// figure does not end a limit.
func TestAnswersNameLimits(t *testing.T) {
	for _, c := range []struct {
		name, id, figure, want string
		status                 int
		notRun                 bool
	}{
		{"whole", "id-1", "2.5", "s true 2.5", 200, false},
		{"no limit", "id-1", "", "s false 0", 200, false},
		{"an error", "id-1", "0", "s true 0", 500, false},
		{"a refusal", "id-1", "2", "s true 2", 503, true},
		{"a refusal without a figure", "id-1", "", "", 503, true},
		{"another request's", "id-9", "2", "", 200, false},
		{"no figure", "id-1", "many", "s unreadable", 200, false},
	} {
		l, err := serve.On("127.0.0.1:0", func(x *fasthttp.RequestCtx) {
			x.Response.Header.Set("X-Request-Id", c.id)
			if c.figure != "" {
				x.Response.Header.Set(backend.HeaderLimit, c.figure)
			}
			if c.notRun {
				x.Response.Header.Set(backend.HeaderNotRun, "true")
			}
			x.SetStatusCode(c.status)
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		r := &pool.Replica{ID: "s", Addr: l.Addr}
		var chat, stream, call words
		_, _ = backend.NewEngines(httpconn.New()).WithLimits(&chat).Chat(t.Context(), r, attempt(0))
		_, _ = backend.NewEngines(httpconn.New()).WithLimits(&stream).Stream(t.Context(), r, attempt(0), func([]byte) error { return nil })
		_, _ = backend.NewServices(httpconn.New()).WithLimits(&call).Call(t.Context(), r, entry.ServiceCall{Call: "x", Deadline: time.Now().Add(time.Second)})
		for road, w := range map[string]words{"chat": chat, "stream": stream} {
			if g := strings.Join(w, ","); g != c.want {
				t.Errorf("%s, %s: %q, want %q", c.name, road, g, c.want)
			}
		}
		if want := c.want; c.id == "id-1" && strings.Join(call, ",") != want {
			t.Errorf("%s, call: %q, want %q", c.name, call, want)
		}
	}
}

// heeded is what was heard of backend servers themselves.
type heeded []string

func (h *heeded) Observe(n notice.Notice) {
	rest := time.Duration(0)
	if !n.BackoffUntil.IsZero() {
		rest = n.BackoffUntil.Sub(n.ReceivedAt)
	}
	*h = append(*h, fmt.Sprint(n.Replica, " ", n.Draining, " ", rest, " ", n.Refused))
}
func (h *heeded) Unreadable(replica, header string, _ error) {
	*h = append(*h, replica+" "+header+" unreadable")
}

func TestAnswersSayWhetherBackendServersLeaveOrRest(t *testing.T) {
	for _, c := range []struct {
		name, id, leaving, retryAfter, want string
		status                              int
		notRun                              bool
	}{
		{"whole", "id-1", "", "", "s false 0s false", 200, false},
		{"leaves", "id-1", "true", "", "s true 0s false", 200, false},
		{"an error, leaves", "id-1", "1", "", "s true 0s false", 500, false},
		{"a refusal, leaves and rests", "id-1", "true", "0.5", "s true 500ms true", 503, true},
		{"429 asks for no rest", "id-1", "", "3", "s false 0s true", 429, true},
		{"unreadable", "id-1", "soon", "later", "s X-Leaving unreadable,s Retry-After unreadable,s false 0s true", 503, true},
		{"another request's", "id-9", "true", "", "", 200, false},
	} {
		l, err := serve.On("127.0.0.1:0", func(x *fasthttp.RequestCtx) {
			x.Response.Header.Set("X-Request-Id", c.id)
			if c.leaving != "" {
				x.Response.Header.Set(backend.HeaderLeaving, c.leaving)
			}
			if c.retryAfter != "" {
				x.Response.Header.Set("Retry-After", c.retryAfter)
			}
			if c.notRun {
				x.Response.Header.Set(backend.HeaderNotRun, "true")
			}
			x.SetStatusCode(c.status)
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		r := &pool.Replica{ID: "s", Addr: l.Addr}
		var chat, stream, call heeded
		_, _ = backend.NewEngines(httpconn.New()).WithNotices(&chat).Chat(t.Context(), r, attempt(0))
		_, _ = backend.NewEngines(httpconn.New()).WithNotices(&stream).Stream(t.Context(), r, attempt(0), func([]byte) error { return nil })
		_, _ = backend.NewServices(httpconn.New()).WithNotices(&call).Call(t.Context(), r, entry.ServiceCall{Call: "x", Deadline: time.Now().Add(time.Second)})
		for road, h := range map[string]heeded{"chat": chat, "stream": stream} {
			if g := strings.Join(h, ","); g != c.want {
				t.Errorf("%s, %s: %q, want %q", c.name, road, g, c.want)
			}
		}
		if c.id == "id-1" && strings.Join(call, ",") != c.want {
			t.Errorf("%s, call: %q, want %q", c.name, call, c.want)
		}
	}
}
