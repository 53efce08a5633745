// Package etcd is a client of the platform's key-value service, over the JSON gateway of the
// etcd v3 protocol (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/).
package etcd

import (
	"bufio"
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fieldvale/adapter/httpconn"
	"fieldvale/outcome"
	"fieldvale/store"
)

// The protocol's paths.
const (
	pathRange = "/v3/kv/range"
	pathTxn   = "/v3/kv/txn"
	pathGrant = "/v3/lease/grant"
	pathWatch = "/v3/watch"
)

// leaseBucket is the granularity of key expiry. Keys that expire in the same bucket share
// one lease, so that a claim needs one write instead of two.
const leaseBucket = 10 * time.Minute

// Client implements store.Store. It is safe for concurrent use.
type Client struct {
	addr string
	http *httpconn.Client
	mu   sync.Mutex
	// leases are the ids of granted leases by the Unix time at which their bucket ends.
	leases map[int64]string
	// OnRequest is called with the URL path of each request; it may be nil.
	OnRequest func(path string)
}

var _ store.Store = (*Client)(nil)

// New returns a client of the service at addr.
func New(addr string) *Client {
	return &Client{addr: addr, http: httpconn.New(), leases: map[int64]string{}}
}

type wireKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision string `json:"mod_revision,omitempty"`
	Lease       string `json:"lease,omitempty"`
}

type wireRange struct {
	Key        []byte `json:"key"`
	RangeEnd   []byte `json:"range_end,omitempty"`
	Limit      int    `json:"limit,omitempty"`
	SortOrder  string `json:"sort_order,omitempty"`
	SortTarget string `json:"sort_target,omitempty"`
}

type wireKVs struct {
	KVs []wireKV `json:"kvs"`
}

type wireCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision string `json:"mod_revision"`
}

type wireOp struct {
	Put   *wireKV    `json:"request_put,omitempty"`
	Range *wireRange `json:"request_range,omitempty"`
	Txn   *wireTxn   `json:"request_txn,omitempty"`
}

type wireTxn struct {
	Compare []wireCompare `json:"compare,omitempty"`
	Success []wireOp      `json:"success,omitempty"`
	Failure []wireOp      `json:"failure,omitempty"`
}

type wireTxnResponse struct {
	Succeeded bool             `json:"succeeded"`
	Responses []wireOpResponse `json:"responses"`
}

type wireOpResponse struct {
	Range *wireKVs         `json:"response_range"`
	Txn   *wireTxnResponse `json:"response_txn"`
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Pair, error) {
	var a wireKVs
	if err := c.call(ctx, pathRange, wireRange{Key: []byte(key)}, &a); err != nil {
		return store.Pair{}, errors.Wrapf(err, "get %s", key)
	}
	if len(a.KVs) == 0 {
		return store.Pair{Key: key}, nil
	}
	return toPair(a.KVs[0])
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string, n int) ([]store.Pair, error) {
	var a wireKVs
	q := wireRange{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: n, SortOrder: "DESCEND", SortTarget: "KEY"}
	if err := c.call(ctx, pathRange, q, &a); err != nil {
		return nil, errors.Wrapf(err, "list %s", prefix)
	}
	return toPairs(a.KVs)
}

// prefixEnd returns the first key after all keys with the prefix. The prefix must not be
// empty and must end with '/'.
func prefixEnd(p string) []byte {
	b := []byte(p)
	b[len(b)-1]++
	return b
}

// toPair converts a key with its value.
func toPair(k wireKV) (store.Pair, error) {
	v, err := strconv.ParseInt(k.ModRevision, 10, 64)
	if err != nil {
		return store.Pair{}, errors.Wrapf(err, "parse mod_revision of %s", k.Key)
	}
	return store.Pair{Key: string(k.Key), Value: k.Value, Version: v}, nil
}

// toPairs converts keys with their values.
func toPairs(k []wireKV) ([]store.Pair, error) {
	r := make([]store.Pair, 0, len(k))
	for _, x := range k {
		p, err := toPair(x)
		if err != nil {
			return nil, err
		}
		r = append(r, p)
	}
	return r, nil
}

// Commit implements store.Store by one transaction.
func (c *Client) Commit(ctx context.Context, g []store.Guard, w []store.Write) (bool, error) {
	var t wireTxn
	for _, x := range g {
		t.Compare = append(t.Compare, compare(x))
	}
	for _, x := range w {
		p, err := c.put(ctx, x)
		if err != nil {
			return false, err
		}
		t.Success = append(t.Success, wireOp{Put: p})
	}
	var a wireTxnResponse
	if err := c.call(ctx, pathTxn, t, &a); err != nil {
		return false, errors.Wrap(err, "commit")
	}
	return a.Succeeded, nil
}

// CreateAll implements store.Store by one transaction with a nested one for each key.
func (c *Client) CreateAll(ctx context.Context, w []store.Write) ([]store.Pair, error) {
	var t wireTxn
	for _, x := range w {
		p, err := c.put(ctx, x)
		if err != nil {
			return nil, err
		}
		r := wireOp{Range: &wireRange{Key: []byte(x.Key)}}
		t.Success = append(t.Success, wireOp{Txn: &wireTxn{
			Compare: []wireCompare{compare(store.Guard{Key: x.Key})},
			Success: []wireOp{{Put: p}, r},
			Failure: []wireOp{r},
		}})
	}
	var a wireTxnResponse
	if err := c.call(ctx, pathTxn, t, &a); err != nil {
		return nil, errors.Wrap(err, "create")
	}
	return createdPairs(w, a)
}

// createdPairs returns the pairs in the response to CreateAll, one for each write.
func createdPairs(w []store.Write, a wireTxnResponse) ([]store.Pair, error) {
	if len(a.Responses) != len(w) {
		return nil, errors.Wrapf(store.ErrUnknown, "create: got %d responses, want %d", len(a.Responses), len(w))
	}
	r := make([]store.Pair, len(w))
	for i, x := range a.Responses {
		k, ok := lastRange(x)
		if !ok {
			return nil, errors.Wrapf(store.ErrUnknown, "create: response has no value of %s", w[i].Key)
		}
		p, err := toPair(k)
		if err != nil {
			return nil, err
		}
		r[i] = p
	}
	return r, nil
}

// lastRange returns the key read by the last operation of a nested transaction.
func lastRange(r wireOpResponse) (wireKV, bool) {
	if r.Txn == nil || len(r.Txn.Responses) == 0 {
		return wireKV{}, false
	}
	l := r.Txn.Responses[len(r.Txn.Responses)-1]
	if l.Range == nil || len(l.Range.KVs) != 1 {
		return wireKV{}, false
	}
	return l.Range.KVs[0], true
}

// compare converts a guard.
func compare(g store.Guard) wireCompare {
	return wireCompare{Key: []byte(g.Key), Target: "MOD", Result: "EQUAL", ModRevision: strconv.FormatInt(g.Version, 10)}
}

// put converts a write. It grants a lease for a key that expires.
func (c *Client) put(ctx context.Context, w store.Write) (*wireKV, error) {
	k := &wireKV{Key: []byte(w.Key), Value: w.Value}
	if w.Expires.IsZero() {
		return k, nil
	}
	l, err := c.lease(ctx, w.Expires)
	k.Lease = l
	return k, err
}

// lease returns the id of the lease for the bucket of the expiry t. It grants the lease on
// first use.
func (c *Client) lease(ctx context.Context, t time.Time) (string, error) {
	b := t.Truncate(leaseBucket).Add(leaseBucket)
	c.mu.Lock()
	id, ok := c.leases[b.Unix()]
	c.mu.Unlock()
	if ok {
		return id, nil
	}
	var a struct {
		ID string `json:"ID"`
	}
	s := int64(time.Until(b)/time.Second) + 1
	if err := c.call(ctx, pathGrant, map[string]string{"TTL": strconv.FormatInt(s, 10)}, &a); err != nil {
		return "", errors.Wrap(notWritten(err), "grant a lease")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropExpiredLeases()
	c.leases[b.Unix()] = a.ID
	return a.ID, nil
}

// notWritten marks the error of a step before the write as store.ErrUnavailable. It drops an
// ErrUnknown mark, since the write itself was not sent.
func notWritten(err error) error {
	return errors.Mark(errors.Newf("%v", err), store.ErrUnavailable)
}

// dropExpiredLeases removes the ids of expired leases. The caller must hold c.mu.
func (c *Client) dropExpiredLeases() {
	n := time.Now().Unix()
	for b := range c.leases {
		if b < n {
			delete(c.leases, b)
		}
	}
}

// Wait implements store.Store by a watch that it closes after the first event.
func (c *Client) Wait(ctx context.Context, key string, above int64) (store.Pair, error) {
	type create struct {
		Key           []byte `json:"key"`
		StartRevision string `json:"start_revision"`
	}
	b, err := json.Marshal(map[string]create{"create_request": {Key: []byte(key), StartRevision: strconv.FormatInt(above+1, 10)}})
	if err != nil {
		return store.Pair{}, errors.Wrap(err, "etcd: encode a watch request")
	}
	c.count(pathWatch)
	q, p := c.request(pathWatch, b)
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	l, err := c.http.Stream(ctx, c.addr, q, p)
	if err != nil {
		return store.Pair{}, errors.Mark(errors.Wrapf(err, "watch %s", key), store.ErrUnavailable)
	}
	defer l.Close()
	if p.StatusCode() != fasthttp.StatusOK {
		return store.Pair{}, errors.Wrapf(store.ErrUnavailable, "watch %s: got status %d, want 200", key, p.StatusCode())
	}
	return firstEvent(l, key)
}

// firstEvent reads a watch until a message has events, and returns the last of them.
func firstEvent(l *httpconn.Call, key string) (store.Pair, error) {
	d := json.NewDecoder(bufio.NewReader(l.Body()))
	for {
		var a struct {
			Result struct {
				Events []struct {
					KV wireKV `json:"kv"`
				} `json:"events"`
			} `json:"result"`
		}
		if err := d.Decode(&a); err != nil {
			return store.Pair{}, errors.Mark(errors.Wrapf(err, "watch %s", key), store.ErrUnavailable)
		}
		if n := len(a.Result.Events); n > 0 {
			return toPair(a.Result.Events[n-1].KV)
		}
	}
}

func (c *Client) count(path string) {
	if c.OnRequest != nil {
		c.OnRequest(path)
	}
}

// request returns a POST request and a response to fill. The caller must release both.
func (c *Client) request(path string, b []byte) (*fasthttp.Request, *fasthttp.Response) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	q.Header.SetMethod(fasthttp.MethodPost)
	q.SetRequestURI("http://" + c.addr + path)
	q.Header.SetContentType("application/json")
	q.SetBodyRaw(b)
	return q, p
}

// call sends a request and decodes the response into out. A failure after bytes were sent is
// store.ErrUnknown, unless the service itself returned an error status; any other failure is
// store.ErrUnavailable.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "etcd: encode a request")
	}
	c.count(path)
	q, p := c.request(path, b)
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	if err := c.http.Do(ctx, c.addr, q, p); err != nil {
		return classify(err)
	}
	if p.StatusCode() != fasthttp.StatusOK {
		return errors.Wrapf(store.ErrUnavailable, "%s%s: got status %d, want 200", c.addr, path, p.StatusCode())
	}
	if err := json.Unmarshal(p.Body(), out); err != nil {
		return errors.Mark(errors.Wrapf(err, "%s%s", c.addr, path), store.ErrUnknown)
	}
	return nil
}

// classify marks a transport error by whether the request may have been applied.
func classify(err error) error {
	if outcome.KindOf(err) == outcome.NotRun {
		return errors.Mark(err, store.ErrUnavailable)
	}
	return errors.Mark(err, store.ErrUnknown)
}
