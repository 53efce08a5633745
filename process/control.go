package process

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"fieldvale/adapter/etcd"
	"fieldvale/adapter/httpconn"
	"fieldvale/adapter/logging"
	"fieldvale/adapter/metrics"
	"fieldvale/adapter/platform"
	"fieldvale/adapter/rpc"
	"fieldvale/adapter/settings"
	"fieldvale/adapter/socket"
	"fieldvale/capacity"
	"fieldvale/connlimit"
	"fieldvale/control"
	"fieldvale/peer"
)

// Control is the process fieldvale-control, which keeps the configuration and the state that
// the entry beside it works with.
type Control struct {
	settings settings.Control
	log      log.Interface
	node     *control.Node
	metrics  *metrics.Registry
}

// NewControl returns a control process that is not running yet.
func NewControl(s settings.Control, l log.Interface) *Control {
	c := &Control{settings: s, log: l, metrics: metrics.New()}
	k := etcd.New(s.StoreAddr)
	n := c.metrics.Counter("store_calls_total", "Calls to the platform's store.", "method")
	k.OnRequest = func(method string) { n.WithLabelValues(method).Inc() }
	c.node = control.New(control.Options{
		Self:        peer.Member{ID: s.ID, Addr: s.PeerAddr, DataCentre: s.DataCentre},
		Incarnation: uuid.NewString(),
		Store:       k,
		Peers:       rpc.NewPeers(s.FleetKey),
		Platform:    platform.New(httpconn.New(), s.ListAddr, ""),
		Clock:       time.Now,
		Times:       s.Times,
		Rates:       s.Rates,
		Log: func(event string, f ...any) {
			l.WithFields(logging.Fields(f...)).Info(event)
		},
	})
	c.registerGauges()
	return c
}

// registerGauges registers the metrics that are read from the state of the process.
func (c *Control) registerGauges() {
	c.metrics.GaugeFunc("revision", "Revision of the configuration held.", func() float64 {
		d, _ := c.node.Document()
		return float64(d.Revision)
	})
	c.metrics.GaugeFunc("members", "Live instances known.", func() float64 { return float64(len(c.node.Members())) })
	c.metrics.GaugeFunc("bill_records_held", "Bill records held for other instances.", func() float64 { return float64(c.node.HeldRecords()) })
	c.metrics.GaugeFunc("alarms", "Alarms of this instance; fieldvale status tells them in words.", func() float64 {
		for _, h := range c.node.Instances() {
			if h.ID == c.settings.ID {
				return float64(len(h.Alarms))
			}
		}
		return 0
	})
}

// listener is an address with the handler of its requests, and its TLS configuration or nil.
type listener struct {
	name    string
	addr    string
	handler http.Handler
	tls     *tls.Config
	// part is the part of the connections up to which the process accepts others that this listener may take.
	part float64
}

const (
	// peerPart, localPart and adminPart are the parts of connections for other instances, for the process's own entry and
	// for operators.
	peerPart  = 0.5
	localPart = 0.125
	adminPart = 0.125
	// listenerMemory is the memory that a listener's connections may take, with the heads on them, in bytes.
	listenerMemory = 32 << 20
)

// limits returns the limits of the listener's connections.
func (l listener) limits() connlimit.Limits {
	return connlimit.Limits{Connections: int(l.part * float64(capacity.MaxOpen(socket.MaxDescriptors()))), Bytes: listenerMemory}
}

// Run serves until ctx ends and then shuts down gracefully.
func (c *Control) Run(ctx context.Context) error {
	t, err := c.settings.TLS.Config()
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, runCtx := errgroup.WithContext(runCtx)
	for _, l := range []listener{
		{"local", c.settings.LocalListen, rpc.LocalHandler(c.node, c.settings.FleetKey), nil, localPart},
		{"peers", c.settings.PeerListen, rpc.PeerHandler(c.node, c.settings.FleetKey), nil, peerPart},
		{"admin", c.settings.AdminListen, rpc.AdminHandler(c.node, c.settings.Admins), t, adminPart},
	} {
		if err := c.serveHTTP(runCtx, g, l); err != nil {
			return err
		}
	}
	m, err := socket.Open(c.settings.MetricsListen)
	if err != nil {
		return errors.Wrap(err, "process.Control")
	}
	g.Go(func() error { return ignoreClosed(runCtx, c.metrics.Serve(m, func() bool { return true })) })
	c.log.WithFields(logging.Fields("peers", c.settings.PeerListen, "admin", c.settings.AdminListen, "incarnation", c.node.Incarnation)).Info("started")
	g.Go(func() error { return c.node.Run(runCtx) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-runCtx.Done():
			return nil
		}
		c.stop()
		cancel()
		_ = m.Close()
		return nil
	})
	err = g.Wait()
	c.log.Info("stopped")
	return err
}

// serveHTTP serves one listener in g until ctx ends.
func (c *Control) serveHTTP(ctx context.Context, g *errgroup.Group, l listener) error {
	o, err := socket.Open(l.addr)
	if err != nil {
		return errors.Wrap(err, "process.Control")
	}
	m := connlimit.New(time.Now, l.limits(), func(i connlimit.Interruption) { c.metrics.CountInterruption(l.name, i) }, nil)
	var n net.Listener = socket.Limited(o, m)
	if l.tls != nil {
		n = tls.NewListener(n, l.tls)
	}
	s := rpc.NewServer(l.handler)
	g.Go(func() error { return ignoreClosed(ctx, s.Serve(n)) })
	g.Go(func() error {
		sweep(ctx, m)
		return s.Close()
	})
	return nil
}

// sweep interrupts connections whose requests don't arrive in time, until ctx ends.
func sweep(ctx context.Context, m *connlimit.Limiter) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			m.Sweep()
		}
	}
}

const (
	// entryStopDelay is how long a stopping control process waits for its entry to report
	// that it is stopping too, and after how long without a report an entry is taken to
	// have ended.
	entryStopDelay    = time.Second
	entryPollInterval = 50 * time.Millisecond
)

// stop waits for the entry if that is stopping too, so that its last bills are received, and
// then stops the node, which hands the bills over.
func (c *Control) stop() {
	c.log.Info("stopping")
	time.Sleep(entryStopDelay)
	for c.node.IsEntryStopping(entryStopDelay) {
		time.Sleep(entryPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.settings.StopTimeout)
	defer cancel()
	c.node.Stop(ctx)
}
