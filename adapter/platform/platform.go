// Package platform is a client of the platform's instance list and rating service, and of
// the load reports and orders of backend servers.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fieldvale/adapter/httpconn"
	"fieldvale/entry"
	"fieldvale/pool"
	"fieldvale/version"
)

// Client is a client of the platform's services.
type Client struct {
	http *httpconn.Client
	// listAddr and ratingAddr are the addresses of the list and of the rating service.
	listAddr   string
	ratingAddr string
}

var _ entry.Rater = (*Client)(nil)

// New returns a client of the list and the rating service at the given addresses.
func New(c *httpconn.Client, listAddr, ratingAddr string) *Client {
	return &Client{http: c, listAddr: listAddr, ratingAddr: ratingAddr}
}

// EngineReport is a model engine's report of its load and state.
type EngineReport struct {
	Running  int
	Waiting  int
	Slots    int
	Draining bool
	Versions []version.ID
}

// Load fetches an engine's report.
func (p *Client) Load(ctx context.Context, r pool.Replica) (EngineReport, error) {
	var w struct {
		Running  int      `json:"running"`
		Waiting  int      `json:"waiting"`
		Slots    int      `json:"slots"`
		Leaving  bool     `json:"leaving"`
		Versions []string `json:"versions"`
	}
	if err := p.get(ctx, r.Addr, "/load", &w); err != nil {
		return EngineReport{}, errors.Wrapf(err, "platform: fetch the load of %s", r.ID)
	}
	o := EngineReport{Running: w.Running, Waiting: w.Waiting, Slots: w.Slots, Draining: w.Leaving}
	for _, t := range w.Versions {
		v, err := version.Parse(t)
		if err != nil {
			return o, errors.Wrapf(err, "platform: load report of %s", r.ID)
		}
		o.Versions = append(o.Versions, v)
	}
	return o, nil
}

// Unload orders an engine to accept no more requests for a version. fence is the revision of
// the configuration. It is a fencing token: an engine that checks it refuses an order with a
// lower one than it has seen.
func (p *Client) Unload(ctx context.Context, r pool.Replica, v version.ID, fence uint64) error {
	b, err := json.Marshal(map[string]any{"order": "unload", "version": v.String(), "fence": fence})
	if err != nil {
		return errors.Wrap(err, "platform: encode an order")
	}
	return errors.Wrapf(p.post(ctx, r.Addr, "/orders", b, nil), "platform: order %s to unload a version", r.ID)
}

// Rate implements entry.Rater by the platform's rating service.
func (p *Client) Rate(ctx context.Context, request, answer []byte) (float64, error) {
	b, err := json.Marshal(map[string]string{"request": string(request), "answer": string(answer)})
	if err != nil {
		return 0, errors.Wrap(err, "platform: encode a rating request")
	}
	var w struct {
		Rating *float64 `json:"rating"`
	}
	if err := p.post(ctx, p.ratingAddr, "/v1/ratings", b, &w); err != nil {
		return 0, errors.Wrap(err, "platform: rate an answer")
	}
	if w.Rating == nil {
		return 0, errors.New("platform: rate an answer: response has no rating")
	}
	return *w.Rating, nil
}

func (p *Client) get(ctx context.Context, addr, path string, out any) error {
	return p.call(ctx, fasthttp.MethodGet, addr, path, nil, out)
}

func (p *Client) post(ctx context.Context, addr, path string, b []byte, out any) error {
	return p.call(ctx, fasthttp.MethodPost, addr, path, b, out)
}

// callTimeout bounds a call whose context has no earlier deadline.
const callTimeout = 3 * time.Second

// call sends a JSON request and decodes the response into out unless out is nil.
func (p *Client) call(ctx context.Context, method, addr, path string, b []byte, out any) error {
	r, err := p.fetch(ctx, method, addr, path, b)
	if err != nil || out == nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(r, out), "%s%s", addr, path)
}

// fetch sends a JSON request and returns the body of the response.
func (p *Client) fetch(ctx context.Context, method, addr, path string, b []byte) ([]byte, error) {
	x, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.Header.SetMethod(method)
	q.SetRequestURI("http://" + addr + path)
	q.Header.SetContentType("application/json")
	q.SetBodyRaw(b)
	if err := p.http.Do(x, addr, q, a); err != nil {
		return nil, err
	}
	if a.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Newf("%s%s: got status %d, want 200", addr, path, a.StatusCode())
	}
	return bytes.Clone(a.Body()), nil
}
