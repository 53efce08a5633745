package kv

import (
	"bufio"
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"fieldvale/standin/fault"
	"fieldvale/store"
)

// Server speaks the JSON form of the etcd v3 protocol, as far as fieldvale
// uses it, over a Memory.
type Server struct {
	Memory *Memory
	Faults *fault.Box

	mu     sync.Mutex
	lease  int64
	leases map[int64]time.Time
	saved  Snapshot
	// Reads and Writes count calls.
	Reads  atomic.Int64
	Writes atomic.Int64
}

// NewServer returns a server over an empty store.
func NewServer() *Server {
	return &Server{Memory: NewMemory(), Faults: &fault.Box{}, leases: map[int64]time.Time{}}
}

type jsonKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision string `json:"mod_revision,omitempty"`
	Lease       string `json:"lease,omitempty"`
}

type jsonRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	Limit    int    `json:"limit"`
}

type jsonCompare struct {
	Key         []byte `json:"key"`
	ModRevision string `json:"mod_revision"`
}

type jsonOp struct {
	Put   *jsonKV    `json:"request_put"`
	Range *jsonRange `json:"request_range"`
	Txn   *jsonTxn   `json:"request_txn"`
}

type jsonTxn struct {
	Compare []jsonCompare `json:"compare"`
	Success []jsonOp      `json:"success"`
	Failure []jsonOp      `json:"failure"`
}

type jsonKVs struct {
	KVs []jsonKV `json:"kvs"`
}

type jsonOpAnswer struct {
	Put   *struct{}      `json:"response_put,omitempty"`
	Range *jsonKVs       `json:"response_range,omitempty"`
	Txn   *jsonTxnAnswer `json:"response_txn,omitempty"`
}

type jsonTxnAnswer struct {
	Succeeded bool           `json:"succeeded"`
	Responses []jsonOpAnswer `json:"responses"`
}

// Handle serves one request.
func (s *Server) Handle(c *fasthttp.RequestCtx) {
	p := string(c.Path())
	switch p {
	case fault.Path:
		s.Faults.Handle(c)
		return
	case "/standin/save":
		s.saved = s.Memory.Snapshot()
		return
	case "/standin/restore":
		s.Memory.Restore(s.saved)
		return
	}
	if !s.Faults.Before(c) {
		return
	}
	s.serve(c, p)
	s.Faults.After(c)
}

func (s *Server) serve(c *fasthttp.RequestCtx, path string) {
	switch path {
	case "/v3/kv/range":
		s.Reads.Add(1)
		reply(c, func(q *jsonRange) any { return s.Memory.rangeJSON(q) })
	case "/v3/kv/txn":
		s.Writes.Add(1)
		reply(c, func(q *jsonTxn) any { return s.txn(q) })
	case "/v3/lease/grant":
		s.Writes.Add(1)
		reply(c, func(q *map[string]string) any { return s.grant(*q) })
	case "/v3/watch":
		s.Reads.Add(1)
		s.watch(c)
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func reply[Q any](c *fasthttp.RequestCtx, f func(*Q) any) {
	var q Q
	if err := json.Unmarshal(c.PostBody(), &q); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	b, err := json.Marshal(f(&q))
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(b)
}

func kvJSON(p store.Pair) jsonKV {
	return jsonKV{Key: []byte(p.Key), Value: p.Value, ModRevision: strconv.FormatInt(p.Version, 10)}
}

func (m *Memory) rangeJSON(q *jsonRange) *jsonKVs {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rangeLocked(q)
}

func (m *Memory) rangeLocked(q *jsonRange) *jsonKVs {
	a := &jsonKVs{KVs: []jsonKV{}}
	if len(q.RangeEnd) > 0 {
		for _, p := range m.list(string(q.Key), q.Limit) {
			a.KVs = append(a.KVs, kvJSON(p))
		}
		return a
	}
	if p := m.get(string(q.Key)); p.Version != 0 {
		a.KVs = append(a.KVs, kvJSON(p))
	}
	return a
}

func (s *Server) txn(q *jsonTxn) *jsonTxnAnswer {
	m := s.Memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	a := s.txnLocked(q)
	m.wake()
	return a
}

func (s *Server) txnLocked(q *jsonTxn) *jsonTxnAnswer {
	a := &jsonTxnAnswer{Succeeded: s.Memory.holds(guards(q.Compare)), Responses: []jsonOpAnswer{}}
	o := q.Success
	if !a.Succeeded {
		o = q.Failure
	}
	for _, x := range o {
		a.Responses = append(a.Responses, s.op(x))
	}
	return a
}

func guards(c []jsonCompare) []store.Guard {
	g := make([]store.Guard, len(c))
	for i, x := range c {
		v, _ := strconv.ParseInt(x.ModRevision, 10, 64)
		g[i] = store.Guard{Key: string(x.Key), Version: v}
	}
	return g
}

func (s *Server) op(o jsonOp) jsonOpAnswer {
	switch {
	case o.Put != nil:
		s.Memory.put(store.Write{Key: string(o.Put.Key), Value: o.Put.Value, Expires: s.expiry(o.Put.Lease)})
		return jsonOpAnswer{Put: &struct{}{}}
	case o.Range != nil:
		return jsonOpAnswer{Range: s.Memory.rangeLocked(o.Range)}
	case o.Txn != nil:
		return jsonOpAnswer{Txn: s.txnLocked(o.Txn)}
	}
	return jsonOpAnswer{}
}

func (s *Server) expiry(lease string) time.Time {
	n, err := strconv.ParseInt(lease, 10, 64)
	if err != nil {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases[n]
}

func (s *Server) grant(q map[string]string) map[string]string {
	n, _ := strconv.ParseInt(q["TTL"], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease++
	s.leases[s.lease] = time.Now().Add(time.Duration(n) * time.Second)
	return map[string]string{"ID": strconv.FormatInt(s.lease, 10), "TTL": q["TTL"]}
}

// maxWatch ends a watch that sees nothing, so that none outlives its client
// for long.
const maxWatch = 30 * time.Second

func (s *Server) watch(c *fasthttp.RequestCtx) {
	var q struct {
		Create struct {
			Key           []byte `json:"key"`
			StartRevision string `json:"start_revision"`
		} `json:"create_request"`
	}
	if err := json.Unmarshal(c.PostBody(), &q); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	n, _ := strconv.ParseInt(q.Create.StartRevision, 10, 64)
	k := string(q.Create.Key)
	c.SetBodyStreamWriter(func(w *bufio.Writer) { s.stream(w, k, n-1) })
}

func (s *Server) stream(w *bufio.Writer, key string, above int64) {
	_, _ = w.WriteString(`{"result":{"created":true}}` + "\n")
	if w.Flush() != nil {
		return
	}
	x, cancel := context.WithTimeout(context.Background(), maxWatch)
	defer cancel()
	p, err := s.Memory.Wait(x, key, above)
	if err != nil || s.Faults.Get().Down {
		return
	}
	b, err := json.Marshal(map[string]any{"result": map[string]any{"events": []any{map[string]any{"kv": kvJSON(p)}}}})
	if err != nil {
		return
	}
	_, _ = w.Write(append(b, '\n'))
	_ = w.Flush()
}
