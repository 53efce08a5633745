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

// Server serves a Memory over the JSON form of the etcd v3 protocol, as far as
// fieldvale uses it.
type Server struct {
	Memory *Memory
	Faults *fault.Injector

	mu sync.Mutex
	// lastLease is the ID of the lease granted last.
	lastLease int64
	// leases holds the expiry times by lease ID.
	leases map[int64]time.Time
	saved  Snapshot
	// Reads and Writes count the calls that read and that write.
	Reads  atomic.Int64
	Writes atomic.Int64
}

// NewServer returns a server over an empty store.
func NewServer() *Server {
	return &Server{Memory: NewMemory(), Faults: &fault.Injector{}, leases: map[int64]time.Time{}}
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

type jsonOpResponse struct {
	Put   *struct{}        `json:"response_put,omitempty"`
	Range *jsonKVs         `json:"response_range,omitempty"`
	Txn   *jsonTxnResponse `json:"response_txn,omitempty"`
}

type jsonTxnResponse struct {
	Succeeded bool             `json:"succeeded"`
	Responses []jsonOpResponse `json:"responses"`
}

// Handle serves one HTTP request.
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

// reply decodes the request body, calls f and responds with its result as JSON.
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

// rangeLocked returns one key, or all with its prefix if the request has a range
// end. m.mu must be held.
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

func (s *Server) txn(q *jsonTxn) *jsonTxnResponse {
	m := s.Memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	a := s.txnLocked(q)
	m.wake()
	return a
}

// txnLocked runs a transaction. s.Memory.mu must be held.
func (s *Server) txnLocked(q *jsonTxn) *jsonTxnResponse {
	a := &jsonTxnResponse{Succeeded: s.Memory.holds(guards(q.Compare)), Responses: []jsonOpResponse{}}
	o := q.Success
	if !a.Succeeded {
		o = q.Failure
	}
	for _, x := range o {
		a.Responses = append(a.Responses, s.op(x))
	}
	return a
}

// guards converts the comparisons of a transaction.
func guards(c []jsonCompare) []store.Guard {
	g := make([]store.Guard, len(c))
	for i, x := range c {
		v, _ := strconv.ParseInt(x.ModRevision, 10, 64)
		g[i] = store.Guard{Key: string(x.Key), Version: v}
	}
	return g
}

// op runs one operation of a transaction. s.Memory.mu must be held.
func (s *Server) op(o jsonOp) jsonOpResponse {
	switch {
	case o.Put != nil:
		s.Memory.put(store.Write{Key: string(o.Put.Key), Value: o.Put.Value, Expires: s.expiry(o.Put.Lease)})
		return jsonOpResponse{Put: &struct{}{}}
	case o.Range != nil:
		return jsonOpResponse{Range: s.Memory.rangeLocked(o.Range)}
	case o.Txn != nil:
		return jsonOpResponse{Txn: s.txnLocked(o.Txn)}
	}
	return jsonOpResponse{}
}

// expiry returns the expiry time of a lease, or zero if there is none.
func (s *Server) expiry(lease string) time.Time {
	n, err := strconv.ParseInt(lease, 10, 64)
	if err != nil {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases[n]
}

// grant serves /v3/lease/grant.
func (s *Server) grant(q map[string]string) map[string]string {
	n, _ := strconv.ParseInt(q["TTL"], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = time.Now().Add(time.Duration(n) * time.Second)
	return map[string]string{"ID": strconv.FormatInt(s.lastLease, 10), "TTL": q["TTL"]}
}

// maxWatchDuration ends a watch without events, so that no watch outlives its client for
// long.
const maxWatchDuration = 30 * time.Second

// watch serves /v3/watch.
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

// stream writes the creation event and, once the key has a version greater than
// above, one event with its value. It then ends the watch.
func (s *Server) stream(w *bufio.Writer, key string, above int64) {
	_, _ = w.WriteString(`{"result":{"created":true}}` + "\n")
	if w.Flush() != nil {
		return
	}
	x, cancel := context.WithTimeout(context.Background(), maxWatchDuration)
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
