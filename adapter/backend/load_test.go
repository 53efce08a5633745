package backend_test

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fieldvale/adapter/backend"
	"fieldvale/adapter/httpconn"
	"fieldvale/entry"
	"fieldvale/load"
	"fieldvale/pool"
	"fieldvale/standin/engine"
	"fieldvale/standin/serve"
	"fieldvale/standin/service"
)

// loadRecorder records load reports and unreadable headers as texts.
type loadRecorder []string

func (h *loadRecorder) Observe(s load.Sample) { *h = append(*h, s.Replica+" "+s.Report.String()) }
func (h *loadRecorder) LogInvalidHeader(replica, header string, _ error) {
	*h = append(*h, replica+" "+header+" unreadable")
}

// The load must be read from the answers of engines and services. Guards against reports in answers
// to other requests that are taken, and against stand-ins whose reports can't be read.
func TestResponsesReportLoad(t *testing.T) {
	e := engine.New(engine.Settings{ID: "e", Slots: 2, QueueSize: 2, Models: map[string]engine.Model{"small@1": {Quality: 0.9}}, ReportsLoad: true})
	s := service.New(time.Millisecond, false)
	s.Slots = 6
	s.SetSlowness(250)
	answer := func(id, report string) fasthttp.RequestHandler {
		return func(c *fasthttp.RequestCtx) {
			c.Response.Header.Set("X-Request-Id", id)
			c.Response.Header.Set(backend.HeaderLoad, report)
		}
	}
	for _, c := range []struct {
		name       string
		handler    fasthttp.RequestHandler
		chat, call string
	}{
		{"stand-in of an engine", e.Handle, "r 1,0,2,100", ""},
		{"stand-in of a service", s.Handle, "", "r 1,0,6,250"},
		{"report", answer("id-1", "3,1,6"), "r 3,1,6,100", "r 3,1,6,100"},
		{"invalid", answer("id-1", "3,1,0"), "r X-Replica-Load unreadable", "r X-Replica-Load unreadable"},
		{"answer to another request", answer("id-9", "3,1,6"), "", "r 3,1,6,100"},
	} {
		l, err := serve.Listen("127.0.0.1:0", c.handler)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		r := &pool.Replica{ID: "r", Addr: l.Addr}
		var chat, stream, call loadRecorder
		_, _ = backend.NewEngines(httpconn.New()).WithLoads(&chat).Chat(t.Context(), r, attempt(0))
		_, _ = backend.NewEngines(httpconn.New()).WithLoads(&stream).Stream(t.Context(), r, attempt(0), func([]byte) error { return nil })
		_, _ = backend.NewServices(httpconn.New()).WithLoads(&call).Call(t.Context(), r, entry.ServiceCall{Call: "x", Deadline: time.Now().Add(time.Second)})
		for method, x := range map[string]struct {
			got  loadRecorder
			want string
		}{"chat": {chat, c.chat}, "stream": {stream, c.chat}, "call": {call, c.call}} {
			if g := strings.Join(x.got, ","); g != x.want {
				t.Errorf("%s, %s: got %q, want %q", c.name, method, g, x.want)
			}
		}
	}
}
