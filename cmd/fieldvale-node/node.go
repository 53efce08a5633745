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
	"fieldvale/admission"
	"fieldvale/clock"
	"fieldvale/entry"
	"fieldvale/lease"
	"fieldvale/notice"
	"fieldvale/peer"
	"fieldvale/placement"
	"fieldvale/platform"
	"fieldvale/quarantine"
	"fieldvale/quota"
	"fieldvale/relay"
	"fieldvale/state"
	"fieldvale/store"
)

const (
	// honourPart of the time for which a key may be honoured is how long a
	// confirmation holds; the rest covers the way of a request to its replica
	// and clocks that run unlike.
	honourPart = 0.9
	// repeatPartMargin keeps the repeats below the bound: each instance counts
	// in windows of its own, whose sum keeps to the bound's, but for what
	// arrives a little later than it was sent. repeatBurstMargin is of what is
	// allowed on top: an instance that is started again has forgotten what it
	// took.
	repeatPartMargin  = 0.97
	repeatBurstMargin = 0.7
	// memoryPart of the instance's memory is where the collector works hard.
	memoryPart = 0.6
	// gcPercent trades memory, which is priced, against processor time.
	gcPercent = 60
)

// node is one instance on the platform.
type node struct {
	s     settings.Node
	path  string
	log   log.Interface
	clock func() time.Time
	// machine is the clock behind, which finds out when the machine was suspended.
	machine *clock.Clock
	// resumedAfter is for how long it was suspended, as timed duties last saw.
	resumedAfter time.Duration

	metrics  *metrics.Registry
	view     *entry.CurrentView
	lease    *lease.Lease
	state    *state.State
	router   *entry.Router
	ingress  *platform.Ingress
	store    *platform.Store
	releases *platform.ReleaseWriter
	// records are releases' progress that is to be written.
	records chan state.Record
	// seen is what was last logged of each service's release; only the
	// goroutine of timed duties uses it.
	seen map[string]entry.ReleaseTrial
	// earlier is this instance's announcement as the first look at the list showed it.
	earlier chan store.Announced
	// cloud does the duties that one instance at a time has; nil where there are none.
	cloud *cloud
	// alone says that none of those on the list answers.
	alone  chan struct{}
	pool   *exchange.Pool
	placer *placement.Node
	// quarantine is what is believed of requests that bring replicas down; held are
	// those that are to be written or removed.
	quarantine *quarantine.Node
	held       chan heldChange
	// quota is what replicas ask of the whole fleet.
	quota *quota.Node
	// notices is what replicas said of themselves to this instance.
	notices *notice.Tracker
	traffic traffic
	// stale counts answers by old knowledge.
	stale    *prometheus.CounterVec
	socket   *datagram.Socket
	relay    *relay.Node
	changes  *relay.ChangeLog
	stopping chan struct{}
}

// newNode returns an instance that is not serving yet.
func newNode(s settings.Node, path string, l log.Interface) *node {
	limitMemory(s.MemoryMB)
	return newNodeBy(clock.New(), s, path, l)
}

// newNodeBy returns an instance that goes by the clock.
func newNodeBy(c *clock.Clock, s settings.Node, path string, l log.Interface) *node {
	n := &node{
		s: s, path: path, log: l, clock: c.Now, machine: c, metrics: metrics.New(), view: entry.NewCurrentView(),
		records: make(chan state.Record), seen: map[string]entry.ReleaseTrial{}, earlier: make(chan store.Announced, 1), alone: make(chan struct{}, 1), pool: exchange.New(c.Now), stopping: make(chan struct{}),
	}
	n.lease = lease.New(time.Duration(honourPart*float64(s.HonourFor)), s.ApplyWithin, keyRule(s), n.clock())
	n.placer = placement.NewNode(s.ID, startID(), tagged{n, tagPlacement}, n.clock, n.event)
	n.store = platform.NewStore(exchange.New(c.Now), s.Store, c.Now).WithCallObserver(n.storeCalls())
	n.traffic = n.newTraffic()
	n.held = make(chan heldChange, mostHeldWaiting)
	n.changes = relay.NewChangeLog()
	n.relay = relay.NewNode(n.self(), startID(), relay.Ports{
		ChangeLog: n.changes, Store: n.store, Net: tagged{n, tagRelay}, Fetcher: countedTransfer{handover.NewClient(n.clock), n.traffic}, ListMembers: n.list, Register: n.join, Clock: n.clock, Event: n.event,
	}, relay.TimingFor(s.ApplyWithin))
	n.quarantine = quarantine.NewNode(startID(), n.quarantinePorts())
	n.gaugeQuarantine()
	n.quota = quota.NewNode(startID(), n.quotaPorts())
	n.gaugeQuota()
	n.notices = notice.NewTracker(n.clock, n.s.DrainFor, n.event)
	n.gaugeNotices()
	n.state = state.New(n.view, n.lease, n.clock, n.event, n.setMembers)
	n.gaugeKnowledge()
	n.metrics.Gauge("replicas_cold", "Replicas that have just started, as this instance knows.", func() float64 { return float64(n.state.ColdCount()) })
	n.metrics.Gauge("data_centres_evacuated", "Data centres whose replicas get nothing.", func() float64 { return float64(n.state.EvacuatedCount()) })
	n.releases = platform.NewReleaseWriter(n.store)
	n.cloud = newCloud(n)
	n.router = entry.NewRouter(n.routerPorts())
	n.ingress = platform.NewIngress(platform.IngressConfig{Router: n.router, View: n.view, Lease: n.lease, Clock: n.clock, AwaitConfig: n.state.AwaitFirstConfig, RetryDelay: n.state.StartRetryAfter, OnRouted: n.answered(), OnRefused: n.refused()})
	return n
}

// isCurrent reports whether what the instance knows was confirmed for as long as keys
// may be honoured by it.
func (n *node) isCurrent() bool { return n.lease.Fresh(n.clock(), 1) }

// keyRule is what the settings say of keys while the configuration can't be
// confirmed.
func keyRule(s settings.Node) lease.ExpiryRule {
	if s.KeysLenient {
		return lease.Lenient
	}
	return lease.Strict
}

// startID begins an instance's ids, so that they differ from those of its
// earlier run; it leaves room to count on.
func startID() uint64 { return rand.Uint64() >> 16 }

// limitMemory has the collector keep the process within its memory.
func limitMemory(megabytes int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryPart * float64(megabytes) * (1 << 20)))
}

// setMembers tells those who ask other instances which there are.
func (n *node) setMembers(m []peer.Member) {
	n.placer.SetMembers(m)
	n.quarantine.SetMembers(m)
	n.quota.SetMembers(m)
	n.relay.SetMembers(m)
}

func (n *node) routerPorts() entry.Ports {
	u := platform.NewUpstream(n.pool, n.clock, n.quota, n.unknownHeader).WithNotices(n.notices)
	return entry.Ports{
		View: n.view, Clock: n.clock, Self: n.s.ID, DataCentre: n.s.DataCentre, Regions: n.s.Regions, Placer: n.placer, Rand: rand.NewPCG(rand.Uint64(), rand.Uint64()), Hooks: n.events(),
		Upstream: u, Prober: u, Quarantine: n.quarantine, AcceptConfidence: n.s.AcceptConfidence,
		Quota: n.quota, Notices: n.notices, ColdBound: quota.ColdBound{Overage: n.s.ColdOverage, Slack: n.s.ColdSlack},
		FleetSize: n.relay.FleetSize, Retries: admission.Repeats{Part: repeatPartMargin * n.s.RepeatPart, Burst: repeatBurstMargin * n.s.RepeatBurst},
	}
}

// event logs one event with its fields, in pairs of name and value.
func (n *node) event(event string, fields ...any) {
	n.log.WithFields(logging.Fields(fields...)).Info(event)
}

// doors are what the instance is reached by over TCP.
type doors struct {
	front   net.Listener
	ready   net.Listener
	metrics net.Listener
	// peers is where other instances fetch the state.
	peers net.Listener
}

// close ends the servers at their sockets; those that have ended already
// say so, which is no news.
func (d doors) close() {
	for _, l := range []net.Listener{d.front, d.ready, d.metrics, d.peers} {
		_ = l.Close()
	}
}

// open opens all that the instance is reached by.
func (n *node) open() (doors, error) {
	var d doors
	var err error
	if d.front, err = socket.Open(n.s.Listen); err != nil {
		return d, err
	}
	if d.ready, err = socket.Open(n.s.Ready); err != nil {
		return d, err
	}
	if d.metrics, err = socket.Open(n.s.Metrics); err != nil {
		return d, err
	}
	if d.peers, err = socket.Open(n.s.Peers); err != nil {
		return d, err
	}
	n.socket, err = datagram.Listen(n.s.Peers)
	return d, err
}

// run serves until ctx ends and then stops in order.
func (n *node) run(ctx context.Context, hup <-chan os.Signal) error {
	d, err := n.open()
	if err != nil {
		return errors.Wrap(err, "node.run")
	}
	n.event("started", "peers", n.s.Peers, "listen", d.front.Addr(), "ready", d.ready.Addr(), "metrics", d.metrics.Addr(), "store", n.s.Store, "keys", keyRule(n.s), "honour_for", n.s.HonourFor)
	x, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, x := errgroup.WithContext(x)
	g.Go(func() error { return closed(x, n.ingress.Serve(d.front)) })
	g.Go(func() error { return closed(x, n.serveReady(d.ready)) })
	g.Go(func() error { return closed(x, n.metrics.Serve(d.metrics, n.ready)) })
	g.Go(func() error { return closed(x, handover.Serve(d.peers, countedState{n.relay, n.traffic})) })
	g.Go(func() error { return n.follow(x) })
	g.Go(func() error { return n.socket.Serve(x, n.receive) })
	g.Go(func() error { return n.announce(x) })
	if n.cloud != nil {
		g.Go(func() error { return n.cloud.run(x) })
	}
	g.Go(func() error { return n.duties(x, hup) })
	g.Go(func() error { return n.tidyAfterStart(x) })
	g.Go(func() error { return n.write(x) })
	g.Go(func() error { return n.writeHeld(x) })
	g.Go(func() error {
		defer d.close()
		return n.stopAfter(ctx, x, cancel)
	})
	err = g.Wait()
	n.event("stopped")
	return err
}

// stopAfter stops in order once ctx has ended, and then ends the servers with
// cancel. If one of them has failed, which ends running, the others end as
// well, and the process with them.
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

// closed drops the errors of a server that was stopped.
func closed(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
