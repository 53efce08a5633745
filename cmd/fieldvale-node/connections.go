package main

import (
	"time"

	"fieldvale/adapter/socket"
	"fieldvale/capacity"
	"fieldvale/connlimit"
)

const (
	// clientMemoryDivisor and peerMemoryDivisor are the parts of the instance's memory that the connections of clients and
	// of other instances may take, with the requests on them: one divided by it.
	clientMemoryDivisor = 4
	peerMemoryDivisor   = 16
	// clientPart and peerPart are the parts of the connections up to which others are accepted that clients and other
	// instances may take.
	clientPart = 0.85
	peerPart   = 0.25
	// checkConnections and checkMemory bound the connections of readiness checks, and their memory in bytes.
	checkConnections = 16
	checkMemory      = 1 << 20
	// headTimeoutFactor is how many times the configured time a request's head may take to arrive: packets of a client
	// that keeps to that time may be lost on the way.
	headTimeoutFactor = 2
	// maxInterruptedLines bounds the log lines of interrupted connections in a second.
	maxInterruptedLines = 5
)

// clientLimits returns the limits of clients' connections.
func (n *node) clientLimits() connlimit.Limits {
	return connlimit.Limits{Connections: connectionPart(clientPart), Bytes: n.settings.MemoryMB << 20 / clientMemoryDivisor}
}

// peerLimits returns the limits of connections with other instances.
func (n *node) peerLimits() connlimit.Limits {
	return connlimit.Limits{Connections: connectionPart(peerPart), Bytes: n.settings.MemoryMB << 20 / peerMemoryDivisor}
}

// checkLimits returns the limits of connections with the platform's readiness checks.
func (n *node) checkLimits() connlimit.Limits {
	return connlimit.Limits{Connections: checkConnections, Bytes: checkMemory}
}

// connectionPart returns a part of the connections up to which the process accepts others; 0 if that is not known.
func connectionPart(part float64) int {
	return int(part * float64(capacity.MaxOpen(socket.MaxDescriptors())))
}

// newConnectionLimiter returns the limiter of clients' connections, and registers its metrics.
func (n *node) newConnectionLimiter() *connlimit.Limiter {
	l := n.newLimiter("clients", n.clientLimits())
	n.metrics.GaugeFunc("client_connections", "Open connections of clients.", func() float64 { return float64(l.Usage().Connections) })
	n.metrics.GaugeFunc("client_memory_bytes", "Memory reserved for clients' connections and the requests on them.", func() float64 { return float64(l.Usage().Bytes) })
	return l
}

// newLimiter returns the limiter of a listener's connections. It counts and logs those that are interrupted.
func (n *node) newLimiter(listener string, m connlimit.Limits) *connlimit.Limiter {
	l := &lineLimit{most: maxInterruptedLines}
	report := func(i connlimit.Interruption) {
		n.metrics.CountInterruption(listener, i)
		if ok, omitted := l.allow(n.clock()); ok {
			n.logEvent("connection_interrupted", "listener", listener, "phase", i.Phase, "reason", i.Reason, "held", i.Held, "received", i.Received, "age", i.Age, "lines_omitted", omitted)
		}
	}
	return connlimit.New(n.clock, m, report, n.headTimeout)
}

// headTimeout returns the time in which a request's head must arrive.
func (n *node) headTimeout() time.Duration {
	if t := n.view.Get().Table; t != nil && t.Limits.HeaderTimeout > 0 {
		return headTimeoutFactor * t.Limits.HeaderTimeout
	}
	return connlimit.DefaultHeadTimeout
}
