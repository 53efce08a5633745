package main

import (
	"context"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"fieldvale/adapter/exchange"
	"fieldvale/adapter/tunnel"
	"fieldvale/peer"
	"fieldvale/pool"
	"fieldvale/reach"
)

// linkLogInterval is the interval at which failed connections to replicas are logged.
const linkLogInterval = time.Second

// Results of an attempt to connect, as values of the label "result" and in the log.
const (
	dialConnected = "connected"
	dialRefused   = "refused"
	dialTimedOut  = "timed_out"
	dialFailed    = "failed"
)

// newLinkTracker returns the tracker of this instance's links to replicas and registers its metrics.
func (n *node) newLinkTracker() *reach.Tracker {
	t := reach.NewTracker(n.clock, func(s reach.Status) {
		n.logEvent("cut_off", "now", s.IsCutOff, "since", elapsed(n.clock(), s.Since), "indirect", s.Indirect)
	})
	n.metrics.GaugeFunc("replica_dial_failures", "Direct connections to replicas that failed in succession.", func() float64 { return float64(t.Status().Failures) })
	n.metrics.GaugeFunc("replicas_indirect", "Replicas that this instance reaches through other instances only.", func() float64 { return float64(t.Status().Indirect) })
	n.metrics.GaugeFunc("cut_off", "1 while this instance takes itself for cut off from all replicas.", func() float64 {
		if t.Status().IsCutOff {
			return 1
		}
		return 0
	})
	return t
}

// registerDialMetrics registers the counter of connections opened to replicas.
func (n *node) registerDialMetrics() *prometheus.CounterVec {
	return n.metrics.Counter("replica_dials_total", "Attempts to connect to replicas, by way and result.", "way", "result")
}

// newReplicaPool returns the pool of connections to replicas.
func (n *node) newReplicaPool() *exchange.Pool {
	p := exchange.New(n.clock)
	d := &tunnel.Dialer{
		Tracker: n.links, Helpers: n.helpers, MayHelp: n.mayHelp, Spare: p.Add,
		Direct: exchange.DialFunc(func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := n.dialMetered(ctx, addr)
			n.countDial(reach.Direct, err)
			return c, err
		}),
		Tunneled: func(_ string, err error) { n.countDial(reach.Indirect, err) },
	}
	return p.WithDialer(d).WithUsable(d.IsUsable)
}

// mayHelp returns which instances may be asked for a connection to the replica at the address. While any
// requests are bound to regions, only instances in the replica's own region may: the requests on the connection may
// run there.
func (n *node) mayHelp(addr string) func(peer.Member) bool {
	v := n.view.Get()
	region := ""
	if i := slices.IndexFunc(v.Replicas, func(r *pool.Replica) bool { return r.Addr == addr }); i >= 0 {
		region = n.settings.Regions[v.Replicas[i].DataCentre]
	}
	isBound := v.Table.BindsRegions() && region != ""
	return func(m peer.Member) bool { return !isBound || n.settings.Regions[m.DataCentre] == region }
}

// countDial counts an attempt to connect to a replica.
func (n *node) countDial(w reach.Way, err error) {
	n.dials.WithLabelValues(w.String(), dialResult(err)).Inc()
}

// Reasons for which no tunnel to an address is opened for another instance.
const (
	refusedStopping = "this instance is stopping"
	refusedCutOff   = "this instance does not reach the replica itself"
	refusedUnknown  = "no replica has this address"
)

// tunnelsPerMB bounds the tunnels for other instances by this instance's memory: each takes two
// descriptors and about 30 kB.
const tunnelsPerMB = 1

// newTunnelServer returns the server of tunnels to replicas for other instances.
func (n *node) newTunnelServer() *tunnel.Server {
	opened := n.metrics.Counter("tunnels_total", "Connections to replicas that other instances asked for, by result.", "result")
	s := &tunnel.Server{
		Dial:       func(ctx context.Context, addr string) (net.Conn, error) { return n.dialMetered(ctx, addr) },
		Refusal:    n.tunnelRefusal,
		MaxTunnels: int(n.settings.MemoryMB * tunnelsPerMB),
		Event: func(o tunnel.Opened) {
			result := o.Refused
			if result == "" {
				result = "opened"
			}
			opened.WithLabelValues(result).Inc()
			n.logEvent("tunnel", "from", o.From, "replica", o.Server, "result", result)
		},
	}
	n.metrics.GaugeFunc("tunnels_open", "Connections to replicas that are open for other instances.", func() float64 { return float64(s.Open()) })
	return s
}

// tunnelRefusal returns why no tunnel to the address may be opened; empty if one may. An instance that
// is cut off itself never passes a request on to a further one.
func (n *node) tunnelRefusal(addr string) string {
	switch {
	case n.isStopping():
		return refusedStopping
	case !slices.ContainsFunc(n.view.Get().Replicas, func(r *pool.Replica) bool { return r.Addr == addr }):
		return refusedUnknown
	case n.links.IsIndirect(addr):
		return refusedCutOff
	}
	return ""
}

// dialResult returns the result that an attempt to connect is counted as.
func dialResult(err error) string {
	var t net.Error
	switch {
	case err == nil:
		return dialConnected
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return dialRefused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &t) && t.Timeout():
		return dialTimedOut
	}
	return dialFailed
}

// logLinks logs the state of the links to replicas while it changes. Only the goroutine of
// runPeriodicTasks calls it.
func (n *node) logLinks() {
	s := n.links.Status()
	if s == n.loggedLinks {
		return
	}
	n.loggedLinks = s
	n.logEvent("replica_links", "failures", s.Failures, "indirect", s.Indirect, "cut_off", s.IsCutOff)
}
