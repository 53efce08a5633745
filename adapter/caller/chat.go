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

// bytesPerToken is the estimate by which a prompt's size class is found.
const bytesPerToken = 4

// wireChat is what is read of a chat request; all else is passed on.
type wireChat struct {
	Model    string            `json:"model"`
	Messages []json.RawMessage `json:"messages"`
	Stream   bool              `json:"stream"`
}

// parseChat reads a chat request's body.
func parseChat(b []byte) (wireChat, *apiError) {
	var w wireChat
	if err := json.Unmarshal(b, &w); err != nil {
		return w, invalid("body", "the body is not a chat request: "+err.Error())
	}
	if len(w.Messages) == 0 {
		return w, invalid("messages", "messages is missing or empty")
	}
	return w, nil
}

func (s *Server) chat(c *fasthttp.RequestCtx, k *call) *apiError {
	w, e := parseChat(c.PostBody())
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
		ID: k.id, Caller: k.caller, Task: t, Size: policy.SizeOf(len(c.PostBody()) / bytesPerToken), Model: w.Model,
		Body: append([]byte(nil), c.PostBody()...), Deadline: k.deadline, Session: s.session(c, k),
	}
	if w.Stream {
		return s.stream(c, k, q)
	}
	a, r, err := s.router.Chat(context.Background(), q)
	if err != nil {
		return fromFailure(err)
	}
	s.setResult(c, r)
	c.SetContentType("application/json")
	c.SetBody(a.Body)
	return nil
}

// setResult tells the caller what answered.
func (s *Server) setResult(c *fasthttp.RequestCtx, r entry.Result) {
	h := &c.Response.Header
	h.Set(HeaderModel, r.Version.Model)
	h.Set(HeaderVersion, r.Version.Name)
	h.Set(HeaderRevision, strconv.FormatUint(r.Revision, 10))
	if t := s.view.Get().Active.Ring().Mint(r.Session); t != "" {
		h.Set(HeaderSession, t)
	}
	if r.SessionMoved {
		h.Set(HeaderMoved, "version-withdrawn")
	}
	if r.BelowTarget {
		h.Set(HeaderBelowTarget, "true")
	}
}

// chunkRing bounds the chunks between the engine's reader and the caller's
// writer.
const chunkRing = 64

// pipe carries a stream from the router to the caller's connection.
type pipe struct {
	head   chan entry.Result
	chunks *ring.Ring[[]byte]
	gone   context.Context
	end    chan error
}

// Head implements entry.Sink.
func (p *pipe) Head(r entry.Result) error {
	p.head <- r
	return nil
}

var errGone = errors.New("caller closed the connection")

// Chunk implements entry.Sink. It waits for room, so that a slow caller
// slows its own stream only.
func (p *pipe) Chunk(b []byte) error {
	if !p.chunks.Put(p.gone, append([]byte(nil), b...)) {
		return errGone
	}
	return nil
}

// stream starts the router in a goroutine of its own and answers as soon as
// it is known whether there will be a stream.
func (s *Server) stream(c *fasthttp.RequestCtx, k *call, q entry.Request) *apiError {
	x, cancel := context.WithCancel(context.Background())
	p := &pipe{head: make(chan entry.Result, 1), chunks: ring.New[[]byte](chunkRing), gone: x, end: make(chan error, 1)}
	go func() { p.end <- s.router.Stream(x, q, p) }()
	select {
	case r := <-p.head:
		s.setResult(c, r)
	case err := <-p.end:
		select {
		case r := <-p.head:
			s.setResult(c, r)
			p.end <- err
		default:
			cancel()
			return fromFailure(err)
		}
	}
	c.SetContentType("text/event-stream")
	c.Response.Header.Set("Cache-Control", "no-cache")
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		s.write(w, p, k)
	})
	return nil
}

// write sends chunks as they come, and the end marker only after the router
// said that the answer is whole.
func (s *Server) write(w *bufio.Writer, p *pipe, k *call) {
	for {
		select {
		case b := <-p.chunks.Chan():
			if !event(w, b) {
				return
			}
		case err := <-p.end:
			s.finish(w, p, err, k)
			return
		}
	}
}

// event writes one event and reports whether the caller is still there.
func event(w *bufio.Writer, b []byte) bool {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(b)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}

func (s *Server) finish(w *bufio.Writer, p *pipe, err error, k *call) {
	for _, b := range p.chunks.Drain(chunkRing) {
		if !event(w, b) {
			return
		}
	}
	if err == nil {
		event(w, []byte("[DONE]"))
		return
	}
	e := fromFailure(err)
	s.observe("stream_end", e.code, e.status, s.clock().Sub(k.started), k.id, k.caller.Customer.Name)
	event(w, e.body(s.clock()))
}

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
