package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"fieldvale/standin/traffic"
)

// state is what became of a request, as its client knows it.
type state int

const (
	lost state = iota
	answered
	refused
	// found is a request whose entry died and that the service's records
	// show to have run: the caller has no answer, and maybe no bill.
	found
)

// result is one request with what became of it.
type result struct {
	request traffic.Request
	state   state
	// wrong tells of an answer that the caller should not have got.
	wrong string
	// key is the key under which a request that may not be repeated ran, and
	// unrun in how many looks the service's records did not have it.
	key   string
	unrun int
	took  time.Duration
	last  error
}

const (
	maxTries = 10
	tryPause = 250 * time.Millisecond
	// looks is how often the service's records must lack a request that may have
	// run before it is sent with a new key: some 1 s, in which one that was under
	// way would have run.
	looks      = 4
	tryTimeout = 10 * time.Second
	// again ends the new key of a request that did not run under its first.
	again = "-again"
)

// client sends requests as the customers' programs would: to any instance,
// and again with the same id if the connection broke.
type client struct {
	s        *system
	http     *http.Client
	mu       sync.Mutex
	sessions map[string]string
}

func newClient(s *system) *client {
	return &client{s: s, http: &http.Client{Timeout: tryTimeout}, sessions: map[string]string{}}
}

// send sends one request until it is answered or finally refused.
func (c *client) send(q traffic.Request) result {
	r := result{request: q, key: q.ID}
	t := time.Now()
	for range maxTries {
		l := c.s.living()
		u := l[rand.IntN(len(l))].url
		again := false
		if q.Kind == traffic.Chat {
			again = c.chat(u, &r)
		} else {
			again = c.service(u, &r)
		}
		if !again {
			break
		}
		time.Sleep(tryPause)
	}
	r.took = time.Since(t)
	return r
}

// chat makes one try by the OpenAI client and reports whether to try again.
func (c *client) chat(url string, r *result) bool {
	q := r.request
	var h *http.Response
	o := []option.RequestOption{
		option.WithHeader("X-Request-Id", q.ID), option.WithHeader("X-Fieldvale-Task", q.Task), option.WithResponseInto(&h),
	}
	c.mu.Lock()
	if t := c.sessions[q.Thread]; t != "" {
		o = append(o, option.WithHeader("X-Fieldvale-Session", t))
	}
	c.mu.Unlock()
	k := openai.NewClient(option.WithBaseURL(url+"/v1/"), option.WithAPIKey(traffic.KeyOf(q.Customer)), option.WithMaxRetries(0))
	x, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	p := openai.ChatCompletionNewParams{Model: "auto", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(q.Text)}}
	text, err := complete(x, k, p, q.Stream, o)
	if err != nil {
		return c.chatFailed(r, err)
	}
	r.state = answered
	c.mu.Lock()
	if t := h.Header.Get("X-Fieldvale-Session"); t != "" {
		c.sessions[q.Thread] = t
	}
	c.mu.Unlock()
	r.check(text, h.Header.Get("X-Fieldvale-Model"))
	return false
}

func complete(x context.Context, k openai.Client, p openai.ChatCompletionNewParams, stream bool, o []option.RequestOption) (string, error) {
	if !stream {
		a, err := k.Chat.Completions.New(x, p, o...)
		if err != nil {
			return "", err
		}
		return a.Choices[0].Message.Content, nil
	}
	s := k.Chat.Completions.NewStreaming(x, p, o...)
	var b strings.Builder
	end := false
	for s.Next() {
		for _, y := range s.Current().Choices {
			b.WriteString(y.Delta.Content)
			end = end || y.FinishReason != ""
		}
	}
	if s.Err() == nil && !end {
		return "", errors.New("the stream ended without a finish_reason")
	}
	return b.String(), s.Err()
}

func (c *client) chatFailed(r *result, err error) bool {
	r.last = err
	var e *openai.Error
	if !errors.As(err, &e) {
		return true
	}
	if strings.Contains(e.RawJSON(), `"not_run"`) {
		r.state = refused
		return comeBack(e.StatusCode)
	}
	r.state = lost
	return true
}

// comeBack reports whether a refusal asks the client to come back.
func comeBack(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// check looks whether the answer is whole, the caller's own, and of a model
// that the customer may use.
func (r *result) check(text, model string) {
	switch {
	case !strings.HasPrefix(text, "<"+r.request.ID+"> "):
		r.wrong = "another's answer: " + text
	case !traffic.MayUse(r.request.Customer, model):
		r.wrong = "model " + model + " is not allowed"
	case !strings.Contains(text, " w7"):
		r.wrong = "not whole: " + text
	}
}

// service makes one try at a plain service.
func (c *client) service(url string, r *result) bool {
	q := r.request
	status, b, err := c.post(url, q, r.key)
	if err != nil {
		r.last = err
		return true
	}
	if status == http.StatusOK {
		var w struct {
			Echo string `json:"echo"`
		}
		if json.Unmarshal(b, &w) != nil || w.Echo != q.Text {
			r.wrong = "another's answer: " + string(b)
		}
		r.state = answered
		return false
	}
	r.last = errors.Newf("status %d: %s", status, b)
	if bytes.Contains(b, []byte(`"not_run"`)) {
		r.state = refused
		return comeBack(status)
	}
	if status == http.StatusConflict {
		if c.ranAtService(q, r.key) {
			r.state = found
			return false
		}
		if r.unrun++; r.unrun == looks {
			r.key += again
		}
	}
	r.state = lost
	return true
}

func (c *client) post(url string, q traffic.Request, key string) (int, []byte, error) {
	h, err := http.NewRequest(http.MethodPost, url+"/v1/services/"+q.Service+"/"+q.Call, strings.NewReader(q.Text))
	if err != nil {
		return 0, nil, err
	}
	h.Header.Set("Authorization", "Bearer "+traffic.KeyOf(q.Customer))
	h.Header.Set("X-Request-Id", q.ID)
	h.Header.Set("Content-Type", "text/plain")
	if q.Kind == traffic.Once {
		h.Header.Set("Idempotency-Key", key)
	}
	p, err := c.http.Do(h)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	return p.StatusCode, b, err
}

// ranAtService asks the service's own records, as a shop owner would look
// into the order desk, whether a request that may have run did.
func (c *client) ranAtService(q traffic.Request, key string) bool {
	for _, b := range c.s.backends {
		if b.Service != q.Service {
			continue
		}
		var m map[string]int
		if get("http://"+b.Addr+"/standin/runs", &m) == nil && m[q.Call+"/"+key] > 0 {
			return true
		}
	}
	return false
}
