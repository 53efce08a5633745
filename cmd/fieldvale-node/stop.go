package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// leaveDelay is how long a stopping instance takes new connections after
	// it stopped being ready: the platform asks each second and believes the
	// second refusal.
	leaveDelay = 2500 * time.Millisecond
	// stopMargin is left of the time for a stop to end the process in.
	stopMargin = 700 * time.Millisecond
)

// ready reports whether new connections should come here.
func (n *node) ready() bool {
	select {
	case <-n.stopping:
		return false
	default:
		return n.state.Ready()
	}
}

// serveReady answers the platform's question for readiness.
func (n *node) serveReady(l net.Listener) error {
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	return errors.Wrap(s.Serve(l), "node.serveReady")
}

// stop is the planned stop: no longer ready, then the answers that run.
func (n *node) stop() error {
	n.event("stopping")
	end := n.clock().Add(n.s.StopWithin - stopMargin)
	close(n.stopping)
	n.ingress.StartDraining()
	time.Sleep(min(leaveDelay, n.s.StopWithin/2))
	x, cancel := context.WithTimeout(context.Background(), end.Sub(n.clock()))
	defer cancel()
	if err := n.ingress.Shutdown(x); err != nil {
		n.event("stop_incomplete", "error", err)
	}
	return nil
}
