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

// outcome is the final result of a request as its client observes it.
type outcome int

const (
	// lost is the outcome of a request that got no answer and may have run.
	lost outcome = iota
	answered
	// refused is the outcome of a request that was rejected before it ran.
	refused
	// ranUnanswered is the outcome of a request whose entry died and that ran
	// according to the service's records: the caller has no answer, and the request
	// may not be billed.
	ranUnanswered
)

// result is a request with its outcome.
type result struct {
	request traffic.Request
	outcome outcome
	// violation describes an answer that the caller should not have received; it is
	// empty if there was none.
	violation string
	// idempotencyKey is the key that is sent with a request that must not run twice,
	// and absentLookups counts the look-ups in which the service's records did not
	// contain the key.
	idempotencyKey string
	absentLookups  int
	took           time.Duration
	lastErr        error
}

const (
	maxAttempts = 10
	retryDelay  = 250 * time.Millisecond
	// maxAbsentLookups is the number of look-ups in which the service's records must
	// lack a request that may have run before the client sends it with a new key.
	// They take about 1 s, within which a request in flight would have run.
	maxAbsentLookups = 4
	attemptTimeout   = 10 * time.Second
	// newKeySuffix is appended to the first key of a request, which did not run, to
	// form its new key.
	newKeySuffix = "-again"
)

// client sends requests as customers' programs would: to a random instance, and
// with the same id to another random one if the connection breaks.
type client struct {
	s        *system
	http     *http.Client
	mu       sync.Mutex
	sessions map[string]string
}

func newClient(s *system) *client {
	return &client{s: s, http: &http.Client{Timeout: attemptTimeout}, sessions: map[string]string{}}
}

// send sends a request up to maxAttempts times, until it is answered or refused
// in a way that a retry would not change.
func (c *client) send(request traffic.Request) result {
	r := result{request: request, idempotencyKey: request.ID}
	started := time.Now()
	for range maxAttempts {
		live := c.s.live()
		url := live[rand.IntN(len(live))].url
		retry := false
		if request.Kind == traffic.Chat {
			retry = c.tryChat(url, &r)
		} else {
			retry = c.tryService(url, &r)
		}
		if !retry {
			break
		}
		time.Sleep(retryDelay)
	}
	r.took = time.Since(started)
	return r
}

// tryChat makes one attempt with the OpenAI client and reports whether to retry.
func (c *client) tryChat(url string, r *result) bool {
	request := r.request
	var response *http.Response
	opts := []option.RequestOption{
		option.WithHeader("X-Request-Id", request.ID), option.WithHeader("X-Fieldvale-Task", request.Task), option.WithResponseInto(&response),
	}
	c.mu.Lock()
	if token := c.sessions[request.Thread]; token != "" {
		opts = append(opts, option.WithHeader("X-Fieldvale-Session", token))
	}
	c.mu.Unlock()
	api := openai.NewClient(option.WithBaseURL(url+"/v1/"), option.WithAPIKey(traffic.APIKey(request.Customer)), option.WithMaxRetries(0))
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	params := openai.ChatCompletionNewParams{Model: "auto", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(request.Text)}}
	text, err := completeChat(ctx, api, params, request.Stream, opts)
	if err != nil {
		return c.chatFailed(r, err)
	}
	r.outcome = answered
	c.mu.Lock()
	if token := response.Header.Get("X-Fieldvale-Session"); token != "" {
		c.sessions[request.Thread] = token
	}
	c.mu.Unlock()
	r.checkAnswer(text, response.Header.Get("X-Fieldvale-Model"))
	return false
}

// completeChat returns the text of a chat completion, which it requests as a
// stream if stream is set. A stream that ends without a finish_reason is an error.
func completeChat(ctx context.Context, api openai.Client, params openai.ChatCompletionNewParams, stream bool, opts []option.RequestOption) (string, error) {
	if !stream {
		completion, err := api.Chat.Completions.New(ctx, params, opts...)
		if err != nil {
			return "", err
		}
		return completion.Choices[0].Message.Content, nil
	}
	events := api.Chat.Completions.NewStreaming(ctx, params, opts...)
	var text strings.Builder
	finished := false
	for events.Next() {
		for _, choice := range events.Current().Choices {
			text.WriteString(choice.Delta.Content)
			finished = finished || choice.FinishReason != ""
		}
	}
	if events.Err() == nil && !finished {
		return "", errors.New("the stream ended without a finish_reason")
	}
	return text.String(), events.Err()
}

// chatFailed sets the outcome of a failed attempt and reports whether to retry.
func (c *client) chatFailed(r *result, err error) bool {
	r.lastErr = err
	var apiError *openai.Error
	if !errors.As(err, &apiError) {
		return true
	}
	if strings.Contains(apiError.RawJSON(), `"not_run"`) {
		r.outcome = refused
		return isRetryable(apiError.StatusCode)
	}
	r.outcome = lost
	return true
}

// isRetryable reports whether the status of a refusal invites a retry.
func isRetryable(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// checkAnswer records a violation if the answer belongs to another request, is
// truncated, or comes from a model that the customer may not use.
func (r *result) checkAnswer(text, model string) {
	switch {
	case !strings.HasPrefix(text, "<"+r.request.ID+"> "):
		r.violation = "the answer to another request: " + text
	case !traffic.MayUse(r.request.Customer, model):
		r.violation = "model " + model + " is not allowed for the customer"
	case !strings.Contains(text, " w7"):
		r.violation = "a truncated answer: " + text
	}
}

// tryService makes one attempt to call a plain service and reports whether to
// retry. After a conflict (a request with this key may have run) it looks the key
// up in the service's records, and changes the key once they have lacked it
// maxAbsentLookups times.
func (c *client) tryService(url string, r *result) bool {
	request := r.request
	status, body, err := c.post(url, request, r.idempotencyKey)
	if err != nil {
		r.lastErr = err
		return true
	}
	if status == http.StatusOK {
		var response struct {
			Echo string `json:"echo"`
		}
		if json.Unmarshal(body, &response) != nil || response.Echo != request.Text {
			r.violation = "the answer to another request: " + string(body)
		}
		r.outcome = answered
		return false
	}
	r.lastErr = errors.Newf("status %d: %s", status, body)
	if bytes.Contains(body, []byte(`"not_run"`)) {
		r.outcome = refused
		return isRetryable(status)
	}
	if status == http.StatusConflict {
		if c.ranAtService(request, r.idempotencyKey) {
			r.outcome = ranUnanswered
			return false
		}
		if r.absentLookups++; r.absentLookups == maxAbsentLookups {
			r.idempotencyKey += newKeySuffix
		}
	}
	r.outcome = lost
	return true
}

// post sends a request to a plain service and returns the status and the body.
func (c *client) post(url string, request traffic.Request, key string) (int, []byte, error) {
	httpRequest, err := http.NewRequest(http.MethodPost, url+"/v1/services/"+request.Service+"/"+request.Call, strings.NewReader(request.Text))
	if err != nil {
		return 0, nil, err
	}
	httpRequest.Header.Set("Authorization", "Bearer "+traffic.APIKey(request.Customer))
	httpRequest.Header.Set("X-Request-Id", request.ID)
	httpRequest.Header.Set("Content-Type", "text/plain")
	if request.Kind == traffic.NonIdempotentCall {
		httpRequest.Header.Set("Idempotency-Key", key)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// ranAtService reports whether the service's own records contain the request.
func (c *client) ranAtService(request traffic.Request, key string) bool {
	for _, backend := range c.s.backends {
		if backend.Service != request.Service {
			continue
		}
		var runs map[string]int
		if get("http://"+backend.Addr+"/standin/runs", &runs) == nil && runs[request.Call+"/"+key] > 0 {
			return true
		}
	}
	return false
}
