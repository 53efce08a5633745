package entry

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"fieldvale/outcome"
	"fieldvale/pool"
)

// modelReplicas is a model of replicas: each prefills one prompt at a time, the most urgent first,
// and generates tokens more slowly with more streams and during prefill.
type modelReplicas struct {
	// pace is the prefill time of a token, stalled the part of the pace of generation during prefill.
	pace    time.Duration
	stalled float64
	mu      sync.Mutex
	// queues are the prompts by replica, the first one being prefilled; streams counts the streams.
	queues  map[string][]*modelRun
	streams map[string]int
}

// modelRun is a request at a replica, and its reply.
type modelRun struct {
	replyFake
	m                *modelReplicas
	replica          string
	priority, events int
	begun            chan struct{}
	isBegun          bool
}

// Send implements Upstream. It returns when the prompt is prefilled.
func (m *modelReplicas) Send(ctx context.Context, r *pool.Replica, d Dispatch) (Reply, error) {
	x := &modelRun{replyFake{ctx: ctx, p: scriptedReply{status: 200}}, m, r.ID, d.Priority, d.Request.Prompt.EstimatedOutputTokens / modelEventTokens, make(chan struct{}), false}
	i := 1
	m.changeQueue(r.ID, func(q []*modelRun) []*modelRun {
		for i < len(q) && q[i].priority <= d.Priority {
			i++
		}
		return slices.Insert(q, min(i, len(q)), x)
	})
	defer m.changeQueue(r.ID, func(q []*modelRun) []*modelRun { return slices.DeleteFunc(q, func(y *modelRun) bool { return y == x }) })
	select {
	case <-x.begun:
	case <-ctx.Done():
	}
	if !x.sleep(time.Duration(d.Request.Prompt.InputTokens) * m.pace) {
		return nil, outcome.New(outcome.Unknown, "read", r.ID, context.Cause(ctx))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams[r.ID]++
	return x, nil
}

// changeQueue changes the queue of a replica, and begins with its first prompt.
func (m *modelReplicas) changeQueue(id string, f func([]*modelRun) []*modelRun) {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := f(m.queues[id])
	if m.queues[id] = q; len(q) > 0 && !q[0].isBegun {
		close(q[0].begun)
		q[0].isBegun = true
	}
}

// sleep reports whether the request was still wanted after the time.
func (x *modelRun) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
	case <-x.ctx.Done():
	}
	return x.ctx.Err() == nil
}

// Next implements Reply. A step takes 3.5 ms and the time of six prompt tokens for each stream.
func (x *modelRun) Next() (Event, error) {
	if x.events == 0 {
		return Event{}, io.EOF
	}
	x.m.mu.Lock()
	d := modelEventTokens * (3500*time.Microsecond + time.Duration(6*x.m.streams[x.replica])*x.m.pace)
	if len(x.m.queues[x.replica]) > 0 {
		d = time.Duration(float64(d) / x.m.stalled)
	}
	x.m.mu.Unlock()
	// The first event comes at the end of prefill.
	if x.events--; x.n > 0 && !x.sleep(d) {
		return Event{}, context.Cause(x.ctx)
	}
	x.n++
	return Event{Data: []byte("e")}, nil
}

// Close implements Reply.
func (x *modelRun) Close() {
	x.m.mu.Lock()
	defer x.m.mu.Unlock()
	x.m.streams[x.replica]--
}
