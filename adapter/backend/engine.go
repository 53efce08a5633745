// Package backend sends requests to model engines, which serve the OpenAI API, and to
// plain services.
package backend

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fieldvale/adapter/httpconn"
	"fieldvale/entry"
	"fieldvale/notice"
	"fieldvale/outcome"
	"fieldvale/pool"
)

// Headers of requests to backend servers and of their responses.
const (
	// HeaderAttempt carries the id of an attempt. An engine repeats it in its response.
	HeaderAttempt  = "X-Request-Id"
	HeaderPriority = "X-Priority"
	HeaderDeadline = "X-Deadline-Unix-Ms"
	// HeaderResume is the number of chunks that the caller of a resumed stream has
	// received already. The engine continues after them.
	HeaderResume = "X-Resume-Chunks"
	// HeaderNotRun is "true" in the response of a backend server that refuses a
	// request without having started it.
	HeaderNotRun         = "X-Not-Run"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const chatPath = "/v1/chat/completions"

// stepAnswer is the outcome.Error step of failures found in the response.
const stepAnswer = "answer"

// Engines is a client of model engines. It implements entry.Engines.
type Engines struct {
	http *httpconn.Client
	responseObservers
}

var _ entry.Engines = (*Engines)(nil)

// NewEngines returns a client of model engines that sends its requests with c.
func NewEngines(c *httpconn.Client) *Engines {
	return &Engines{http: c}
}

// WithLimits returns a copy of the client that passes the rate limits in responses to l.
func (e Engines) WithLimits(l LimitObserver) *Engines {
	e.limits = l
	return &e
}

// WithNotices returns a copy of the client that passes the draining and backoff notices in
// responses to n.
func (e Engines) WithNotices(n NoticeObserver) *Engines {
	e.notices = n
	return &e
}

// observeResponse passes on the limit and the notice in a response if its header has the
// id of this attempt.
func (e *Engines) observeResponse(r *pool.Replica, a entry.Attempt, p *fasthttp.Response, sentAt time.Time) {
	if string(p.Header.Peek(HeaderAttempt)) == a.ID {
		e.observe(r, a.ID, p, sentAt)
	}
}

// tokenUsage is the usage field of a chat completion.
type tokenUsage struct {
	In  uint64 `json:"prompt_tokens"`
	Out uint64 `json:"completion_tokens"`
}

// chatCompletion is a chat completion of the OpenAI API, or one chunk of a streamed one.
type chatCompletion struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *tokenUsage `json:"usage"`
}

// Chat implements entry.Engines.
func (e *Engines) Chat(ctx context.Context, r *pool.Replica, a entry.Attempt) (entry.Answer, error) {
	q, p, err := newRequest(r, a, false)
	if err != nil {
		return entry.Answer{}, err
	}
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	sentAt := time.Now()
	if err := e.http.Do(ctx, r.Addr, q, p); err != nil {
		return entry.Answer{}, withContext(ctx, err)
	}
	e.observeResponse(r, a, p, sentAt)
	if err := checkHeader(r, a, p); err != nil {
		return entry.Answer{}, err
	}
	b := append([]byte(nil), p.Body()...)
	return readChat(r, a, b)
}

// readChat parses a response that isn't streamed. It rejects a response of another model
// and one without a finish_reason.
func readChat(r *pool.Replica, a entry.Attempt, b []byte) (entry.Answer, error) {
	var w chatCompletion
	if err := json.Unmarshal(b, &w); err != nil {
		return entry.Answer{}, invalidResponse(r, err)
	}
	if w.Model != a.Version.String() {
		return entry.Answer{}, invalidResponse(r, errors.Newf("answer is of model %q, asked %q", w.Model, a.Version))
	}
	if len(w.Choices) == 0 || w.Choices[0].Finish == nil {
		return entry.Answer{}, invalidResponse(r, errors.New("answer has no finish_reason"))
	}
	n := entry.Answer{Body: b, Text: w.Choices[0].Message.Content}
	if w.Usage != nil {
		n.TokensIn, n.TokensOut = w.Usage.In, w.Usage.Out
	}
	return n, nil
}

// Stream implements entry.Engines.
func (e *Engines) Stream(ctx context.Context, r *pool.Replica, a entry.Attempt, sink func([]byte) error) (entry.Answer, error) {
	q, p, err := newRequest(r, a, true)
	if err != nil {
		return entry.Answer{}, err
	}
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	sentAt := time.Now()
	l, err := e.http.Stream(ctx, r.Addr, q, p)
	if err != nil {
		return entry.Answer{}, withContext(ctx, err)
	}
	defer l.Close()
	e.observeResponse(r, a, p, sentAt)
	if err := checkHeader(r, a, p); err != nil {
		return entry.Answer{}, err
	}
	n, err := readStream(r, a, l, sink)
	if err == nil {
		l.MarkBodyRead()
	}
	return n, withContext(ctx, err)
}

const (
	// maxChunk bounds one event of a stream, in bytes.
	maxChunk = 1 << 20
	// maxStream bounds a stream in all, and maxRest what follows its end marker, in bytes.
	maxStream = 8 << 20
	maxRest   = 64 << 10
)

const doneEvent = "[DONE]"

// readStream passes each chunk to sink until the stream's end marker. It fails if the
// stream ends before the marker or if no chunk had a finish_reason.
func readStream(r *pool.Replica, a entry.Attempt, l *httpconn.Call, sink func([]byte) error) (entry.Answer, error) {
	body := &io.LimitedReader{R: l.Body(), N: maxStream}
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4096), maxChunk)
	var n entry.Answer
	var t strings.Builder
	finished := false
	for s.Scan() {
		d, ok := bytes.CutPrefix(s.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		d = bytes.TrimSpace(d)
		if string(d) == doneEvent {
			n.Text = t.String()
			if !finished {
				return n, invalidResponse(r, errors.New("stream ended without a finish_reason"))
			}
			body.N = min(body.N, maxRest)
			discardRest(s)
			if body.N <= 0 {
				return n, invalidResponse(r, errors.Newf("more than %d bytes after the stream's end marker", maxRest))
			}
			return n, s.Err()
		}
		var w chatCompletion
		if err := json.Unmarshal(d, &w); err != nil {
			return n, invalidResponse(r, err)
		}
		if w.Model != a.Version.String() || w.ID != a.ID {
			return n, invalidResponse(r, errors.Newf("chunk is of model %q and request %q, asked %q and %q", w.Model, w.ID, a.Version, a.ID))
		}
		finished = finished || appendChunk(w, &n, &t)
		if err := sink(d); err != nil {
			return n, err
		}
	}
	return n, outcome.New(outcome.Unknown, "stream", r.ID, errors.Wrap(cmp.Or(s.Err(), io.ErrUnexpectedEOF), "cut before its end"))
}

// discardRest reads the body after the end marker, so that the connection can be reused.
func discardRest(s *bufio.Scanner) {
	for s.Scan() {
		continue
	}
}

// appendChunk adds a chunk to the answer n and its text t, and reports whether the chunk
// has a finish_reason.
func appendChunk(w chatCompletion, n *entry.Answer, t *strings.Builder) bool {
	if w.Usage != nil {
		n.TokensIn, n.TokensOut = w.Usage.In, w.Usage.Out
	}
	if len(w.Choices) == 0 {
		return false
	}
	t.WriteString(w.Choices[0].Delta.Content)
	return w.Choices[0].Finish != nil
}

// invalidResponse returns the error for a response that can't be used. The request may have
// run.
func invalidResponse(r *pool.Replica, err error) error {
	return outcome.New(outcome.Unknown, stepAnswer, r.ID, err)
}

// withContext marks an outcome.Error with the context's error if ctx is done, so that
// errors.Is finds a deadline or a cancellation of the request itself.
func withContext(ctx context.Context, err error) error {
	var o *outcome.Error
	if err == nil || ctx.Err() == nil || !errors.As(err, &o) {
		return err
	}
	c := *o
	c.Cause = errors.Mark(o.Cause, ctx.Err())
	return &c
}

// newRequest returns the request of an attempt to the engine r, and a response to fill. The
// caller must release both.
func newRequest(r *pool.Replica, a entry.Attempt, stream bool) (*fasthttp.Request, *fasthttp.Response, error) {
	b, err := rewriteBody(a, stream)
	if err != nil {
		return nil, nil, outcome.New(outcome.NotRun, "request", r.ID, err)
	}
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	q.Header.SetMethod(fasthttp.MethodPost)
	q.SetRequestURI("http://" + r.Addr + chatPath)
	q.Header.SetContentType("application/json")
	q.Header.Set(HeaderAttempt, a.ID)
	q.Header.Set(HeaderPriority, strconv.Itoa(a.Priority))
	q.Header.Set(HeaderDeadline, strconv.FormatInt(a.Deadline.UnixMilli(), 10))
	if a.ResumeChunks > 0 {
		q.Header.Set(HeaderResume, strconv.Itoa(a.ResumeChunks))
	}
	q.SetBodyRaw(b)
	return q, p, nil
}

// rewriteBody returns the caller's request body with the model replaced by the attempt's
// version and the stream fields set. All other fields stay unchanged.
func rewriteBody(a entry.Attempt, stream bool) ([]byte, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(a.Body, &m); err != nil {
		return nil, errors.Wrap(err, "backend.rewrite")
	}
	v, err := json.Marshal(a.Version.String())
	if err != nil {
		return nil, errors.Wrap(err, "backend.rewrite")
	}
	m["model"] = v
	if stream {
		m["stream"] = json.RawMessage("true")
		m["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	} else {
		delete(m, "stream")
		delete(m, "stream_options")
	}
	return json.Marshal(m)
}

// checkHeader returns an error if the response's status isn't 200 or if the response is to
// another attempt.
func checkHeader(r *pool.Replica, a entry.Attempt, p *fasthttp.Response) error {
	if err := checkStatus(r, p, fasthttp.StatusOK, fasthttp.StatusOK); err != nil {
		return err
	}
	if g := string(p.Header.Peek(HeaderAttempt)); g != a.ID {
		return invalidResponse(r, errors.Newf("answer belongs to request %q, asked %q", g, a.ID))
	}
	return nil
}

// checkStatus returns an error if the response's status is not between from and to. The
// outcome is NotRun if the backend server states that it did not start the request, else
// Unknown. The error has the time of a Retry-After header, if any.
func checkStatus(r *pool.Replica, p *fasthttp.Response, from, to int) error {
	s := p.StatusCode()
	if s >= from && s <= to {
		return nil
	}
	e := outcome.New(outcome.Unknown, stepAnswer, r.ID, errors.Newf("status %d", s))
	if string(p.Header.Peek(HeaderNotRun)) == "true" {
		e = outcome.New(outcome.NotRun, "refusal", r.ID, errors.Newf("status %d", s))
	}
	if t, err := notice.ParseRetryAfter(headerValues(p, headerRetryAfter), time.Now()); err == nil {
		e = e.WithRetryAt(t)
	}
	return e.WithStatus(s)
}
