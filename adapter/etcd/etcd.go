// Package etcd reaches the platform's key-value service by the JSON form of
// the etcd v3 protocol (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/).
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

// leaseBucket is the grain of expiry: keys that expire in the same bucket
// share one lease, so that a claim costs one write and not two.
const leaseBucket = 10 * time.Minute

// Client is a store.Store. It is safe for concurrent use.
type Client struct {
	addr   string
	http   *httpconn.Client
	mu     sync.Mutex
	leases map[int64]string
	// Count is called with the method of each call; it may be nil.
	Count func(method string)
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

type wireTxnAnswer struct {
	Succeeded bool             `json:"succeeded"`
	Responses []wireOpResponse `json:"responses"`
}

type wireOpResponse struct {
	Range *wireKVs       `json:"response_range"`
	Txn   *wireTxnAnswer `json:"response_txn"`
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
	return pair(a.KVs[0])
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string, n int) ([]store.Pair, error) {
	var a wireKVs
	q := wireRange{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: n, SortOrder: "DESCEND", SortTarget: "KEY"}
	if err := c.call(ctx, pathRange, q, &a); err != nil {
		return nil, errors.Wrapf(err, "list %s", prefix)
	}
	return pairs(a.KVs)
}

// prefixEnd is the first key after all that have the prefix, which is never
// empty and ends with '/'.
func prefixEnd(p string) []byte {
	b := []byte(p)
	b[len(b)-1]++
	return b
}

func pair(k wireKV) (store.Pair, error) {
	v, err := strconv.ParseInt(k.ModRevision, 10, 64)
	if err != nil {
		return store.Pair{}, errors.Wrapf(err, "mod_revision of %s", k.Key)
	}
	return store.Pair{Key: string(k.Key), Value: k.Value, Version: v}, nil
}

func pairs(k []wireKV) ([]store.Pair, error) {
	r := make([]store.Pair, 0, len(k))
	for _, x := range k {
		p, err := pair(x)
		if err != nil {
			return nil, err
		}
		r = append(r, p)
	}
	return r, nil
}

// Commit implements store.Store.
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
	var a wireTxnAnswer
	if err := c.call(ctx, pathTxn, t, &a); err != nil {
		return false, errors.Wrap(err, "commit")
	}
	return a.Succeeded, nil
}

// CreateAll implements store.Store.
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
	var a wireTxnAnswer
	if err := c.call(ctx, pathTxn, t, &a); err != nil {
		return nil, errors.Wrap(err, "create")
	}
	return created(w, a)
}

func created(w []store.Write, a wireTxnAnswer) ([]store.Pair, error) {
	if len(a.Responses) != len(w) {
		return nil, errors.Wrapf(store.ErrUnknown, "create: %d answers to %d writes", len(a.Responses), len(w))
	}
	r := make([]store.Pair, len(w))
	for i, x := range a.Responses {
		k, ok := lastRange(x)
		if !ok {
			return nil, errors.Wrapf(store.ErrUnknown, "create: no value under %s", w[i].Key)
		}
		p, err := pair(k)
		if err != nil {
			return nil, err
		}
		r[i] = p
	}
	return r, nil
}

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

func compare(g store.Guard) wireCompare {
	return wireCompare{Key: []byte(g.Key), Target: "MOD", Result: "EQUAL", ModRevision: strconv.FormatInt(g.Version, 10)}
}

func (c *Client) put(ctx context.Context, w store.Write) (*wireKV, error) {
	k := &wireKV{Key: []byte(w.Key), Value: w.Value}
	if w.Expires.IsZero() {
		return k, nil
	}
	l, err := c.lease(ctx, w.Expires)
	k.Lease = l
	return k, err
}

// lease returns the lease of the expiry's bucket, granted on first use.
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
		return "", errors.Wrap(unsent(err), "lease")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetLeases()
	c.leases[b.Unix()] = a.ID
	return a.ID, nil
}

// unsent says of a failed step before the write itself that nothing changed.
func unsent(err error) error {
	return errors.Mark(errors.Newf("%v", err), store.ErrUnavailable)
}

func (c *Client) forgetLeases() {
	n := time.Now().Unix()
	for b := range c.leases {
		if b < n {
			delete(c.leases, b)
		}
	}
}

// Wait implements store.Store by a watch that is closed at its first event.
func (c *Client) Wait(ctx context.Context, key string, above int64) (store.Pair, error) {
	type create struct {
		Key           []byte `json:"key"`
		StartRevision string `json:"start_revision"`
	}
	b, err := json.Marshal(map[string]create{"create_request": {Key: []byte(key), StartRevision: strconv.FormatInt(above+1, 10)}})
	if err != nil {
		return store.Pair{}, errors.Wrap(err, "etcd.Wait")
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
		return store.Pair{}, errors.Wrapf(store.ErrUnavailable, "watch %s: status %d", key, p.StatusCode())
	}
	return firstEvent(l, key)
}

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
			return pair(a.Result.Events[n-1].KV)
		}
	}
}

func (c *Client) count(path string) {
	if c.Count != nil {
		c.Count(path)
	}
}

func (c *Client) request(path string, b []byte) (*fasthttp.Request, *fasthttp.Response) {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	q.Header.SetMethod(fasthttp.MethodPost)
	q.SetRequestURI("http://" + c.addr + path)
	q.Header.SetContentType("application/json")
	q.SetBodyRaw(b)
	return q, p
}

// call posts one request. A failure after bytes were sent is ErrUnknown
// unless the service itself refused.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "etcd")
	}
	c.count(path)
	q, p := c.request(path, b)
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	if err := c.http.Do(ctx, c.addr, q, p); err != nil {
		return classify(err)
	}
	if p.StatusCode() != fasthttp.StatusOK {
		return errors.Wrapf(store.ErrUnavailable, "%s%s: status %d", c.addr, path, p.StatusCode())
	}
	if err := json.Unmarshal(p.Body(), out); err != nil {
		return errors.Mark(errors.Wrapf(err, "%s%s", c.addr, path), store.ErrUnknown)
	}
	return nil
}

func classify(err error) error {
	if outcome.Of(err) == outcome.NotRun {
		return errors.Mark(err, store.ErrUnavailable)
	}
	return errors.Mark(err, store.ErrUnknown)
}
