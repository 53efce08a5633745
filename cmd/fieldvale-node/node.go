package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"fieldvale/adapter/datagram"
	"fieldvale/adapter/exchange"
	"fieldvale/adapter/logging"
	"fieldvale/adapter/metrics"
	"fieldvale/adapter/settings"
	"fieldvale/adapter/socket"
	"fieldvale/admission"
	"fieldvale/entry"
	"fieldvale/lease"
	"fieldvale/mirror"
	"fieldvale/peer"
	"fieldvale/placement"
	"fieldvale/platform"
	"fieldvale/relay"
	"fieldvale/rollout"
	"fieldvale/state"
	"fieldvale/store"
)

const (
	// honourPart of the time for which a key may be honoured is how long a
	// confirmation holds; the rest covers the way of a request to its replica
	// and clocks that run unlike.
	honourPart = 0.9
	// repeatMargin keeps the repeats below the bound, since each instance
	// counts in windows of its own.
	repeatMargin = 0.9
	// tickEvery is how often timed duties are looked at.
	tickEvery = 100 * time.Millisecond
	// leaveDelay is how long a stopping instance takes new connections after
	// it stopped being ready: the platform asks each second and believes the
	// second refusal.
	leaveDelay = 2500 * time.Millisecond
	// stopMargin is left of the time for a stop to end the process in.
	stopMargin = 700 * time.Millisecond
	// memoryPart of the instance's memory is where the collector works hard.
	memoryPart = 0.6
	// gcPercent trades memory, which is priced, against processor time.
	gcPercent     = 60
	commitTimeout = 2 * time.Second
	// turnLength is how long one instance has to write what is due before the
	// next one does: some store calls, and well below the phases of a release.
	turnLength = 250 * time.Millisecond
	// tellEvery is between reports of what was seen of releases under way;
	// it adds to the seconds in which a bad one must be stopped.
	tellEvery = 400 * time.Millisecond
	// judges is how many instances are told; the second one stands in.
	judges = 2
	// announceFor is how long an instance that is gone is still listed;
	// a silent keeper is passed over long before. It is renewed at a third.
	announceFor = 12 * time.Second
)

// node is one instance on the platform.
type node struct {
	s     settings.Node
	path  string
	log   log.Interface
	clock func() time.Time

	metrics  *metrics.Registry
	view     *entry.Current
	lease    *lease.Lease
	state    *state.State
	router   *entry.Router
	ingress  *platform.Ingress
	store    *platform.Store
	releases *platform.Releases
	trips    chan rollout.Release
	pool     *exchange.Pool
	placer   *placement.Node
	socket   *datagram.Socket
	relay    *relay.Node
	changes  *relay.Log
	stopping chan struct{}
}

func newNode(s settings.Node, path string, l log.Interface) *node {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB) * (1 << 20)))
	n := &node{s: s, path: path, log: l, clock: time.Now, metrics: metrics.New(), view: entry.NewCurrent(), trips: make(chan rollout.Release, 8), pool: exchange.New(), stopping: make(chan struct{})}
	n.lease = lease.New(time.Duration(honourPart*float64(s.HonourFor)), n.clock())
	n.placer = placement.NewNode(s.ID, rand.Uint64()>>16, tagged{n, tagPlacement}, n.clock, n.event)
	n.store = platform.NewStore(exchange.New(), s.Store)
	n.changes = relay.NewLog()
	times := relay.TimesFor(s.ApplyWithin)
	n.relay = relay.NewNode(s.ID, rand.Uint64()>>16, n.changes, n.store, tagged{n, tagRelay}, n.clock, n.event, times)
	n.state = state.New(n.view, n.lease, n.clock, n.event, func(m []peer.Member) {
		n.placer.SetMembers(m)
		n.relay.SetMembers(m)
	})
	n.releases = platform.NewReleases(n.store)
	n.router = entry.NewRouter(entry.Ports{
		View: n.view, Clock: n.clock, Self: s.ID, Placer: n.placer, Rand: rand.NewPCG(rand.Uint64(), rand.Uint64()), Events: n.events(),
		Upstream: platform.NewUpstream(n.pool, n.clock), AcceptConfidence: s.AcceptConfidence,
		Repeats: admission.Repeats{Part: repeatMargin * s.RepeatPart, Burst: repeatMargin * s.RepeatBurst},
	})
	n.ingress = platform.NewIngress(platform.Ports{Router: n.router, View: n.view, Lease: n.lease, Clock: n.clock, Answered: n.answered(), Refused: n.refused()})
	return n
}

func (n *node) event(event string, fields ...any) {
	n.log.WithFields(logging.Fields(fields...)).Info(event)
}

func (n *node) events() *entry.Events {
	return &entry.Events{
		Attempt: func(request, replica string, err error) {
			n.event("attempt_failed", "request", request, "replica", replica, "error", err)
		},
		BadRelease: func(r rollout.Release, t rollout.Tally) {
			n.event("release_bad", "service", r.Service, "release", r.Target, "bad", t.New.Bad, "good", t.New.Good, "bad_before", t.Old.Bad, "good_before", t.Old.Good,
				"slow", t.NewPace.Bad, "fast", t.NewPace.Good, "slow_before", t.OldPace.Bad, "fast_before", t.OldPace.Good)
			select {
			case n.trips <- r:
			default:
			}
		},
	}
}

// answered logs and counts each routed request.
func (n *node) answered() func(*entry.Forwarded) {
	c := n.metrics.Counter("routed_total", "Routed requests by service and result.", "service", "code")
	d := n.metrics.Histogram("routed_first_seconds", "Time to the answer or to the first event.", "service")
	return func(f *entry.Forwarded) {
		q := f.Request
		code := string(f.Code)
		if code == "" {
			code = "ok"
		}
		c.WithLabelValues(f.Service, code).Inc()
		if !f.FirstAt.IsZero() {
			d.WithLabelValues(f.Service).Observe(f.FirstAt.Sub(q.Arrived).Seconds())
		}
		age, _ := n.lease.Age(n.clock())
		n.event("routed", "request", q.ID, "route", q.Route.Name, "customer", q.Tenant.Name, "session", q.Session, "config", q.Table.Version, "config_age", age,
			"service", f.Service, "replica", f.Replica, "release", f.Release, "model", f.Model, "confidence", f.Confidence,
			"sends", f.Sends, "runs", f.Runs, "events", f.Events, "status", f.Status, "code", code, "run", f.Run, "cause", causeText(f.Cause), "stopped", f.Stopped,
			"first", since(f.FirstAt, q.Arrived), "took", f.EndedAt.Sub(q.Arrived), "allowed", q.Deadline.Sub(q.Arrived))
	}
}

func causeText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func since(t, start time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(start)
}

// refused logs and counts each request that was not routed.
func (n *node) refused() func(id, host, path string, status int, reason string) {
	c := n.metrics.Counter("refused_total", "Requests that were not routed, by reason.", "reason")
	return func(id, host, path string, status int, reason string) {
		c.WithLabelValues(reason).Inc()
		age, _ := n.lease.Age(n.clock())
		n.event("refused", "request", id, "host", host, "path", path, "status", status, "reason", reason, "config_age", age)
	}
}

// run serves until ctx ends and then stops in order.
func (n *node) run(ctx context.Context, hup <-chan os.Signal) error {
	front, err := socket.Open(n.s.Listen)
	if err != nil {
		return errors.Wrap(err, "node.run")
	}
	ready, err := socket.Open(n.s.Ready)
	if err != nil {
		return errors.Wrap(err, "node.run")
	}
	m, err := socket.Open(n.s.Metrics)
	if err != nil {
		return errors.Wrap(err, "node.run")
	}
	n.socket, err = datagram.Listen(n.s.Peers)
	if err != nil {
		return errors.Wrap(err, "node.run")
	}
	n.event("started", "peers", n.s.Peers, "listen", front.Addr(), "ready", ready.Addr(), "metrics", m.Addr(), "store", n.s.Store)
	x, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, x := errgroup.WithContext(x)
	g.Go(func() error { return n.ingress.Serve(front) })
	g.Go(func() error { return closed(x, n.serveReady(ready)) })
	g.Go(func() error { return closed(x, n.metrics.Serve(m, n.ready)) })
	on := relay.Tee{Log: n.changes, On: platform.NewListener(n.state, n.event)}
	for _, p := range platform.Prefixes {
		g.Go(func() error { return mirror.New(n.relay, p, relay.TimesFor(n.s.ApplyWithin).Watch, n.clock, on).Run(x) })
	}
	g.Go(func() error { return n.socket.Serve(x, n.receive) })
	g.Go(func() error { return n.announce(x) })
	g.Go(func() error { return n.duties(x, hup) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-x.Done():
			return nil
		}
		err := n.stop()
		cancel()
		_ = ready.Close()
		_ = m.Close()
		return err
	})
	err = g.Wait()
	n.event("stopped")
	return err
}

func closed(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// ready reports whether new connections should come here.
func (n *node) ready() bool {
	select {
	case <-n.stopping:
		return false
	default:
		return n.state.Ready()
	}
}

func (n *node) serveReady(l net.Listener) error {
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	return errors.Wrap(s.Serve(l), "node.serveReady")
}

// duties does what is due by time, by a found bad release or by a signal.
func (n *node) duties(ctx context.Context, hup <-chan os.Signal) error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	tell := time.NewTicker(tellEvery)
	defer tell.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			n.state.Tick()
			n.advance(ctx)
		case <-tell.C:
			n.tell()
		case r := <-n.trips:
			if c, ok := n.state.Tripped(r); ok {
				n.record(ctx, c)
			}
		case <-hup:
			n.reload()
		}
	}
}

// advance takes the releases on that are due. The instances take turns by
// rank, so that one of them writes and the next only if it did not.
func (n *node) advance(ctx context.Context) {
	for _, c := range n.state.Due(n.clock(), n.turn) {
		n.record(ctx, c)
	}
}

// ranked returns the fleet's instances in the order of their duty for the
// service's release.
func (n *node) ranked(service string) []peer.Member {
	return peer.Rank("release/"+service, n.placer.Members())
}

// turn is how long this instance lets those ranked before it write a record
// of the service's release.
func (n *node) turn(service string) time.Duration {
	m := n.ranked(service)
	i := slices.IndexFunc(m, func(x peer.Member) bool { return x.ID == n.s.ID })
	if i < 0 {
		i = len(m)
	}
	return time.Duration(i) * turnLength
}

func (n *node) record(ctx context.Context, c state.Record) {
	x, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	ok, err := n.releases.Advance(x, c.Release, c.Version)
	n.event("release_record", "service", c.Release.Service, "release", c.Release.Target, "phase", c.Release.Phase, "state", c.Release.State, "version", c.Version, "won", ok, "error", err)
}

// reload reads the settings again. What can't change while the process runs
// is logged and left.
func (n *node) reload() {
	s, e := settings.LoadNode(n.path)
	for _, err := range e {
		n.event("settings_unusable", "error", err)
	}
	if len(e) > 0 {
		return
	}
	n.event("settings_read", "changed", s != n.s, "level", s.Level)
}

// stop is the planned stop: no longer ready, then the answers that run.
func (n *node) stop() error {
	n.event("stopping")
	end := n.clock().Add(n.s.StopWithin - stopMargin)
	close(n.stopping)
	n.ingress.Leave()
	time.Sleep(min(leaveDelay, n.s.StopWithin/2))
	x, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := n.ingress.Shutdown(x); err != nil {
		n.event("stop_incomplete", "error", err)
	}
	return nil
}

// Tags tell what a datagram between instances is for.
const (
	tagPlacement = 'p'
	tagRelay     = 'r'
	tagTally     = 't'
)

// tagged sends datagrams for one purpose over the shared socket.
type tagged struct {
	n   *node
	tag byte
}

// Send implements placement.Transport and relay.Transport.
func (t tagged) Send(addr string, b []byte) error {
	return t.n.socket.Send(addr, append([]byte{t.tag}, b...))
}

func (n *node) receive(from string, b []byte) {
	if len(b) == 0 {
		return
	}
	switch b[0] {
	case tagPlacement:
		n.placer.Receive(from, b[1:])
	case tagRelay:
		n.relay.Receive(from, b[1:])
	case tagTally:
		n.receiveTally(from, b[1:])
	}
}

// announce keeps the instance on the fleet's list.
func (n *node) announce(ctx context.Context) error {
	v, err := platform.EncodeMember(peer.Member{ID: n.s.ID, Addr: n.s.Peers, DataCentre: n.s.DataCentre})
	if err != nil {
		return errors.Wrap(err, "node.announce")
	}
	var a store.Announced
	for ctx.Err() == nil {
		a, err = n.renew(ctx, a, v)
		if err != nil {
			n.event("announce_failed", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(announceFor / 3):
		}
	}
	return nil
}

func (n *node) renew(ctx context.Context, a store.Announced, value []byte) (store.Announced, error) {
	x, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if a.Lease != 0 {
		b, err := n.store.Renew(x, a, announceFor)
		if !errors.Is(err, store.ErrLapsed) {
			return b, err
		}
	}
	b, err := n.store.Announce(x, platform.MemberKey(n.s.ID), value, announceFor)
	if err != nil {
		return store.Announced{}, err
	}
	return b, nil
}
