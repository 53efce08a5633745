package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fieldvale/catalog"
	"fieldvale/entry"
	"fieldvale/policy"
	"fieldvale/ring"
)

// bytesPerToken estimates the number of a prompt's tokens, from which its size class
// follows.
const bytesPerToken = 4

// chatRequest has the fields of a chat request that the router needs. The engine gets the
// original body with all other fields.
type chatRequest struct {
	Model    string            `json:"model"`
	Messages []json.RawMessage `json:"messages"`
	Stream   bool              `json:"stream"`
}

// parseChat parses the body of a chat request.
func parseChat(b []byte) (chatRequest, *apiError) {
	var w chatRequest
	if err := json.Unmarshal(b, &w); err != nil {
		return w, invalid("body", "the body is not a chat request: "+err.Error())
	}
	if len(w.Messages) == 0 {
		return w, invalid("messages", "messages is missing or empty")
	}
	return w, nil
}

// chat handles POST /v1/chat/completions.
func (s *Server) chat(c *fasthttp.RequestCtx, k *call) *apiError {
	w, e := parseChat(k.body)
	if e != nil {
		return e
	}
	t := string(c.Request.Header.Peek(HeaderTask))
	if t == "" {
		t = catalog.DefaultTask
	}
	if e := s.setDeadline(c, k, t); e != nil {
		return e
	}
	q := entry.Request{
		ID: k.id, Caller: k.caller, Task: t, Size: policy.SizeOf(len(k.body) / bytesPerToken), Model: w.Model,
		Body: k.body, Deadline: k.deadline, Session: s.session(c, k),
	}
	if w.Stream {
		return s.stream(c, k, q)
	}
	a, r, err := s.router.Chat(context.Background(), q)
	if err != nil {
		return toAPIError(err)
	}
	s.setResult(c, r)
	c.SetContentType("application/json")
	c.SetBody(a.Body)
	return nil
}

// setResult sets the response headers that state the model, version and policy revision of
// the answer, and the session's token.
func (s *Server) setResult(c *fasthttp.RequestCtx, r entry.Result) {
	h := &c.Response.Header
	h.Set(HeaderModel, r.Version.Model)
	h.Set(HeaderVersion, r.Version.Name)
	h.Set(HeaderPolicyRevision, strconv.FormatUint(r.Revision, 10))
	if t := s.view.Get().Active.SessionKeys().Issue(r.Session); t != "" {
		h.Set(HeaderSession, t)
	}
	if r.SessionMoved {
		h.Set(HeaderSessionMoved, "version-withdrawn")
	}
	if r.BelowTarget {
		h.Set(HeaderBelowTarget, "true")
	}
}

// maxBufferedChunks bounds the chunks that were read from the engine but not yet written to
// the caller.
const maxBufferedChunks = 64

// pipe carries a stream from the router to the caller's connection. It implements
// entry.Sink.
type pipe struct {
	// result receives what the router reports before the first chunk.
	result chan entry.Result
	chunks *ring.Queue[[]byte]
	// ctx is done once the caller has closed the connection or the response has ended.
	ctx context.Context
	// done receives the stream's final error or nil.
	done chan error
}

// Head implements entry.Sink.
func (p *pipe) Head(r entry.Result) error {
	p.result <- r
	return nil
}

var errCallerClosed = errors.New("caller closed the connection")

// Chunk implements entry.Sink. It blocks while the buffer is full, so that a slow caller
// slows down no stream but its own.
func (p *pipe) Chunk(b []byte) error {
	if !p.chunks.Put(p.ctx, append([]byte(nil), b...)) {
		return errCallerClosed
	}
	return nil
}

// stream runs the router in a separate goroutine. It responds with an error if the router
// fails before the stream starts, else it streams the chunks as the response body.
func (s *Server) stream(c *fasthttp.RequestCtx, k *call, q entry.Request) *apiError {
	x, cancel := context.WithCancel(context.Background())
	p := &pipe{result: make(chan entry.Result, 1), chunks: ring.New[[]byte](maxBufferedChunks), ctx: x, done: make(chan error, 1)}
	go func() { p.done <- s.router.Stream(x, q, p) }()
	select {
	case r := <-p.result:
		s.setResult(c, r)
	case err := <-p.done:
		select {
		case r := <-p.result:
			s.setResult(c, r)
			p.done <- err
		default:
			cancel()
			return toAPIError(err)
		}
	}
	c.SetContentType("text/event-stream")
	c.Response.Header.Set("Cache-Control", "no-cache")
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		s.writeStream(w, p, k)
	})
	return nil
}

// writeStream writes chunks as they arrive, and the end marker only after the router reports
// that the answer is complete.
func (s *Server) writeStream(w *bufio.Writer, p *pipe, k *call) {
	for {
		select {
		case b := <-p.chunks.Chan():
			if !writeEvent(w, b) {
				return
			}
		case err := <-p.done:
			s.finishStream(w, p, err, k)
			return
		}
	}
}

// writeEvent writes one server-sent event and reports whether the caller's connection is
// still open.
func writeEvent(w *bufio.Writer, b []byte) bool {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(b)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}

// finishStream writes the buffered chunks, and then the end marker or an error event.
func (s *Server) finishStream(w *bufio.Writer, p *pipe, err error, k *call) {
	for _, b := range p.chunks.Drain(maxBufferedChunks) {
		if !writeEvent(w, b) {
			return
		}
	}
	if err == nil {
		writeEvent(w, []byte("[DONE]"))
		return
	}
	e := toAPIError(err)
	s.observe("stream_end", e.code, e.status, s.clock().Sub(k.started), k.id, k.caller.Customer.Name)
	writeEvent(w, e.body(s.clock()))
}

// models handles GET /v1/models. It lists the automatic choice and the versions that the
// caller's customer may use.
func (s *Server) models(c *fasthttp.RequestCtx, k *call) *apiError {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
		Created int64  `json:"created"`
	}
	l := []model{{ID: entry.AutoModel, Object: "model", OwnedBy: k.caller.Team}}
	for _, v := range k.active.Models(k.caller) {
		l = append(l, model{ID: v.String(), Object: "model", OwnedBy: k.caller.Team})
	}
	b, err := json.Marshal(map[string]any{"object": "list", "data": l})
	if err != nil {
		return &apiError{status: fasthttp.StatusInternalServerError, code: "internal", kind: serverError, message: err.Error()}
	}
	c.SetContentType("application/json")
	c.SetBody(b)
	return nil
}
