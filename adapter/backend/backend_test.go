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
	e := engine.New(engine.Settings{ID: "e", Slots: 2, QueueSize: 2, Models: map[string]engine.Model{"small@1": {Quality: 0.9}}})
	l, err := serve.Listen("127.0.0.1:0", e.Handle)
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

// A streamed response must have the same text as one that isn't streamed, and a resumed
// stream must leave out the chunks that were received before, or the caller's text would
// have parts twice.
func TestEngineResponses(t *testing.T) {
	_, r := newEngine(t)
	e := backend.NewEngines(httpconn.New())
	a, err := e.Chat(t.Context(), r, attempt(0))
	if err != nil || !strings.HasPrefix(a.Text, "<mark> small@1") || a.TokensOut == 0 {
		t.Fatalf("got answer %+v and error %v, want a text of small@1 that starts with <mark>, its token count and no error", a, err)
	}
	var b []string
	s, err := e.Stream(t.Context(), r, attempt(0), func(c []byte) error { b = append(b, string(c)); return nil })
	if err != nil || s.Text != a.Text {
		t.Fatalf("streamed: got text %q and error %v, want text %q and no error", s.Text, err, a.Text)
	}
	rest, err := e.Stream(t.Context(), r, attempt(3), func([]byte) error { return nil })
	if err != nil || !strings.HasSuffix(a.Text, rest.Text) || rest.Text == a.Text {
		t.Errorf("resumed: got text %q and error %v, want a proper suffix of the complete text and no error", rest.Text, err)
	}
}

// A failure must be NotRun only if the engine states that it did not start the request: a
// failure of another kind that is taken for it would run the request twice.
func TestEngineFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		fault  fault.Set
		model  string
		want   outcome.Kind
		step   string
		stream bool
	}{
		{"response to another request", fault.Set{Bad: true}, "small", outcome.Unknown, "answer", false},
		{"stream of another request", fault.Set{Bad: true}, "small", outcome.Unknown, "answer", true},
		{"cut stream", fault.Set{TruncateAfter: 2}, "small", outcome.Unknown, "stream", true},
		{"server error", fault.Set{FailFraction: 1}, "small", outcome.Unknown, "answer", false},
		{"no response", fault.Set{Down: true}, "small", outcome.Unknown, "read", false},
		{"lost response", fault.Set{DropResponses: true}, "small", outcome.Unknown, "read", false},
		{"model not loaded", fault.Set{}, "large", outcome.NotRun, "refusal", false},
		{"model not loaded, stream", fault.Set{}, "large", outcome.NotRun, "refusal", true},
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
				t.Errorf("got error %v, want outcome %s in step %s", err, c.want, c.step)
			}
		})
	}
}

// An incomplete stream must not be returned as a complete answer: one without a finish
// reason or an end marker, with chunks of another model or request, or with invalid JSON.
func TestIncompleteStreams(t *testing.T) {
	for name, body := range map[string]string{
		"no finish reason": `data: {"id":"id-1","model":"small@1","choices":[{"delta":{"content":"x"}}]}` + "\n\ndata: [DONE]\n\n",
		"no end marker":    `data: {"id":"id-1","model":"small@1","choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n",
		"another model":    `data: {"id":"id-1","model":"small@2","choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n",
		"another id":       `data: {"id":"id-2","model":"small@1","choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n",
		"invalid JSON":     "data: {\n\ndata: [DONE]\n\n",
	} {
		l, err := serve.Listen("127.0.0.1:0", respondWith(body))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		_, err = backend.NewEngines(httpconn.New()).Stream(context.Background(), &pool.Replica{ID: "e", Addr: l.Addr}, attempt(0), func([]byte) error { return nil })
		if err == nil || outcome.KindOf(err) != outcome.Unknown {
			t.Errorf("%s: got error %v, want outcome Unknown", name, err)
		}
	}
}

// A lost response must have the outcome Unknown, since the service may have run the call,
// and a service's own status 429 must reach the caller.
func TestServiceCalls(t *testing.T) {
	s := service.New(0, false)
	l, err := serve.Listen("127.0.0.1:0", s.Handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	c := backend.NewServices(httpconn.New())
	r := &pool.Replica{ID: "s", Addr: l.Addr}
	k := entry.ServiceCall{Call: "confirm", IdempotencyKey: "k1", Body: []byte("rye"), ContentType: "text/plain", Deadline: time.Now().Add(time.Minute), Once: true}
	a, err := c.Call(t.Context(), r, k)
	if err != nil || !strings.Contains(string(a.Body), "rye") || s.Runs()["confirm/k1"] != 1 {
		t.Fatalf("got body %s, error %v and runs %v, want a body with rye, no error and one run of confirm/k1", a.Body, err, s.Runs())
	}
	s.Faults.Put(fault.Set{DropResponses: true})
	if _, err := c.Call(t.Context(), r, k); outcome.KindOf(err) != outcome.Unknown {
		t.Errorf("lost response: got error %v, want outcome Unknown", err)
	}
	s.Faults.Put(fault.Set{Limited: true})
	if a, err := c.Call(t.Context(), r, k); err != nil || a.Status != 429 {
		t.Errorf("the service's own status 429: got status %d and error %v, want status 429 and no error", a.Status, err)
	}
}

// respondWith returns a handler that sends the body as the response to request id-1.
func respondWith(body string) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		c.Response.Header.Set("X-Request-Id", "id-1")
		c.SetBodyString(body)
	}
}

// limitRecorder records the observed limits as texts.
type limitRecorder []string

func (w *limitRecorder) Observe(_, replica string, x quota.LimitReport) {
	*w = append(*w, fmt.Sprint(replica, " ", x.HasLimit, " ", x.PerSecond))
}
func (w *limitRecorder) ObserveRejectionLimit(_, replica string, x quota.LimitReport) {
	if x.HasLimit {
		*w = append(*w, fmt.Sprint(replica, " rejects ", x.PerSecond))
	}
}
func (w *limitRecorder) LogInvalidLimit(replica string, _ error) {
	*w = append(*w, replica+" unreadable")
}

// A limit must be observed in every kind of response: complete ones, streams, errors and
// refusals, of engines and of plain services. A response to another request must be ignored,
// and a refusal without a limit must not end one.
func TestResponsesAdvertiseLimits(t *testing.T) {
	for _, c := range []struct {
		name, id, limit, want string
		status                int
		notRun                bool
	}{
		{"complete", "id-1", "2.5", "s true 2.5", 200, false},
		{"no limit", "id-1", "", "s false 0", 200, false},
		{"an error", "id-1", "0", "s true 0", 500, false},
		{"a refusal", "id-1", "2", "s true 2", 503, true},
		{"a refusal without a limit", "id-1", "", "", 503, true},
		{"response to another request", "id-9", "2", "", 200, false},
		{"not a number", "id-1", "many", "s unreadable", 200, false},
	} {
		l, err := serve.Listen("127.0.0.1:0", func(x *fasthttp.RequestCtx) {
			x.Response.Header.Set("X-Request-Id", c.id)
			if c.limit != "" {
				x.Response.Header.Set(backend.HeaderLimit, c.limit)
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
		var chat, stream, call limitRecorder
		_, _ = backend.NewEngines(httpconn.New()).WithLimits(&chat).Chat(t.Context(), r, attempt(0))
		_, _ = backend.NewEngines(httpconn.New()).WithLimits(&stream).Stream(t.Context(), r, attempt(0), func([]byte) error { return nil })
		_, _ = backend.NewServices(httpconn.New()).WithLimits(&call).Call(t.Context(), r, entry.ServiceCall{Call: "x", Deadline: time.Now().Add(time.Second)})
		for method, w := range map[string]limitRecorder{"chat": chat, "stream": stream} {
			if g := strings.Join(w, ","); g != c.want {
				t.Errorf("%s, %s: got %q, want %q", c.name, method, g, c.want)
			}
		}
		if want := c.want; c.id == "id-1" && strings.Join(call, ",") != want {
			t.Errorf("%s, call: got %q, want %q", c.name, call, want)
		}
	}
}

// noticeRecorder records the observed notices as texts.
type noticeRecorder []string

func (h *noticeRecorder) Observe(n notice.Notice) {
	backoff := time.Duration(0)
	if !n.BackoffUntil.IsZero() {
		backoff = n.BackoffUntil.Sub(n.ReceivedAt)
	}
	*h = append(*h, fmt.Sprint(n.Replica, " ", n.Draining, " ", backoff, " ", n.Refused))
}
func (h *noticeRecorder) LogInvalidHeader(replica, header string, _ error) {
	*h = append(*h, replica+" "+header+" unreadable")
}

// Draining must be observed in every kind of response, and a requested backoff only with
// status 503. A response to another request must be ignored.
func TestResponsesReportDrainingAndBackoff(t *testing.T) {
	for _, c := range []struct {
		name, id, draining, retryAfter, want string
		status                               int
		notRun                               bool
	}{
		{"complete", "id-1", "", "", "s false 0s false", 200, false},
		{"draining", "id-1", "true", "", "s true 0s false", 200, false},
		{"an error, draining", "id-1", "1", "", "s true 0s false", 500, false},
		{"a refusal, draining and backoff", "id-1", "true", "0.5", "s true 500ms true", 503, true},
		{"status 429 requests no backoff", "id-1", "", "3", "s false 0s true", 429, true},
		{"unreadable", "id-1", "soon", "later", "s X-Leaving unreadable,s Retry-After unreadable,s false 0s true", 503, true},
		{"response to another request", "id-9", "true", "", "", 200, false},
	} {
		l, err := serve.Listen("127.0.0.1:0", func(x *fasthttp.RequestCtx) {
			x.Response.Header.Set("X-Request-Id", c.id)
			if c.draining != "" {
				x.Response.Header.Set(backend.HeaderDraining, c.draining)
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
		var chat, stream, call noticeRecorder
		_, _ = backend.NewEngines(httpconn.New()).WithNotices(&chat).Chat(t.Context(), r, attempt(0))
		_, _ = backend.NewEngines(httpconn.New()).WithNotices(&stream).Stream(t.Context(), r, attempt(0), func([]byte) error { return nil })
		_, _ = backend.NewServices(httpconn.New()).WithNotices(&call).Call(t.Context(), r, entry.ServiceCall{Call: "x", Deadline: time.Now().Add(time.Second)})
		for method, h := range map[string]noticeRecorder{"chat": chat, "stream": stream} {
			if g := strings.Join(h, ","); g != c.want {
				t.Errorf("%s, %s: got %q, want %q", c.name, method, g, c.want)
			}
		}
		if c.id == "id-1" && strings.Join(call, ",") != c.want {
			t.Errorf("%s, call: got %q, want %q", c.name, call, c.want)
		}
	}
}
