// Package platform is a client of the platform's instance list and rating service, and of
// the load reports and orders of backend servers.
package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fieldvale/adapter/httpconn"
	"fieldvale/entry"
	"fieldvale/peer"
	"fieldvale/pool"
	"fieldvale/version"
)

// InstanceList is the platform's list of fieldvale instances and of backend servers.
type InstanceList struct {
	Members  []peer.Member
	Replicas []pool.Replica
}

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

type wireInstance struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"`
	DataCentre  string `json:"data_centre"`
	Kind        string `json:"kind"`
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	ChecksFence bool   `json:"checks_fence"`
	Leaving     bool   `json:"leaving"`
}

// memberKind is the kind of fieldvale's own instances in the list.
const memberKind = "fieldvale"

// Instances returns the list, which lags behind the actual state. It leaves out draining
// instances of fieldvale.
func (p *Client) Instances(ctx context.Context) (InstanceList, error) {
	var w struct {
		Instances []wireInstance `json:"instances"`
	}
	if err := p.get(ctx, p.listAddr, "/v1/instances", &w); err != nil {
		return InstanceList{}, errors.Wrap(err, "platform: list instances")
	}
	var l InstanceList
	for _, i := range w.Instances {
		if i.Kind == memberKind {
			if !i.Leaving {
				l.Members = append(l.Members, peer.Member{ID: i.ID, Addr: i.Addr, DataCentre: i.DataCentre})
			}
			continue
		}
		l.Replicas = append(l.Replicas, pool.Replica{
			ID: i.ID, Addr: i.Addr, DataCentre: i.DataCentre, Kind: pool.Kind(i.Kind),
			Service: i.Service, Slots: i.Slots, ChecksFencingToken: i.ChecksFence, Draining: i.Leaving,
		})
	}
	return l, nil
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
		return err
	}
	if a.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("%s%s: got status %d, want 200", addr, path, a.StatusCode())
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(a.Body(), out), "%s%s", addr, path)
}
