package main

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"fieldvale/adapter/datagram"
	"fieldvale/adapter/exchange"
	"fieldvale/adapter/handover"
	"fieldvale/adapter/logging"
	"fieldvale/adapter/metrics"
	"fieldvale/adapter/settings"
	"fieldvale/adapter/socket"
	"fieldvale/adapter/tunnel"
	"fieldvale/budget"
	"fieldvale/capacity"
	"fieldvale/clock"
	"fieldvale/connlimit"
	"fieldvale/entry"
	"fieldvale/lease"
	"fieldvale/load"
	"fieldvale/notice"
	"fieldvale/peer"
	"fieldvale/placement"
	"fieldvale/platform"
	"fieldvale/quarantine"
	"fieldvale/quota"
	"fieldvale/reach"
	"fieldvale/relay"
	"fieldvale/state"
	"fieldvale/store"
)

const (
	// confirmationFraction is the fraction of the honour_for setting for which a
	// confirmation of the configuration allows API keys to be honoured. The rest covers
	// the time that a request takes to its replica, and clocks that run at different
	// rates.
	confirmationFraction = 0.9
	// memoryLimitFraction is the fraction of the instance's memory that is set as the
	// soft memory limit, near which the garbage collector runs more often.
	memoryLimitFraction = 0.6
	// gcPercent is below Go's default of 100: it saves memory, which is charged for, at
	// the cost of processor time.
	gcPercent = 60
)

// node is one instance of the fleet. It connects the components to each other and to the
// network.
type node struct {
	settings     settings.Node
	settingsPath string
	log          log.Interface
	clock        func() time.Time
	// suspendClock is the source of clock; it also detects that the machine was
	// suspended.
	suspendClock *clock.Clock
	// suspendedTotal is the total time that the machine was suspended, as of the last
	// call of checkSuspension.
	suspendedTotal time.Duration

	metrics  *metrics.Registry
	view     *entry.CurrentView
	lease    *lease.Lease
	state    *state.State
	router   *entry.Router
	ingress  *platform.Ingress
	store    *platform.Store
	releases *platform.ReleaseWriter
	// pendingRecords passes the progress of releases to the goroutine that writes it to
	// the store.
	pendingRecords chan state.Record
	// loggedTrials is the trial of each service's release as last logged. Only the
	// goroutine of runPeriodicTasks uses it.
	loggedTrials map[string]entry.ReleaseTrial
	// loggedRetries is the retry budget of each service as last logged. Only the goroutine of
	// runPeriodicTasks uses it.
	loggedRetries map[string]budget.Account
	// earlierAnnouncement passes on the announcement of an earlier run of this instance,
	// as the first read of the member list found it.
	earlierAnnouncement chan store.LeasedKey
	// dutyWorker performs the duties that one instance at a time holds; nil where none is
	// configured.
	dutyWorker *dutyWorker
	// registerNow signals that this instance must register at once, because no
	// registered member answers.
	registerNow chan struct{}
	pool        *exchange.Pool
	// capacity tracks what this instance's resources are used for; loggedCapacity is its state as last
	// logged, which only the goroutine of runPeriodicTasks uses.
	capacity       *capacity.Account
	loggedCapacity capacityUse
	// clients is the listener for clients.
	clients *socket.GatedListener
	// connections bounds the clients' connections and the memory of their requests.
	connections *connlimit.Limiter
	// links tracks which replicas can be connected to; dials counts the attempts.
	links *reach.Tracker
	dials *prometheus.CounterVec
	// dialDirect connects to a replica over this instance's own links.
	dialDirect exchange.DialFunc
	// helpers are the instances through which replicas are reached where the own links don't
	// reach them; tunnels connects other instances to replicas.
	helpers *reach.Helpers
	tunnels *tunnel.Server
	// loggedLinks is the state of the links as last logged. Only the goroutine of
	// runPeriodicTasks uses it.
	loggedLinks reach.Status
	placer      *placement.Node
	// quarantine tracks the requests that crash replicas; pendingHeld passes changes of
	// the held ones to the goroutine that writes them to the store.
	quarantine  *quarantine.Node
	pendingHeld chan heldChange
	// quota enforces the limits that replicas set for the whole fleet.
	quota *quota.Node
	// retries bounds the retries that the whole fleet sends.
	retries *budget.Budget
	// notices tracks which replicas reported to this instance that they are draining or
	// requested backoff.
	notices *notice.Tracker
	// loads holds the load that replicas reported to this instance.
	loads   *load.Tracker
	traffic peerTraffic
	// staleAnswers counts requests that were answered by an outdated configuration.
	staleAnswers *prometheus.CounterVec
	socket       *datagram.Socket
	relay        *relay.Node
	changeLog    *relay.ChangeLog
	// stopping is closed when a graceful shutdown begins.
	stopping chan struct{}
}

// newNode returns an instance that is not serving yet, and limits the memory of the
// process.
func newNode(s settings.Node, path string, l log.Interface) *node {
	limitMemory(s.MemoryMB)
	return newNodeWithClock(clock.New(), s, path, l)
}

// newNodeWithClock returns an instance that takes the time from c.
func newNodeWithClock(c *clock.Clock, s settings.Node, path string, l log.Interface) *node {
	n := &node{
		settings: s, settingsPath: path, log: l, clock: c.Now, suspendClock: c, metrics: metrics.New(), view: entry.NewCurrentView(),
		pendingRecords: make(chan state.Record), loggedTrials: map[string]entry.ReleaseTrial{}, loggedRetries: map[string]budget.Account{}, earlierAnnouncement: make(chan store.LeasedKey, 1), registerNow: make(chan struct{}, 1), dialDirect: exchange.DialDirect, stopping: make(chan struct{}),
	}
	n.lease = lease.New(time.Duration(confirmationFraction*float64(s.RevokedKeyTTL)), s.MaxApplyDelay, keyExpiryRule(s), n.clock())
	n.capacity = n.newCapacity()
	n.connections = n.newConnectionLimiter()
	n.links = n.newLinkTracker()
	n.dials = n.registerDialMetrics()
	n.helpers = reach.NewHelpers(n.self(), n.clock, rand.Float64)
	n.tunnels = n.newTunnelServer()
	n.pool = n.newReplicaPool()
	n.placer = placement.NewNode(s.ID, startID(), taggedTransport{n, tagPlacement}, n.clock, n.logEvent)
	n.registerPlacementMetrics()
	n.store = platform.NewStore(exchange.New(c.Now), s.StoreAddr, c.Now).WithCallObserver(n.registerStoreMetrics())
	n.traffic = n.newTraffic()
	n.pendingHeld = make(chan heldChange, pendingHeldLimit)
	n.changeLog = relay.NewChangeLog()
	n.relay = relay.NewNode(n.self(), startID(), relay.Ports{
		ChangeLog: n.changeLog, Store: n.store, Net: taggedTransport{n, tagRelay}, Fetcher: countingFetcher{handover.NewClient(n.clock), n.traffic}, ListMembers: n.listMembers, Register: n.requestRegistration, Clock: n.clock, Event: n.logEvent,
	}, relay.TimingFor(s.MaxApplyDelay))
	n.quarantine = quarantine.NewNode(startID(), n.quarantineConfig())
	n.registerQuarantineMetrics()
	n.quota = quota.NewNode(startID(), n.quotaConfig())
	n.registerQuotaMetrics()
	n.retries = budget.New(n.retryConfig())
	n.notices = notice.NewTracker(n.clock, n.settings.DrainPeriod, n.logEvent)
	n.registerNoticeMetrics()
	n.loads = load.NewTracker(n.clock, n.logEvent, n.metrics.LoadHooks())
	n.state = state.New(n.view, n.lease, n.clock, n.logEvent, n.setMembers)
	n.registerConfigMetrics()
	n.metrics.GaugeFunc("replicas_cold", "Replicas that have just started, as this instance knows.", func() float64 { return float64(n.state.ColdCount()) })
	n.metrics.GaugeFunc("data_centres_evacuated", "Data centres whose replicas get nothing.", func() float64 { return float64(n.state.EvacuatedCount()) })
	n.releases = platform.NewReleaseWriter(n.store)
	n.dutyWorker = newDutyWorker(n)
	n.router = entry.NewRouter(n.routerPorts())
	n.registerRetryMetrics()
	n.ingress = platform.NewIngress(platform.IngressConfig{Router: n.router, View: n.view, Lease: n.lease, Clock: n.clock, AwaitConfig: n.state.AwaitFirstConfig, RetryDelay: n.state.StartRetryAfter, OnStarted: n.capacity.RequestStarted, IsOverloaded: n.capacity.IsRefusing, Limiter: n.connections, OnRouted: n.onRouted(), OnRefused: n.onRefused()})
	return n
}

// isConfigConfirmed reports whether the last confirmation of the configuration is recent
// enough for API keys to be honoured by it.
func (n *node) isConfigConfirmed() bool { return n.lease.Fresh(n.clock(), 1) }

// keyExpiryRule returns the configured rule for API keys while the configuration can't be
// confirmed.
func keyExpiryRule(s settings.Node) lease.ExpiryRule {
	if s.LenientKeys {
		return lease.Lenient
	}
	return lease.Strict
}

// startID returns a random start for an instance's sequential ids, so that they differ
// from those of its earlier runs. It is below 2^48, so that counting up does not overflow.
func startID() uint64 { return rand.Uint64() >> 16 }

// limitMemory configures the garbage collector for a process with that much memory.
func limitMemory(megabytes int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(megabytes) * (1 << 20)))
}

// setMembers passes the registered members to all components that send to other
// instances.
func (n *node) setMembers(m []peer.Member) {
	n.placer.SetMembers(m)
	n.quarantine.SetMembers(m)
	n.quota.SetMembers(m)
	n.retries.SetMembers(m)
	n.relay.SetMembers(m)
	n.helpers.SetMembers(m)
}

// routerPorts returns the components and settings that the router uses.
func (n *node) routerPorts() entry.Ports {
	u := platform.NewUpstream(n.pool, n.clock, n.quota, n.logUnknownHeader).WithNotices(n.notices).WithLoads(n.loads).WithBodies(n.newBodies())
	return entry.Ports{
		View: n.view, Clock: n.clock, Self: n.settings.ID, DataCentre: n.settings.DataCentre, Regions: n.settings.Regions, Placer: n.placer, Rand: rand.NewPCG(rand.Uint64(), rand.Uint64()), Hooks: n.routerHooks(),
		Upstream: u, Prober: u, Quarantine: n.quarantine, AcceptConfidence: n.settings.AcceptConfidence, CompletionPause: n.settings.CompletionPause, AnswerBuffers: n.newAnswerBuffers(),
		Quota: n.quota, Notices: n.notices, Loads: n.loads, ColdBound: quota.ColdBound{Overage: n.settings.ColdLimitFactor, Slack: n.settings.ColdLimitSlack},
		FleetSize: n.relay.FleetSize, Retries: n.retries,
	}
}

// logEvent logs one event with its fields, in pairs of name and value.
func (n *node) logEvent(event string, fields ...any) {
	n.log.WithFields(logging.Fields(fields...)).Info(event)
}

// listeners are the instance's TCP listeners.
type listeners struct {
	clients net.Listener
	ready   net.Listener
	metrics net.Listener
	// peers is where other instances fetch the store's changes or a snapshot.
	peers net.Listener
}

// close closes all listeners, which ends their servers. A listener that is closed already
// returns an error, which is of no interest.
func (d listeners) close() {
	for _, l := range []net.Listener{d.clients, d.ready, d.metrics, d.peers} {
		_ = l.Close()
	}
}

// openListeners opens the TCP listeners, and the datagram socket for other instances.
func (n *node) openListeners() (listeners, error) {
	var d listeners
	var err error
	if d.clients, err = socket.Open(n.settings.Listen); err != nil {
		return d, err
	}
	if d.ready, err = socket.Open(n.settings.ReadyListen); err != nil {
		return d, err
	}
	if d.metrics, err = socket.Open(n.settings.MetricsListen); err != nil {
		return d, err
	}
	if d.peers, err = socket.Open(n.settings.PeersListen); err != nil {
		return d, err
	}
	n.socket, err = datagram.Listen(n.settings.PeersListen)
	return d, err
}

// run serves until ctx ends and then shuts down gracefully. A value on hup has the
// settings read again.
func (n *node) run(ctx context.Context, hup <-chan os.Signal) error {
	d, err := n.openListeners()
	if err != nil {
		return errors.Wrap(err, "node.run")
	}
	n.logEvent("started", "peers", n.settings.PeersListen, "listen", d.clients.Addr(), "ready", d.ready.Addr(), "metrics", d.metrics.Addr(), "store", n.settings.StoreAddr, "keys", keyExpiryRule(n.settings), "honour_for", n.settings.RevokedKeyTTL)
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, runCtx := errgroup.WithContext(runCtx)
	clients := socket.Gated(d.clients, clientGate{n.capacity, n}, n.logEvent)
	n.clients = clients
	g.Go(func() error { return ignoreClosed(runCtx, n.ingress.Serve(clients)) })
	g.Go(func() error { return ignoreClosed(runCtx, n.serveReady(d.ready)) })
	g.Go(func() error {
		return ignoreClosed(runCtx, n.metrics.Serve(d.metrics, n.ready))
	})
	g.Go(func() error {
		return ignoreClosed(runCtx, handover.Serve(d.peers, n.newLimiter("peers", n.peerLimits()), countingSource{n.relay, n.traffic}, n.tunnels))
	})
	g.Go(func() error { return n.followStore(runCtx) })
	g.Go(func() error { return n.socket.Serve(runCtx, n.receive) })
	g.Go(func() error { return n.announce(runCtx) })
	if n.dutyWorker != nil {
		g.Go(func() error { return n.dutyWorker.run(runCtx) })
	}
	g.Go(func() error { return n.runPeriodicTasks(runCtx, hup) })
	g.Go(func() error { return n.keepFleetSize(runCtx) })
	g.Go(func() error { return n.freeStartupMemory(runCtx) })
	g.Go(func() error { return n.writeRecords(runCtx) })
	g.Go(func() error { return n.writeHeldChanges(runCtx) })
	g.Go(func() error {
		defer d.close()
		return n.stopAfter(ctx, runCtx, cancel)
	})
	err = g.Wait()
	n.logEvent("stopped")
	return err
}

// stopAfter shuts down gracefully once ctx has ended, and then ends the servers with
// cancel. If a server fails, which ends running, it returns at once, so that the caller
// closes the listeners and the process ends.
func (n *node) stopAfter(ctx, running context.Context, cancel func()) error {
	select {
	case <-ctx.Done():
	case <-running.Done():
		return nil
	}
	err := n.stop()
	cancel()
	return err
}

// ignoreClosed returns err, or nil if the server ended because it was stopped.
func ignoreClosed(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
