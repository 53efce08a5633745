package main

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

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

// dialReplica connects to a replica and records the result. An attempt that its request has ended
// shows nothing about the link.
func (n *node) dialReplica(ctx context.Context, addr string) (net.Conn, error) {
	c, err := n.dialDirect(ctx, addr)
	n.dials.WithLabelValues(reach.Direct.String(), dialResult(err)).Inc()
	if err != nil && ctx.Err() != nil {
		return nil, err
	}
	if err != nil {
		n.links.Failed(addr, reach.Direct)
		return nil, err
	}
	n.links.Connected(addr, reach.Direct)
	return c, nil
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
