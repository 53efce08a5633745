// Package list stands in for the platform's lagging list of instances.
package list

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fieldvale/standin/fault"
	"fieldvale/standin/serve"
)

// Instance is one line of the list.
type Instance struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"`
	DataCentre  string `json:"data_centre"`
	Kind        string `json:"kind"`
	Service     string `json:"service,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	ChecksFence bool   `json:"checks_fence,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// List is the stand-in. It is safe for concurrent use.
type List struct {
	Faults *fault.Box
	// Lag is how old the list is that a reader gets.
	Lag time.Duration

	mu  sync.Mutex
	old []entry
}

type entry struct {
	at   time.Time
	list []Instance
}

// New returns a list that lags.
func New(lag time.Duration) *List {
	return &List{Faults: &fault.Box{}, Lag: lag}
}

// Set replaces the list; readers see it after the lag.
func (l *List) Set(i []Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.old = append(l.old, entry{time.Now(), i})
}

func (l *List) get() []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := []Instance{}
	for n, e := range l.old {
		if n == 0 || time.Since(e.at) >= l.Lag {
			r = e.list
		}
	}
	return r
}

// Handle serves one request. POST replaces the list.
func (l *List) Handle(c *fasthttp.RequestCtx) {
	if string(c.Path()) == fault.Path {
		l.Faults.Handle(c)
		return
	}
	if !l.Faults.Before(c) {
		return
	}
	if c.IsPost() {
		var w struct {
			Instances []Instance `json:"instances"`
		}
		if err := json.Unmarshal(c.PostBody(), &w); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		l.Set(w.Instances)
		return
	}
	serve.JSON(c, map[string]any{"instances": l.get()})
}
