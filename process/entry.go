// Package process puts the parts of each of fieldvale's processes together
// and runs them until they are told to stop.
package process

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"fieldvale/adapter/backend"
	"fieldvale/adapter/caller"
	"fieldvale/adapter/codec"
	"fieldvale/adapter/httpconn"
	"fieldvale/adapter/logging"
	"fieldvale/adapter/metrics"
	"fieldvale/adapter/platform"
	"fieldvale/adapter/rpc"
	"fieldvale/adapter/settings"
	"fieldvale/claim"
	"fieldvale/config"
	"fieldvale/control"
	"fieldvale/entry"
)

// Entry is a running fieldvale-entry.
type Entry struct {
	settings    settings.Entry
	log         log.Interface
	incarnation string
	view        *entry.Current
	router      *entry.Router
	biller      *entry.Biller
	caller      *caller.Server
	local       *rpc.Local
	metrics     *metrics.Registry

	seen    control.Update
	failing bool
}

// NewEntry puts an entry together.
func NewEntry(s settings.Entry, l log.Interface) *Entry {
	e := &Entry{settings: s, log: l, incarnation: uuid.NewString(), view: entry.NewCurrent(), metrics: metrics.New()}
	h := httpconn.New()
	e.local = rpc.NewLocal(s.Control, s.FleetKey)
	e.biller = entry.NewBiller(rpc.NewPeers(s.FleetKey), e.view, s.ID, e.incarnation)
	e.router = entry.NewRouter(entry.Ports{
		View: e.view, Engines: backend.NewEngines(h), Services: backend.NewServices(h), Claims: e.local,
		Rater: platform.New(h, "", s.Rating), Biller: e.biller, Clock: time.Now, Self: s.ID,
		Rand: rand.NewPCG(rand.Uint64(), rand.Uint64()), Events: e.events(),
	})
	e.caller = caller.New(e.router, e.view, time.Now, e.observer())
	e.gauges()
	return e
}

func (e *Entry) events() *entry.Events {
	return &entry.Events{
		Attempt: func(request, replica string, err error) {
			e.log.WithFields(logging.Fields("request", request, "replica", replica, "error", err)).Warn("attempt_failed")
		},
		Unrated: func(request string, err error) {
			e.log.WithFields(logging.Fields("request", request, "error", err)).Warn("answer_unrated")
		},
		Unrecorded: func(c claim.Claim, err error) {
			e.log.WithFields(logging.Fields("customer", c.Customer, "key", c.Key, "error", err)).Error("claim_unrecorded")
		},
	}
}

func (e *Entry) observer() caller.Observer {
	n := e.metrics.Counter("requests_total", "Requests answered, by path and result.", "path", "code")
	d := e.metrics.Histogram("request_seconds", "Time to the answer or to the first chunk.", "path")
	return func(path, code string, status int, took time.Duration, id, customer string) {
		n.WithLabelValues(path, code).Inc()
		d.WithLabelValues(path).Observe(took.Seconds())
		f := logging.Fields("path", path, "code", code, "status", status, "ms", took.Milliseconds(), "request", id, "customer", customer)
		e.log.WithFields(f).Info("request")
	}
}

func (e *Entry) gauges() {
	e.metrics.Gauge("revision", "Revision of the configuration in force.", func() float64 { return float64(e.revision()) })
	e.metrics.Gauge("bills_alone_total", "Bills that no other instance held in time.", func() float64 { return float64(e.biller.Alone.Load()) })
	e.metrics.Gauge("bills_repeated_total", "Bills left out because the request id was billed before.", func() float64 { return float64(e.biller.Repeats.Load()) })
}

func (e *Entry) revision() uint64 {
	if a := e.view.Get().Active; a != nil {
		return a.Revision()
	}
	return 0
}

// Run serves until ctx ends and then stops in order: no more new requests,
// all that run are answered, the last bills are handed over.
func (e *Entry) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", e.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "process.Entry")
	}
	m, err := net.Listen("tcp", e.settings.Metrics)
	if err != nil {
		return errors.Wrap(err, "process.Entry")
	}
	t, err := e.settings.TLS.Config()
	if err != nil {
		return err
	}
	e.log.WithFields(logging.Fields("listen", l.Addr(), "metrics", m.Addr(), "incarnation", e.incarnation)).Info("started")
	x, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, x := errgroup.WithContext(x)
	g.Go(func() error { return e.caller.Serve(l, t) })
	g.Go(func() error {
		return ignoreClosed(x, e.metrics.Serve(m, func() bool { return e.view.Get().Active != nil }))
	})
	g.Go(func() error { return e.router.Run(x) })
	g.Go(func() error { return e.syncs(x, ctx) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-x.Done():
			return nil
		}
		err := e.stop()
		cancel()
		_ = m.Close()
		return err
	})
	err = g.Wait()
	e.log.Info("stopped")
	return err
}

func ignoreClosed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// stop is the planned stop.
func (e *Entry) stop() error {
	e.log.Info("stopping")
	e.caller.SetReady(false)
	time.Sleep(e.settings.Drain)
	x, cancel := context.WithTimeout(context.Background(), e.settings.StopWithin)
	defer cancel()
	if err := e.caller.Shutdown(x); err != nil {
		return errors.Wrap(err, "process.Entry: requests were cut off")
	}
	e.sync(x, true)
	return nil
}

// syncs swaps with the control process until the entry has stopped.
func (e *Entry) syncs(ctx, stopping context.Context) error {
	t := time.NewTicker(e.settings.Sync)
	defer t.Stop()
	for {
		e.sync(ctx, stopping.Err() != nil)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// syncTimeout bounds one swap.
const syncTimeout = 2 * time.Second

func (e *Entry) sync(ctx context.Context, stopping bool) {
	x, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	u, err := e.local.Sync(x, control.Report{
		Incarnation: e.incarnation, Revision: e.revision(), View: e.seen.View, Control: e.seen.Control,
		Ledger: e.biller.Ledger(), Evidence: e.router.Evidence(), Running: e.router.Running(), Stopping: stopping,
	})
	if err != nil {
		e.controlLost(err)
		return
	}
	if e.failing {
		e.failing = false
		e.log.Info("control_back")
	}
	e.apply(u)
	if !stopping && e.view.Get().Active != nil {
		e.caller.SetReady(true)
	}
}

// controlLost goes on with what the entry holds.
func (e *Entry) controlLost(err error) {
	if !e.failing {
		e.failing = true
		e.log.WithFields(logging.Fields("error", err, "revision", strconv.FormatUint(e.revision(), 10))).Error("control_lost")
	}
}

func (e *Entry) apply(u control.Update) {
	a := e.view.Get().Active
	if len(u.Document) > 0 {
		if n, err := activate(u.Document); err != nil {
			e.log.WithFields(logging.Fields("error", err)).Error("config_unusable")
		} else {
			a = n
			e.log.WithFields(logging.Fields("revision", a.Revision())).Info("config_in_force")
		}
	}
	if !u.Fresh {
		if a != e.view.Get().Active {
			e.view.Put(e.view.Get().WithActive(a))
		}
		return
	}
	e.view.Put(entry.NewView(a, u.Replicas, u.Members, u.Tripped))
	e.seen = u
}

func activate(b []byte) (*config.Active, error) {
	d, err := codec.DecodeDocument(b)
	if err != nil {
		return nil, err
	}
	a, x := config.Activate(d)
	if len(x) > 0 {
		return nil, x[0]
	}
	return a, nil
}
