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

// chatRequest is the part of an OpenAI chat completion request that the engine
// reads.
type chatRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// prompt returns the text of the last message.
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

// Marker returns the part of a prompt between '<' and '>'. The answer repeats
// it, so that a client can check that the answer belongs to its request.
func Marker(prompt string) string {
	_, r, ok := strings.Cut(prompt, "<")
	if !ok {
		return ""
	}
	m, _, _ := strings.Cut(r, ">")
	return m
}

// answerLength returns the number of words after the header token of an answer.
// It is derived from the prompt, so that a retried request gets the same answer.
func answerLength(prompt string) int {
	const least, span = 8, 24
	return least + int(xxhash.Sum64String(prompt)%span)
}

// answerTokens returns the tokens of the answer to the prompt. The first one
// holds the marker, the model and the quality.
func (e *Engine) answerTokens(model, prompt string) []string {
	t := []string{fmt.Sprintf("<%s> %s q=%.3f", Marker(prompt), model, e.quality(model, prompt))}
	for i := range answerLength(prompt) {
		t = append(t, fmt.Sprintf(" w%d", i))
	}
	return t
}

// chat serves /v1/chat/completions. The engine rejects a request that it does not
// admit; it reports the others as runs, which tests count to find duplicates.
func (e *Engine) chat(c *fasthttp.RequestCtx) {
	var q chatRequest
	if err := json.Unmarshal(c.PostBody(), &q); err != nil {
		reject(c, fasthttp.StatusBadRequest, err.Error())
		return
	}
	f := e.Faults.Get()
	p := q.prompt()
	if f.FailFraction > 0 && failsFor(p, f.FailFraction) {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if reason := e.admit(q.Model); reason != "" {
		reject(c, rejectStatus(reason), reason)
		return
	}
	id := string(c.Request.Header.Peek("X-Request-Id"))
	e.startRun(Run{AttemptID: id, Model: q.Model, Marker: Marker(p)})
	t := e.answerTokens(q.Model, p)
	if f.Bad {
		id = "someone-else"
	}
	c.Response.Header.Set("X-Request-Id", id)
	if q.Stream {
		n, _ := strconv.Atoi(string(c.Request.Header.Peek("X-Resume-Chunks")))
		e.reportLoad(c)
		c.SetContentType("text/event-stream")
		c.SetBodyStreamWriter(func(w *bufio.Writer) {
			defer e.finishRun()
			e.stream(w, id, q.Model, t, n, f)
		})
		return
	}
	defer e.finishRun()
	time.Sleep(time.Duration(len(t)) * e.Models[q.Model].PerToken)
	e.reportLoad(c)
	serve.JSON(c, completion(id, q.Model, t, len(p)))
}

// failsFor reports whether requests with the prompt fail, for the given fraction
// of prompts. The result depends on the prompt alone, so that a retry of a
// failing request fails as well.
func failsFor(prompt string, fraction float64) bool {
	const grain = 10_000
	return float64(xxhash.Sum64String("fail/"+prompt)%grain) < fraction*grain
}

// rejectStatus returns the HTTP status for a rejection reason of Engine.admit.
func rejectStatus(reason string) int {
	if reason == "queue is full" {
		return fasthttp.StatusTooManyRequests
	}
	return fasthttp.StatusServiceUnavailable
}

// reject responds with an error status and the X-Not-Run header, which states
// that the engine did not start the request.
func reject(c *fasthttp.RequestCtx, status int, reason string) {
	c.Error(reason, status)
	c.Response.Header.Set("X-Not-Run", "true")
}

// completion returns the body of a chat completion that is not streamed.
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

// stream writes the tokens from index skip on as server-sent events, followed by
// the usage and the [DONE] event. Settings.Models gives the time per token.
func (e *Engine) stream(w *bufio.Writer, id, model string, t []string, skip int, f fault.Set) {
	for i := skip; i < len(t); i++ {
		time.Sleep(e.Models[model].PerToken)
		if f.TruncateAfter > 0 && i >= f.TruncateAfter {
			return
		}
		if !writeChunk(w, id, model, map[string]any{"index": 0, "delta": map[string]string{"content": t[i]}}, nil) {
			return
		}
	}
	writeChunk(w, id, model, map[string]any{"index": 0, "delta": map[string]string{}, "finish_reason": "stop"}, usage(0, len(t)))
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// writeChunk writes one event of a stream and reports whether the client received
// it. The usage u is omitted if it is nil.
func writeChunk(w *bufio.Writer, id, model string, choice map[string]any, u map[string]int) bool {
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

// order serves /orders: {"order":"unload"|"load","version":V,"fence":N}. An engine
// that checks fencing tokens rejects an order with a lower token than the highest
// one that it has received, since such an order is outdated.
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
	if e.ChecksFencingToken && q.Fence < e.highestToken {
		c.Error("fence is lower than one seen", fasthttp.StatusConflict)
		return
	}
	e.highestToken = max(e.highestToken, q.Fence)
	e.loaded[q.Version] = q.Order == "load"
	if q.Order != "load" {
		delete(e.loaded, q.Version)
	}
	serve.JSON(c, map[string]bool{"done": true})
}
