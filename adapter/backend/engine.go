// Package backend calls model engines, by the OpenAI API, and plain services.
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

// Headers between the router and backend servers.
const (
	HeaderAttempt  = "X-Request-Id"
	HeaderPriority = "X-Priority"
	HeaderDeadline = "X-Deadline-Unix-Ms"
	HeaderResume   = "X-Resume-Chunks"
	// HeaderNotRun is set to "true" by a backend server on a refusal by
	// which it says that it did not start the work.
	HeaderNotRun = "X-Not-Run"
	HeaderKey    = "Idempotency-Key"
)

const chatPath = "/v1/chat/completions"

// stepAnswer is the step of failures that show in the answer itself.
const stepAnswer = "answer"

// Engines implements entry.Engines.
type Engines struct {
	http *httpconn.Client
	hearing
}

var _ entry.Engines = (*Engines)(nil)

// NewEngines returns a client of model engines.
func NewEngines(c *httpconn.Client) *Engines {
	return &Engines{http: c}
}

// WithLimits returns the client with l told what answers say of their engines.
func (e Engines) WithLimits(l Limits) *Engines {
	e.limits = l
	return &e
}

// WithNotices returns the client with n told what answers say of their engines.
func (e Engines) WithNotices(n Notices) *Engines {
	e.notices = n
	return &e
}

// hearAnswer hands on what an answer says, if it is surely this attempt's.
func (e *Engines) hearAnswer(r *pool.Replica, a entry.Attempt, p *fasthttp.Response, sentAt time.Time) {
	if string(p.Header.Peek(HeaderAttempt)) == a.ID {
		e.hear(r, a.ID, p, sentAt)
	}
}

type wireUsage struct {
	In  uint64 `json:"prompt_tokens"`
	Out uint64 `json:"completion_tokens"`
}

type wireChat struct {
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
	Usage *wireUsage `json:"usage"`
}

// Chat implements entry.Engines.
func (e *Engines) Chat(ctx context.Context, r *pool.Replica, a entry.Attempt) (entry.Answer, error) {
	q, p, err := request(r, a, false)
	if err != nil {
		return entry.Answer{}, err
	}
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	sentAt := time.Now()
	if err := e.http.Do(ctx, r.Addr, q, p); err != nil {
		return entry.Answer{}, withContext(ctx, err)
	}
	e.hearAnswer(r, a, p, sentAt)
	if err := checkHead(r, a, p); err != nil {
		return entry.Answer{}, err
	}
	b := append([]byte(nil), p.Body()...)
	return readChat(r, a, b)
}

func readChat(r *pool.Replica, a entry.Attempt, b []byte) (entry.Answer, error) {
	var w wireChat
	if err := json.Unmarshal(b, &w); err != nil {
		return entry.Answer{}, broken(r, err)
	}
	if w.Model != a.Version.String() {
		return entry.Answer{}, broken(r, errors.Newf("answer is of model %q, asked %q", w.Model, a.Version))
	}
	if len(w.Choices) == 0 || w.Choices[0].Finish == nil {
		return entry.Answer{}, broken(r, errors.New("answer has no finish_reason"))
	}
	n := entry.Answer{Body: b, Text: w.Choices[0].Message.Content}
	if w.Usage != nil {
		n.TokensIn, n.TokensOut = w.Usage.In, w.Usage.Out
	}
	return n, nil
}

// Stream implements entry.Engines.
func (e *Engines) Stream(ctx context.Context, r *pool.Replica, a entry.Attempt, sink func([]byte) error) (entry.Answer, error) {
	q, p, err := request(r, a, true)
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
	e.hearAnswer(r, a, p, sentAt)
	if err := checkHead(r, a, p); err != nil {
		return entry.Answer{}, err
	}
	n, err := readStream(r, a, l, sink)
	if err == nil {
		l.Done()
	}
	return n, withContext(ctx, err)
}

// maxChunk bounds one event of a stream, in bytes.
const maxChunk = 1 << 20

const doneEvent = "[DONE]"

// readStream passes events on until the stream's end marker. A stream that
// stops before it, or of which no chunk had a finish_reason, is broken.
func readStream(r *pool.Replica, a entry.Attempt, l *httpconn.Call, sink func([]byte) error) (entry.Answer, error) {
	s := bufio.NewScanner(l.Body())
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
				return n, broken(r, errors.New("stream ended without a finish_reason"))
			}
			drain(s)
			return n, s.Err()
		}
		var w wireChat
		if err := json.Unmarshal(d, &w); err != nil {
			return n, broken(r, err)
		}
		if w.Model != a.Version.String() || w.ID != a.ID {
			return n, broken(r, errors.Newf("chunk is of model %q and request %q, asked %q and %q", w.Model, w.ID, a.Version, a.ID))
		}
		finished = finished || gather(w, &n, &t)
		if err := sink(d); err != nil {
			return n, err
		}
	}
	return n, outcome.New(outcome.Unknown, "stream", r.ID, errors.Wrap(cmp.Or(s.Err(), io.ErrUnexpectedEOF), "cut before its end"))
}

// drain reads what follows the end marker, so that the connection is clean.
func drain(s *bufio.Scanner) {
	for s.Scan() {
		continue
	}
}

// gather adds a chunk to the answer and reports whether it was the last.
func gather(w wireChat, n *entry.Answer, t *strings.Builder) bool {
	if w.Usage != nil {
		n.TokensIn, n.TokensOut = w.Usage.In, w.Usage.Out
	}
	if len(w.Choices) == 0 {
		return false
	}
	t.WriteString(w.Choices[0].Delta.Content)
	return w.Choices[0].Finish != nil
}

func broken(r *pool.Replica, err error) error {
	return outcome.New(outcome.Unknown, stepAnswer, r.ID, err)
}

// withContext marks a failure that came of the request's own deadline.
func withContext(ctx context.Context, err error) error {
	var o *outcome.Error
	if err == nil || ctx.Err() == nil || !errors.As(err, &o) {
		return err
	}
	c := *o
	c.Cause = errors.Mark(o.Cause, ctx.Err())
	return &c
}

// request makes the engine's request out of the caller's: the model is
// replaced by the version, all else is passed on.
func request(r *pool.Replica, a entry.Attempt, stream bool) (*fasthttp.Request, *fasthttp.Response, error) {
	b, err := rewrite(a, stream)
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

func rewrite(a entry.Attempt, stream bool) ([]byte, error) {
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

// checkHead turns a status other than 200 into what is known by it, and
// refuses the answer to another attempt.
func checkHead(r *pool.Replica, a entry.Attempt, p *fasthttp.Response) error {
	if err := checkStatus(r, p, fasthttp.StatusOK, fasthttp.StatusOK); err != nil {
		return err
	}
	if g := string(p.Header.Peek(HeaderAttempt)); g != a.ID {
		return broken(r, errors.Newf("answer belongs to request %q, asked %q", g, a.ID))
	}
	return nil
}

func checkStatus(r *pool.Replica, p *fasthttp.Response, from, to int) error {
	s := p.StatusCode()
	if s >= from && s <= to {
		return nil
	}
	e := outcome.New(outcome.Unknown, stepAnswer, r.ID, errors.Newf("status %d", s))
	if string(p.Header.Peek(HeaderNotRun)) == "true" {
		e = outcome.New(outcome.NotRun, "refusal", r.ID, errors.Newf("status %d", s))
	}
	if t, err := notice.ParseRetryAfter(values(p, headerRetryAfter), time.Now()); err == nil {
		e = e.WithRetryAt(t)
	}
	return e.WithStatus(s)
}
