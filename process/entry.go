// Package process builds the processes fieldvale-entry and fieldvale-control from their
// components, and runs them until they are stopped.
package process

import (
	"context"
	"math/rand/v2"
	"runtime/debug"
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
	"fieldvale/capacity"
	"fieldvale/claim"
	"fieldvale/connlimit"
	"fieldvale/entry"
	"fieldvale/load"
	"fieldvale/notice"
	"fieldvale/pool"
	"fieldvale/quarantine"
	"fieldvale/quota"
)

// Entry is the process fieldvale-entry, which answers callers' requests.
type Entry struct {
	settings    settings.Entry
	log         log.Interface
	incarnation string
	view        *entry.CurrentView
	router      *entry.Router
	biller      *biller.Biller
	caller      *caller.Server
	// limiter bounds callers' connections and the memory of their requests.
	limiter *connlimit.Limiter
	syncer  *Syncer
	metrics *metrics.Registry
	// quarantine tracks the requests that crash backend servers. It only uses what this
	// entry observed, since entries do not exchange messages.
	quarantine *quarantine.Node
	// quota enforces the limits that backend servers set for all entries together: each
	// entry uses an equal share.
	quota *quota.Node
	// notices tracks which backend servers reported to this entry that they are draining
	// or requested backoff.
	notices *notice.Tracker
	// loads holds the load that backend servers reported to this entry.
	loads *load.Tracker
}

// backendDrainTime is how long a backend server goes on serving requests after it reported
// that it is draining.
const backendDrainTime = 2 * time.Second

// NewEntry returns an entry process that is not running yet.
func NewEntry(s settings.Entry, l log.Interface) *Entry {
	e := &Entry{settings: s, log: l, incarnation: uuid.NewString(), view: entry.NewCurrentView(), metrics: metrics.New()}
	h := httpconn.New()
	k := rpc.NewLocal(s.ControlAddr, s.FleetKey)
	e.biller = biller.New(rpc.NewPeers(s.FleetKey), e.view.Members, s.ID, e.incarnation)
	e.biller.Log = func(event string, f ...any) { l.WithFields(logging.Fields(f...)).Info(event) }
	e.quarantine = quarantine.NewNode(0, quarantine.Config{Self: s.ID, Clock: time.Now, Log: func(event string, f ...any) {
		l.WithFields(logging.Fields(f...)).Info(event)
	}})
	e.quota = quota.NewNode(0, quota.Config{
		Self: s.ID, Clock: time.Now, FleetSize: func() int { return max(1, len(e.view.Get().Members)) }, IsMembershipCurrent: func() bool { return true }, Rand: rand.Float64,
		Log: func(event string, f ...any) { l.WithFields(logging.Fields(f...)).Info(event) },
	})
	e.notices = notice.NewTracker(time.Now, backendDrainTime, func(event string, f ...any) {
		l.WithFields(logging.Fields(f...)).Info(event)
	})
	e.loads = load.NewTracker(time.Now, func(event string, f ...any) {
		l.WithFields(logging.Fields(f...)).Info(event)
	}, e.metrics.LoadHooks())
	e.router = entry.NewRouter(entry.Ports{
		View: e.view, Engines: backend.NewEngines(h).WithLimits(e.quota).WithNotices(e.notices).WithLoads(e.loads), Services: backend.NewServices(h).WithLimits(e.quota).WithNotices(e.notices).WithLoads(e.loads), Claims: k,
		Rater: platform.New(h, "", s.RatingAddr), Biller: e.biller, Clock: time.Now, Self: s.ID,
		Rand: rand.NewPCG(rand.Uint64(), rand.Uint64()), Hooks: e.routerHooks(),
		Quarantine: e.quarantine, Prober: backend.Prober{}, Quota: e.quota, Notices: e.notices, Loads: e.loads,
	})
	e.syncer = NewSyncer(k, e.view, e.router, e.biller, e.incarnation, func(event string, f ...any) {
		l.WithFields(logging.Fields(f...)).Info(event)
	})
	e.limiter = connlimit.New(time.Now, e.callerLimits(), e.countInterruption, nil)
	e.caller = caller.New(e.router, e.view, time.Now, e.requestObserver(), e.limiter)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB<<20)))
	e.registerGauges()
	return e
}

const (
	// callerMemoryDivisor is the part of the memory that callers' connections and the requests on them may take: one
	// divided by it.
	callerMemoryDivisor = 4
	// memoryLimitFraction is the fraction of the memory near which the garbage collector runs more often.
	memoryLimitFraction = 0.6
)

// callerLimits returns the limits of callers' connections. Each of them may need another one with a backend server.
func (e *Entry) callerLimits() connlimit.Limits {
	return connlimit.Limits{Connections: capacity.MaxOpen(socket.MaxDescriptors()) / 2, Bytes: e.settings.MemoryMB << 20 / callerMemoryDivisor}
}

// countInterruption counts a connection that was refused or interrupted. They are not logged one by one, as there may be
// thousands a second.
func (e *Entry) countInterruption(i connlimit.Interruption) {
	e.metrics.CountInterruption("callers", i)
}

// routerHooks returns hooks that log the router's failures.
func (e *Entry) routerHooks() *entry.Hooks {
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

// requestObserver returns the function that logs and counts each answered request.
func (e *Entry) requestObserver() caller.Observer {
	n := e.metrics.Counter("requests_total", "Requests answered, by path and result.", "path", "code")
	d := e.metrics.Histogram("request_seconds", "Time to the answer or to the first chunk.", "path")
	return func(path, code string, status int, took time.Duration, id, customer string) {
		n.WithLabelValues(path, code).Inc()
		d.WithLabelValues(path).Observe(took.Seconds())
		f := logging.Fields("path", path, "code", code, "status", status, "ms", took.Milliseconds(), "request", id, "customer", customer)
		e.log.WithFields(f).Info("request")
	}
}

// registerGauges registers the metrics that are read from the state of the process.
func (e *Entry) registerGauges() {
	e.metrics.GaugeFunc("revision", "Revision of the configuration in force.", func() float64 { return float64(e.syncer.revision()) })
	e.metrics.GaugeFunc("bills_alone_total", "Bills that no other instance held in time.", func() float64 { return float64(e.biller.Unheld.Load()) })
	e.metrics.GaugeFunc("bills_pending", "Bills that no other instance has seen yet.", func() float64 { return float64(e.biller.Pending()) })
	e.metrics.GaugeFunc("bills_repeated_total", "Bills left out because the request id was billed before.", func() float64 { return float64(e.biller.Duplicates.Load()) })
}

// Run serves until ctx ends and then shuts down gracefully: it accepts no more requests,
// answers those in progress, and hands over the last bills.
func (e *Entry) Run(ctx context.Context) error {
	l, err := socket.Open(e.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "process.Entry")
	}
	m, err := socket.Open(e.settings.MetricsListen)
	if err != nil {
		return errors.Wrap(err, "process.Entry")
	}
	t, err := e.settings.TLS.Config()
	if err != nil {
		return err
	}
	e.log.WithFields(logging.Fields("listen", l.Addr(), "metrics", m.Addr(), "incarnation", e.incarnation)).Info("started")
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, runCtx := errgroup.WithContext(runCtx)
	g.Go(func() error { return e.caller.Serve(l, t) })
	g.Go(func() error {
		return ignoreClosed(runCtx, e.metrics.Serve(m, func() bool { return e.view.Get().IsReady() }))
	})
	g.Go(func() error { return e.router.Run(runCtx) })
	g.Go(func() error { return e.runPeriodicTasks(runCtx) })
	g.Go(func() error {
		e.syncer.Run(runCtx, e.settings.Sync, func() bool { return ctx.Err() != nil }, func() {
			e.caller.SetReady(ctx.Err() == nil && e.syncer.Ready())
		})
		return nil
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-runCtx.Done():
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

// tickInterval is the interval of the periodic tasks.
const tickInterval = time.Second

// runPeriodicTasks runs the periodic tasks of the quarantine and the quota, and removes the
// notices of backend servers that are gone, until ctx ends.
func (e *Entry) runPeriodicTasks(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			e.limiter.Sweep()
			e.quarantine.Tick()
			e.quota.Tick()
			e.notices.Sweep(pool.IDs(e.view.Get().Replicas))
		}
	}
}

// ignoreClosed returns err, or nil if the server was stopped by the end of ctx.
func ignoreClosed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// stop shuts down gracefully. It waits for the Drain setting before it accepts no more
// requests, so that load balancers notice that the entry is not ready.
func (e *Entry) stop() error {
	e.log.Info("stopping")
	e.caller.SetReady(false)
	time.Sleep(e.settings.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.StopTimeout)
	defer cancel()
	if err := e.caller.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "process.Entry: shut down before all requests were answered")
	}
	e.biller.SettlePending(ctx)
	e.syncer.Sync(ctx, true)
	return nil
}
