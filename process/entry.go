// Package process puts the parts of each of fieldvale's processes together
// and runs them until they are told to stop.
package process

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"fieldvale/adapter/backend"
	"fieldvale/adapter/caller"
	"fieldvale/adapter/httpconn"
	"fieldvale/adapter/logging"
	"fieldvale/adapter/metrics"
	"fieldvale/adapter/platform"
	"fieldvale/adapter/rpc"
	"fieldvale/adapter/settings"
	"fieldvale/adapter/socket"
	"fieldvale/biller"
	"fieldvale/claim"
	"fieldvale/entry"
	"fieldvale/notice"
	"fieldvale/pool"
	"fieldvale/quarantine"
	"fieldvale/quota"
)

// Entry is a running fieldvale-entry.
type Entry struct {
	settings    settings.Entry
	log         log.Interface
	incarnation string
	view        *entry.CurrentView
	router      *entry.Router
	biller      *biller.Biller
	caller      *caller.Server
	link        *Link
	metrics     *metrics.Registry
	// quarantine knows what this entry saw alone: entries have no way to each other.
	quarantine *quarantine.Node
	// quota knows what backend servers ask of all entries; each takes its share.
	quota *quota.Node
	// notices is what backend servers said of themselves to this entry.
	notices *notice.Tracker
}

// backendsDrain is how long backend servers that leave serve on after they said so.
const backendsDrain = 2 * time.Second

// NewEntry puts an entry together.
func NewEntry(s settings.Entry, l log.Interface) *Entry {
	e := &Entry{settings: s, log: l, incarnation: uuid.NewString(), view: entry.NewCurrentView(), metrics: metrics.New()}
	h := httpconn.New()
	k := rpc.NewLocal(s.Control, s.FleetKey)
	e.biller = biller.New(rpc.NewPeers(s.FleetKey), e.view.Members, s.ID, e.incarnation)
	e.biller.Log = func(event string, f ...any) { l.WithFields(logging.Fields(f...)).Info(event) }
	e.quarantine = quarantine.NewNode(0, quarantine.Config{Self: s.ID, Clock: time.Now, Log: func(event string, f ...any) {
		l.WithFields(logging.Fields(f...)).Info(event)
	}})
	e.quota = quota.NewNode(0, quota.Config{
		Self: s.ID, Clock: time.Now, FleetSize: func() int { return max(1, len(e.view.Get().Members)) }, IsMembershipCurrent: func() bool { return true }, Rand: rand.Float64,
		Log: func(event string, f ...any) { l.WithFields(logging.Fields(f...)).Info(event) },
	})
	e.notices = notice.NewTracker(time.Now, backendsDrain, func(event string, f ...any) {
		l.WithFields(logging.Fields(f...)).Info(event)
	})
	e.router = entry.NewRouter(entry.Ports{
		View: e.view, Engines: backend.NewEngines(h).WithLimits(e.quota).WithNotices(e.notices), Services: backend.NewServices(h).WithLimits(e.quota).WithNotices(e.notices), Claims: k,
		Rater: platform.New(h, "", s.Rating), Biller: e.biller, Clock: time.Now, Self: s.ID,
		Rand: rand.NewPCG(rand.Uint64(), rand.Uint64()), Hooks: e.events(),
		Quarantine: e.quarantine, Prober: backend.Prober{}, Quota: e.quota, Notices: e.notices,
	})
	e.link = NewLink(k, e.view, e.router, e.biller, e.incarnation, func(event string, f ...any) {
		l.WithFields(logging.Fields(f...)).Info(event)
	})
	e.caller = caller.New(e.router, e.view, time.Now, e.observer())
	e.gauges()
	return e
}

func (e *Entry) events() *entry.Hooks {
	return &entry.Hooks{
		AttemptFailed: func(f entry.FailedAttempt) {
			e.log.WithFields(logging.Fields("request", f.Request, "replica", f.Replica, "error", f.Err)).Warn("attempt_failed")
		},
		RatingFailed: func(request string, err error) {
			e.log.WithFields(logging.Fields("request", request, "error", err)).Warn("answer_unrated")
		},
		ClaimNotRecorded: func(c claim.Claim, err error) {
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
	e.metrics.Gauge("revision", "Revision of the configuration in force.", func() float64 { return float64(e.link.revision()) })
	e.metrics.Gauge("bills_alone_total", "Bills that no other instance held in time.", func() float64 { return float64(e.biller.Alone.Load()) })
	e.metrics.Gauge("bills_pending", "Bills that no other instance has seen yet.", func() float64 { return float64(e.biller.Pending()) })
	e.metrics.Gauge("bills_repeated_total", "Bills left out because the request id was billed before.", func() float64 { return float64(e.biller.Repeats.Load()) })
}

// Run serves until ctx ends and then stops in order: no more new requests,
// all that run are answered, the last bills are handed over.
func (e *Entry) Run(ctx context.Context) error {
	l, err := socket.Open(e.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "process.Entry")
	}
	m, err := socket.Open(e.settings.Metrics)
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
		return ignoreClosed(x, e.metrics.Serve(m, func() bool { return e.view.Get().IsReady() }))
	})
	g.Go(func() error { return e.router.Run(x) })
	g.Go(func() error { return e.sweep(x) })
	g.Go(func() error {
		e.link.Run(x, e.settings.Sync, func() bool { return ctx.Err() != nil }, func() {
			e.caller.SetReady(ctx.Err() == nil && e.link.Ready())
		})
		return nil
	})
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

// sweepEvery is between looks for what the quarantine may forget.
const sweepEvery = time.Second

func (e *Entry) sweep(ctx context.Context) error {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			e.quarantine.Tick()
			e.quota.Tick()
			e.notices.Sweep(pool.IDs(e.view.Get().Replicas))
		}
	}
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
	e.biller.Settle(x)
	e.link.Sync(x, true)
	return nil
}
