package faults

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/config"
	"fieldvale/entry"
	"fieldvale/outcome"
	"fieldvale/policy"
	"fieldvale/session"
	"fieldvale/standin/world"
)

// clientRequest is one request with the results that its client received.
type clientRequest struct {
	n        int
	id       string
	kind     string
	answered bool
	complete bool
	replayed bool
	// allNotRun reports whether every attempt failed with outcome NotRun.
	allNotRun bool
	attempts  int
	duration  time.Duration
	lastErr   error
	// entries are the IDs of the instances that the attempts were sent to.
	entries []string
}

// sendTraffic sends the requests at a fixed interval, each from a client of its own.
func (d *deployment) sendTraffic(ctx context.Context) {
	d.waitUntil(3)
	var g sync.WaitGroup
	for n := range requestCount {
		s := &clientRequest{n: n, id: fmt.Sprintf("r%03d", n), kind: []string{"stream", "once", "chat", "once", "plain"}[n%5], allNotRun: true}
		d.sent = append(d.sent, s)
		g.Go(func() { d.sendWithRetries(ctx, s) })
		time.Sleep(sendInterval)
	}
	g.Wait()
}

// sendWithRetries sends the request to one ready instance after another until one
// answers. It does not retry a request of kind "once" that may have run.
func (d *deployment) sendWithRetries(ctx context.Context, s *clientRequest) {
	c := world.Client{W: d.w, P: &world.Proc{Name: "client"}}
	begin := time.Now()
	for n := range 12 {
		l := d.readyInstances()
		if len(l) == 0 {
			time.Sleep(time.Second)
			continue
		}
		i := l[(s.n+n)%len(l)]
		s.attempts++
		s.entries = append(s.entries, i.ID)
		d.step("admission", i.Entry)
		err := d.attempt(ctx, c, i, s)
		d.longestRequest = max(d.longestRequest, time.Since(begin))
		if err == nil {
			s.answered, s.allNotRun = true, false
			break
		}
		s.lastErr = err
		var f *entry.Failure
		if !errors.As(err, &f) || f.Outcome != outcome.NotRun {
			s.allNotRun = false
		}
		if s.kind == "once" && errors.As(err, &f) && f.Code == entry.MayHaveRun {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.duration = time.Since(begin)
}

// readyInstances returns the instances that a load balancer would use.
func (d *deployment) readyInstances() []*world.Instance {
	var r []*world.Instance
	for _, i := range d.w.Instances() {
		if i.Ready() {
			r = append(r, i)
		}
	}
	return r
}

// attempt sends the request to instance i once and checks that the attempt ended by its
// deadline.
func (d *deployment) attempt(ctx context.Context, c world.Client, i *world.Instance, s *clientRequest) error {
	x, cancel := context.WithTimeout(ctx, requestTimeout+time.Second)
	defer cancel()
	begin := time.Now()
	err := d.sendRequest(x, c, i, s)
	if t := time.Since(begin); t > requestTimeout+2*time.Second {
		d.reportViolation("%s: an attempt took %s, longer than its deadline", s.id, t)
	}
	return err
}

// sendRequest sends the request to instance i, as a chat or a service call, and records
// the result in s.
func (d *deployment) sendRequest(x context.Context, c world.Client, i *world.Instance, s *clientRequest) error {
	switch s.kind {
	case "once", "plain":
		return d.callService(x, c, i, s)
	}
	type reply struct {
		text string
		r    entry.Result
	}
	k := fmt.Sprintf("thread%d", s.n%threadCount)
	d.mu.Lock()
	token := d.sessionTokens[k]
	d.mu.Unlock()
	a, err := world.CallEntry(x, c, i, func(y context.Context, r *entry.Router, v *entry.View) (reply, error) {
		if v.Active == nil {
			return reply{}, &entry.Failure{Code: entry.NotReady, Outcome: outcome.NotRun}
		}
		q, err := d.chatRequest(v, s, k, token)
		if err != nil {
			return reply{}, err
		}
		if s.kind == "chat" {
			a, f, err := r.Chat(y, q)
			return reply{a.Text, f}, err
		}
		k := &streamRecorder{}
		err = r.Stream(y, q, k)
		return reply{strings.Join(k.text, ""), k.result}, err
	})
	if err != nil {
		return err
	}
	s.complete = world.IsCompleteAnswer(a.text, s.id)
	d.storeSession(i, k, token, a.r)
	return nil
}

// chatRequest returns the chat request for s with the thread's session, from the token
// if there is one.
func (d *deployment) chatRequest(v *entry.View, s *clientRequest, thread, token string) (entry.Request, error) {
	c, ok := v.Active.Caller("")
	_ = ok
	c.Team = "t"
	c.Customer, _ = v.Active.Document().Part("t").Source.Catalog.Customer(customerName(s.n))
	q := entry.Request{ID: s.id, Caller: c, Task: "chat", Size: policy.Small, Model: entry.AutoModel, Body: world.ChatBody(s.id), Deadline: time.Now().Add(requestTimeout)}
	q.Session = session.New(thread, "", time.Now().Add(24*time.Hour))
	if token != "" {
		o, err := v.Active.SessionKeys().Verify(token, time.Now())
		if err != nil {
			d.reportViolation("%s: session token was rejected: %v", s.id, err)
		}
		q.Session = o
	}
	return q, nil
}

// storeSession stores the new token of the thread's session and its pinned version. It
// stores neither if the token changed since the request was sent with the token `sent`:
// a concurrent request of the thread then was answered first.
func (d *deployment) storeSession(i *world.Instance, thread, sent string, r entry.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessionTokens[thread] != sent {
		return
	}
	d.sessionTokens[thread] = i.View.Get().Active.SessionKeys().Issue(r.Session)
	if p, ok := r.Session.Pin("cheap"); ok {
		l := d.sessionVersions[thread]
		if len(l) == 0 || l[len(l)-1] != p {
			d.sessionVersions[thread] = append(l, p)
		}
	}
}

// streamRecorder records a streamed answer.
type streamRecorder struct {
	text   []string
	result entry.Result
}

func (s *streamRecorder) Head(r entry.Result) error { s.result = r; return nil }

func (s *streamRecorder) Chunk(b []byte) error {
	s.text = append(s.text, string(b))
	return nil
}

// callService calls the memory service through instance i: "write" with an idempotency
// key for kind "once", else "search".
func (d *deployment) callService(x context.Context, c world.Client, i *world.Instance, s *clientRequest) error {
	call, key := "search", ""
	if s.kind == "once" {
		call, key = "write", s.id
	}
	a, err := world.CallEntry(x, c, i, func(y context.Context, r *entry.Router, v *entry.View) (entry.ServiceResult, error) {
		if v.Active == nil {
			return entry.ServiceResult{}, &entry.Failure{Code: entry.NotReady, Outcome: outcome.NotRun}
		}
		k := config.Caller{Team: "t"}
		k.Customer, _ = v.Active.Document().Part("t").Source.Catalog.Customer(customerName(s.n))
		return r.Call(y, entry.ServiceRequest{ID: s.id, Caller: k, Service: "memory", Call: call, Body: []byte(s.id), IdempotencyKey: key, Deadline: time.Now().Add(requestTimeout)})
	})
	if err != nil {
		return err
	}
	s.replayed = a.Replayed
	s.complete = string(a.Answer.Body) == "done "+s.id
	return nil
}

// billedRequests returns the number of billed requests by customer.
func (d *deployment) billedRequests(ctx context.Context) map[string]uint64 {
	r := map[string]uint64{}
	for l, a := range d.w.Billed(ctx) {
		r[l.Customer] += a.Requests
	}
	return r
}
