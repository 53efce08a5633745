package main

import (
	"context"
	"math/rand/v2"
	"net"
	"runtime/metrics"
	"time"

	"fieldvale/adapter/socket"
	"fieldvale/capacity"
)

// capacityLogInterval is the interval at which the use of the instance's resources is logged while
// connections are refused.
const capacityLogInterval = time.Second

// notableDelay is how far the link or the processor must be behind for a log line.
const notableDelay = 20 * time.Millisecond

// newCapacity returns the account of this instance's resources and registers its metrics.
func (n *node) newCapacity() *capacity.Account {
	a := capacity.New(n.clock, capacity.Limits{LinkBytes: n.settings.LinkMbps * 1e6 / 8, Descriptors: socket.MaxDescriptors(), Memory: n.settings.MemoryMB << 20})
	n.metrics.CounterFunc("link_sent_bytes_total", "Bytes sent to clients and backend servers.", func() float64 { return float64(a.Status().Sent) })
	n.metrics.CounterFunc("link_received_bytes_total", "Bytes received from clients and backend servers.", func() float64 { return float64(a.Status().Received) })
	n.metrics.GaugeFunc("link_out_delay_seconds", "How far the link is behind with what was sent, by its configured rate.", func() float64 { return a.Status().LinkOutDelay.Seconds() })
	n.metrics.GaugeFunc("link_in_delay_seconds", "How far the link is behind with what was received, by its configured rate.", func() float64 { return a.Status().LinkInDelay.Seconds() })
	n.metrics.GaugeFunc("link_delay_seconds", "How far the link is behind in both directions, by the time that connections to backend servers take.", func() float64 { return a.Status().LinkDelay.Seconds() })
	n.metrics.GaugeFunc("processor_late_seconds", "By how much the last timer of a probe was late while clients connected.", func() float64 { return a.Status().Lateness.Seconds() })
	n.metrics.GaugeFunc("connections_open", "Open connections with clients and backend servers.", func() float64 { return float64(a.Status().Open) })
	n.metrics.GaugeVecFunc("accept_pauses", "How often the instance began to refuse connections, by the resource that was used up.", "resource", func() map[string]float64 {
		m := map[string]float64{}
		for r, c := range a.Pauses() {
			m[r.String()] = float64(c)
		}
		return m
	})
	n.metrics.GaugeVecFunc("accept_refused_seconds", "For how long the instance refused connections, by the resource that was used up.", "resource", func() map[string]float64 {
		m := map[string]float64{}
		for r, d := range a.Status().RefusedTime {
			m[r.String()] = d.Seconds()
		}
		return m
	})
	n.metrics.GaugeFunc("memory_used_bytes", "Memory that the process has from the operating system.", func() float64 { return float64(a.Status().Memory) })
	return a
}

// dialMetered connects to a replica over this instance's own links and counts the connection.
func (n *node) dialMetered(ctx context.Context, addr string) (net.Conn, error) {
	end := n.capacity.Connecting(capacity.ForRequests)
	c, err := n.dialDirect(ctx, addr)
	end(err == nil)
	if err != nil {
		return nil, err
	}
	return socket.Metered(c, n.capacity), nil
}

// probeProcessor measures how late timers are while clients connect.
func (n *node) probeProcessor() {
	for {
		due := time.Now().Add(capacity.ProbeInterval)
		time.Sleep(capacity.ProbeInterval)
		if !n.capacity.ObserveLateness(time.Since(due)) {
			return
		}
		if n.capacity.NeedsProbe() {
			go n.probeLink()
		}
	}
}

// probeTimeout bounds a connection that is opened to see how far the link is behind.
const probeTimeout = 2 * time.Second

// probeLink connects to another instance or to the store, to see how far this instance's link is behind.
func (n *node) probeLink() {
	addr := n.settings.StoreAddr
	if m := n.placer.Members(); len(m) > 0 && rand.IntN(2) == 0 {
		addr = m[rand.IntN(len(m))].Addr
	}
	x, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	end := n.capacity.Connecting(capacity.ForProbe)
	var d net.Dialer
	c, err := d.DialContext(x, "tcp4", addr)
	end(err == nil)
	if err == nil {
		_ = c.Close()
	}
}

// minIdle is how long a connection must have been idle to be closed while the instance has too much to do.
const minIdle = 250 * time.Millisecond

// relievedDivisor is the part of the clients' connections that are interrupted at a time, of those at which requests
// arrive slowest, while descriptors or memory are short: one divided by it.
const relievedDivisor = 8

// relievePressure closes idle connections if refusing new ones is not enough: the requests that clients
// send on open connections are read in any case, and idle connections to replicas hold descriptors.
func (n *node) relievePressure() {
	if !n.capacity.IsUnderPressure() {
		return
	}
	lacking := n.capacity.Status().Binding
	clients, replicas, interrupted := n.clients.CloseIdle(minIdle), 0, 0
	if lacking == capacity.Descriptors {
		replicas = n.pool.CloseIdle()
	}
	if lacking == capacity.Descriptors || lacking == capacity.Memory {
		interrupted = n.connections.Relieve(1 + n.connections.Usage().Connections/relievedDivisor)
	}
	if clients+replicas+interrupted > 0 {
		n.logEvent("idle_closed", "clients", clients, "replicas", replicas, "interrupted", interrupted, "lacking", lacking)
	}
}

// usedMemory returns the memory that the Go runtime has from the operating system, in bytes.
func usedMemory() int64 {
	s := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(s)
	return int64(s[0].Value.Uint64() - s[1].Value.Uint64())
}

// capacityUse is what the instance's resources were used for at one moment.
type capacityUse struct {
	capacity.Status
	// peerSent and peerReceived are bytes since the start of the process, to and from other instances.
	peerSent, peerReceived int64
}

// logCapacity logs the use of the resources for each second in which connections were refused, or in which the
// link or the processor fell behind. Requests, connections and bytes are those since the second before. Only the goroutine of runPeriodicTasks calls it.
func (n *node) logCapacity() {
	s, last := capacityUse{n.capacity.Status(), n.traffic.sent.Load(), n.traffic.received.Load()}, n.loggedCapacity
	n.loggedCapacity = s
	refused, longest := s.RefusedAfter(last.Status)
	if refused == 0 && max(s.LinkInDelay, s.LinkOutDelay, s.LinkDelay, s.Lateness) < notableDelay {
		return
	}
	n.logEvent("capacity", "refusing_for", longest, "refused_time", refused, "refused_for", elapsed(n.clock(), s.RefusedSince), "accepted", s.Accepted-last.Accepted, "pauses", s.Pauses-last.Pauses, "requests", s.Requests-last.Requests, "sent", s.Sent-last.Sent, "received", s.Received-last.Received,
		"peer_sent", s.peerSent-last.peerSent, "peer_received", s.peerReceived-last.peerReceived,
		"sent_per_request", int(s.SentPerRequest), "received_per_request", int(s.ReceivedPerRequest), "link_delay", s.LinkDelay, "link_out_delay", s.LinkOutDelay, "link_in_delay", s.LinkInDelay,
		"processor_late", s.Lateness, "window", s.Window, "open", s.Open, "unread", s.Unread, "memory", s.Memory)
}

// clientGate is the gate of the listener for clients.
type clientGate struct {
	*capacity.Account
	node *node
}

var _ socket.Gate = clientGate{}

// RefuseFor implements socket.Gate.
func (g clientGate) RefuseFor() time.Duration {
	r, t := g.MayAccept()
	if r == capacity.None {
		return 0
	}
	if g.BeginProbing() {
		go g.node.probeProcessor()
	}
	return max(time.Nanosecond, t.Sub(g.node.clock()))
}

// Accepted implements socket.Gate.
func (g clientGate) Accepted() {
	if g.Account.Accepted() {
		go g.node.probeProcessor()
	}
}
