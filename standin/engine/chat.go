package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"fieldvale/standin/fault"
	"fieldvale/standin/serve"
)

type chatRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// prompt is the text of the last message.
func (q chatRequest) prompt() string {
	if len(q.Messages) == 0 {
		return ""
	}
	var s string
	if json.Unmarshal(q.Messages[len(q.Messages)-1].Content, &s) == nil {
		return s
	}
	return string(q.Messages[len(q.Messages)-1].Content)
}

// Marker returns the part of a prompt between '<' and '>', by which a client
// knows its own answer.
func Marker(prompt string) string {
	_, r, ok := strings.Cut(prompt, "<")
	if !ok {
		return ""
	}
	m, _, _ := strings.Cut(r, ">")
	return m
}

// words is how many tokens an answer to the prompt has.
func words(prompt string) int {
	const least, span = 8, 24
	return least + int(xxhash.Sum64String(prompt)%span)
}

// tokens are the answer's: marker, model and quality first.
func (e *Engine) tokens(model, prompt string) []string {
	t := []string{fmt.Sprintf("<%s> %s q=%.3f", Marker(prompt), model, e.quality(model, prompt))}
	for i := range words(prompt) {
		t = append(t, fmt.Sprintf(" w%d", i))
	}
	return t
}

func (e *Engine) chat(c *fasthttp.RequestCtx) {
	var q chatRequest
	if err := json.Unmarshal(c.PostBody(), &q); err != nil {
		refuse(c, fasthttp.StatusBadRequest, err.Error())
		return
	}
	f := e.Faults.Get()
	p := q.prompt()
	if f.FailPart > 0 && failing(p, f.FailPart) {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if w := e.enter(q.Model); w != "" {
		refuse(c, statusOf(w), w)
		return
	}
	id := string(c.Request.Header.Peek("X-Request-Id"))
	e.start(Run{Attempt: id, Model: q.Model, Marker: Marker(p)})
	t := e.tokens(q.Model, p)
	if f.Bad {
		id = "someone-else"
	}
	c.Response.Header.Set("X-Request-Id", id)
	if q.Stream {
		n, _ := strconv.Atoi(string(c.Request.Header.Peek("X-Resume-Chunks")))
		c.SetContentType("text/event-stream")
		c.SetBodyStreamWriter(func(w *bufio.Writer) {
			defer e.stop()
			e.stream(w, id, q.Model, t, n, f)
		})
		return
	}
	defer e.stop()
	time.Sleep(time.Duration(len(t)) * e.Models[q.Model].PerToken)
	serve.JSON(c, completion(id, q.Model, t, len(p)))
}

// failing picks the same part of prompts each time.
func failing(prompt string, part float64) bool {
	const grain = 10_000
	return float64(xxhash.Sum64String("fail/"+prompt)%grain) < part*grain
}

func statusOf(reason string) int {
	if reason == "queue is full" {
		return fasthttp.StatusTooManyRequests
	}
	return fasthttp.StatusServiceUnavailable
}

// refuse says that the work was not started.
func refuse(c *fasthttp.RequestCtx, status int, reason string) {
	c.Error(reason, status)
	c.Response.Header.Set("X-Not-Run", "true")
}

func completion(id, model string, t []string, in int) map[string]any {
	return map[string]any{
		"id": id, "object": "chat.completion", "created": time.Now().Unix(), "model": model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]string{"role": "assistant", "content": strings.Join(t, "")},
		}},
		"usage": usage(in, len(t)),
	}
}

func usage(in, out int) map[string]int {
	return map[string]int{"prompt_tokens": in / 4, "completion_tokens": out, "total_tokens": in/4 + out}
}

// stream writes the tokens from the skip-th on.
func (e *Engine) stream(w *bufio.Writer, id, model string, t []string, skip int, f fault.Set) {
	for i := skip; i < len(t); i++ {
		time.Sleep(e.Models[model].PerToken)
		if f.CutAfter > 0 && i >= f.CutAfter {
			return
		}
		if !chunk(w, id, model, map[string]any{"index": 0, "delta": map[string]string{"content": t[i]}}, nil) {
			return
		}
	}
	chunk(w, id, model, map[string]any{"index": 0, "delta": map[string]string{}, "finish_reason": "stop"}, usage(0, len(t)))
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

func chunk(w *bufio.Writer, id, model string, choice map[string]any, u map[string]int) bool {
	m := map[string]any{"id": id, "object": "chat.completion.chunk", "created": time.Now().Unix(), "model": model, "choices": []any{choice}}
	if u != nil {
		m["usage"] = u
	}
	b, err := json.Marshal(m)
	if err != nil {
		return false
	}
	_, _ = w.WriteString("data: " + string(b) + "\n\n")
	return w.Flush() == nil
}

// order takes {"order":"unload"|"load","version":V,"fence":N}.
func (e *Engine) order(c *fasthttp.RequestCtx) {
	var q struct {
		Order   string `json:"order"`
		Version string `json:"version"`
		Fence   uint64 `json:"fence"`
	}
	if err := json.Unmarshal(c.PostBody(), &q); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFence && q.Fence < e.fence {
		c.Error("fence is lower than one seen", fasthttp.StatusConflict)
		return
	}
	e.fence = max(e.fence, q.Fence)
	e.loaded[q.Version] = q.Order == "load"
	if q.Order != "load" {
		delete(e.loaded, q.Version)
	}
	serve.JSON(c, map[string]bool{"done": true})
}
