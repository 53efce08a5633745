// Package platform reaches the platform's instance list and rating service,
// and asks backend servers for their load and gives them orders.
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

// List is what the platform's list of instances says.
type List struct {
	Members  []peer.Member
	Replicas []pool.Replica
}

// Platform is a client of the platform's services.
type Platform struct {
	http   *httpconn.Client
	list   string
	rating string
}

var _ entry.Rater = (*Platform)(nil)

// New returns a client of the list and the rating service at those addresses.
func New(c *httpconn.Client, list, rating string) *Platform {
	return &Platform{http: c, list: list, rating: rating}
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

// memberKind is how the list names fieldvale's own instances.
const memberKind = "fieldvale"

// Instances returns the list, which lags.
func (p *Platform) Instances(ctx context.Context) (List, error) {
	var w struct {
		Instances []wireInstance `json:"instances"`
	}
	if err := p.get(ctx, p.list, "/v1/instances", &w); err != nil {
		return List{}, errors.Wrap(err, "platform.Instances")
	}
	var l List
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

// Report is what a model engine says of itself.
type Report struct {
	Running  int
	Waiting  int
	Slots    int
	Leaving  bool
	Versions []version.ID
}

// Load asks an engine for its report.
func (p *Platform) Load(ctx context.Context, r pool.Replica) (Report, error) {
	var w struct {
		Running  int      `json:"running"`
		Waiting  int      `json:"waiting"`
		Slots    int      `json:"slots"`
		Leaving  bool     `json:"leaving"`
		Versions []string `json:"versions"`
	}
	if err := p.get(ctx, r.Addr, "/load", &w); err != nil {
		return Report{}, errors.Wrapf(err, "platform.Load %s", r.ID)
	}
	o := Report{Running: w.Running, Waiting: w.Waiting, Slots: w.Slots, Leaving: w.Leaving}
	for _, t := range w.Versions {
		v, err := version.Parse(t)
		if err != nil {
			return o, errors.Wrapf(err, "platform.Load %s", r.ID)
		}
		o.Versions = append(o.Versions, v)
	}
	return o, nil
}

// Unload orders an engine to take no more work for a version. The fence is
// the configuration's revision; an engine that checks refuses a lower one
// than it has seen.
func (p *Platform) Unload(ctx context.Context, r pool.Replica, v version.ID, fence uint64) error {
	b, err := json.Marshal(map[string]any{"order": "unload", "version": v.String(), "fence": fence})
	if err != nil {
		return errors.Wrap(err, "platform.Unload")
	}
	return errors.Wrapf(p.post(ctx, r.Addr, "/orders", b, nil), "platform.Unload %s", r.ID)
}

// Rate implements entry.Rater.
func (p *Platform) Rate(ctx context.Context, request, answer []byte) (float64, error) {
	b, err := json.Marshal(map[string]string{"request": string(request), "answer": string(answer)})
	if err != nil {
		return 0, errors.Wrap(err, "platform.Rate")
	}
	var w struct {
		Rating *float64 `json:"rating"`
	}
	if err := p.post(ctx, p.rating, "/v1/ratings", b, &w); err != nil {
		return 0, errors.Wrap(err, "platform.Rate")
	}
	if w.Rating == nil {
		return 0, errors.New("platform.Rate: answer has no rating")
	}
	return *w.Rating, nil
}

func (p *Platform) get(ctx context.Context, addr, path string, out any) error {
	return p.call(ctx, fasthttp.MethodGet, addr, path, nil, out)
}

func (p *Platform) post(ctx context.Context, addr, path string, b []byte, out any) error {
	return p.call(ctx, fasthttp.MethodPost, addr, path, b, out)
}

// callTimeout bounds a call whose context has no earlier deadline.
const callTimeout = 3 * time.Second

func (p *Platform) call(ctx context.Context, method, addr, path string, b []byte, out any) error {
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
		return errors.Newf("%s%s: status %d", addr, path, a.StatusCode())
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(a.Body(), out), "%s%s", addr, path)
}
