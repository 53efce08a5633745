// Package list fakes the platform's list of instances and backend servers,
// which readers see with a delay.
package list

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fieldvale/standin/fault"
	"fieldvale/standin/serve"
)

// Instance is one entry of the list: an instance or a backend server.
type Instance struct {
	ID                 string `json:"id"`
	Addr               string `json:"addr"`
	DataCentre         string `json:"data_centre"`
	Kind               string `json:"kind"`
	Service            string `json:"service,omitempty"`
	Slots              int    `json:"slots,omitempty"`
	ChecksFencingToken bool   `json:"checks_fence,omitempty"`
	Draining           bool   `json:"leaving,omitempty"`
}

// List is a fake instance list. It is safe for concurrent use.
type List struct {
	Faults *fault.Injector
	// Lag is the delay until readers see a new version of the list.
	Lag time.Duration

	mu       sync.Mutex
	versions []version
}

// version is the list as it was published at a point in time.
type version struct {
	at   time.Time
	list []Instance
}

// New returns an empty list whose versions readers see after lag.
func New(lag time.Duration) *List {
	return &List{Faults: &fault.Injector{}, Lag: lag}
}

// Set publishes a new version of the list, which readers see after Lag.
func (l *List) Set(i []Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{time.Now(), i})
}

// visible returns the newest version that is at least Lag old. The first version
// is visible at once.
func (l *List) visible() []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := []Instance{}
	for n, e := range l.versions {
		if n == 0 || time.Since(e.at) >= l.Lag {
			r = e.list
		}
	}
	return r
}

// Handle serves one HTTP request: GET returns the list, POST replaces it.
func (l *List) Handle(c *fasthttp.RequestCtx) {
	if string(c.Path()) == fault.Path {
		l.Faults.Handle(c)
		return
	}
	if !l.Faults.Before(c) {
		return
	}
	if c.IsPost() {
		var body struct {
			Instances []Instance `json:"instances"`
		}
		if err := json.Unmarshal(c.PostBody(), &body); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		l.Set(body.Instances)
		return
	}
	serve.JSON(c, map[string]any{"instances": l.visible()})
}
