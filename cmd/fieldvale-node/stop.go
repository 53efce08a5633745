package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/socket"
)

const (
	// drainDelay is how long a stopping instance accepts new connections after it stopped
	// being ready: the platform checks the readiness each second, and sends connections
	// elsewhere after the second failed check.
	drainDelay = 2500 * time.Millisecond
	// exitMargin is the part of the stop_within setting that is reserved for the end of the
	// process after all requests are finished or cut off.
	exitMargin = 700 * time.Millisecond
)

// ready reports whether the platform should send new connections to this instance.
func (n *node) ready() bool { return !n.isStopping() && n.state.Ready() }

// isStopping reports whether a graceful shutdown has begun.
func (n *node) isStopping() bool {
	select {
	case <-n.stopping:
		return true
	default:
		return false
	}
}

// readyTimeout bounds the time to receive a readiness check and to send the answer, readyIdleTimeout the time between two.
const (
	readyTimeout     = 5 * time.Second
	readyIdleTimeout = time.Minute
)

// serveReady serves the platform's readiness checks.
func (n *node) serveReady(l net.Listener) error {
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}), ReadTimeout: readyTimeout, WriteTimeout: readyTimeout, IdleTimeout: readyIdleTimeout}
	return errors.Wrap(socket.ServeLimited(l, n.newLimiter("ready", n.checkLimits()), s), "node.serveReady")
}

// stop shuts down gracefully: it stops being ready, accepts connections for drainDelay, and
// waits for the requests in progress until the time for the stop is over. Connections through this instance on which
// nothing is under way are closed meanwhile, so that no further request comes on them.
func (n *node) stop() error {
	n.logEvent("stopping")
	end := n.clock().Add(n.settings.StopTimeout - exitMargin)
	close(n.stopping)
	n.ingress.StartDraining()
	time.Sleep(min(drainDelay, n.settings.StopTimeout/2))
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(n.clock()))
	defer cancel()
	var g sync.WaitGroup
	g.Go(func() { n.tunnels.Drain(ctx) })
	if err := n.ingress.Shutdown(ctx); err != nil {
		n.logEvent("stop_incomplete", "error", err)
	}
	g.Wait()
	if n.dutyWorker != nil {
		n.dutyWorker.sendUsage()
	}
	return nil
}
