// Package metrics registers the Prometheus metrics of a process and serves them.
package metrics

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"fieldvale/adapter/socket"
	"fieldvale/connlimit"
)

// Registry holds the metrics of one process.
type Registry struct {
	registry *prometheus.Registry
	// interrupted counts the connections that limiters refused or interrupted.
	interrupted *prometheus.CounterVec
}

// New returns a registry with the standard metrics of the Go runtime and of the process.
func New() *Registry {
	r := &Registry{registry: prometheus.NewRegistry()}
	r.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r.interrupted = r.Counter("connections_interrupted_total", "Connections refused for lack of room, or interrupted while they were idle or a request arrived, by listener, phase and reason.", "listener", "phase", "reason")
	return r
}

// CountInterruption counts a connection of the listener that was refused or interrupted.
func (r *Registry) CountInterruption(listener string, i connlimit.Interruption) {
	reason := "no_room"
	if errors.Is(i.Reason, connlimit.ErrTooSlow) {
		reason = "too_slow"
	}
	r.interrupted.WithLabelValues(listener, i.Phase.String(), reason).Inc()
}

// Counter registers a counter with labels.
func (r *Registry) Counter(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "fieldvale", Name: name, Help: help}, labels)
	r.registry.MustRegister(c)
	return c
}

// Histogram registers a histogram of durations in seconds with labels.
func (r *Registry) Histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "fieldvale", Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.002, 2, 14)}, labels)
	r.registry.MustRegister(h)
	return h
}

// GaugeFunc registers a gauge whose value f returns at each scrape.
func (r *Registry) GaugeFunc(name, help string, f func() float64) {
	r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "fieldvale", Name: name, Help: help}, f))
}

// CounterFunc registers a counter whose value f returns at each scrape.
func (r *Registry) CounterFunc(name, help string, f func() float64) {
	r.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "fieldvale", Name: name, Help: help}, f))
}

// GaugeVecFunc registers a gauge with one label. f returns its values by label value at each scrape.
func (r *Registry) GaugeVecFunc(name, help, label string, f func() map[string]float64) {
	d := prometheus.NewDesc("fieldvale_"+name, help, []string{label}, nil)
	r.registry.MustRegister(gaugeCollector{d, f})
}

// gaugeCollector implements prometheus.Collector for a gauge whose set of label values changes.
type gaugeCollector struct {
	desc *prometheus.Desc
	read func() map[string]float64
}

// Describe implements prometheus.Collector.
func (g gaugeCollector) Describe(c chan<- *prometheus.Desc) { c <- g.desc }

// Collect implements prometheus.Collector.
func (g gaugeCollector) Collect(c chan<- prometheus.Metric) {
	for l, v := range g.read() {
		c <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, v, l)
	}
}

const (
	// readTimeout bounds the time to read one request.
	readTimeout = 5 * time.Second
	// maxConnections and maxBytes bound the connections and their memory, in bytes.
	maxConnections = 16
	maxBytes       = 1 << 20
)

// Serve serves /metrics, /healthz and /readyz until the listener is closed, on a few connections at a time. /healthz
// always reports success; /readyz reports the result of ready.
func (r *Registry) Serve(l net.Listener, ready func() bool) error {
	m := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{}))
	s := &fasthttp.Server{ReadTimeout: readTimeout, NoDefaultServerHeader: true, Handler: func(c *fasthttp.RequestCtx) {
		switch string(c.Path()) {
		case "/metrics":
			m(c)
		case "/healthz":
			c.SetBodyString("ok\n")
		case "/readyz":
			if !ready() {
				c.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		default:
			c.SetStatusCode(fasthttp.StatusNotFound)
		}
	}}
	limiter := connlimit.New(time.Now, connlimit.Limits{Connections: maxConnections, Bytes: maxBytes}, func(i connlimit.Interruption) { r.CountInterruption("metrics", i) }, nil)
	return errors.Wrap(s.Serve(socket.Limited(l, limiter)), "metrics: serve")
}
