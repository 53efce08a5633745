package main

import (
	"context"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"fieldvale/relay"
)

// tagLabels maps each tag of datagrams to its value of the label "duty" in metrics.
var tagLabels = map[byte]string{
	tagPlacement: "keepers", tagRelay: "changes", tagTally: "evidence", tagVerdict: "verdicts",
	tagQuarantine: "quarantine", tagQuota: "quota", tagUsage: "usage", tagRetries: "retries",
}

const (
	// labelState is the value of the label "duty" for changes and snapshots of the store
	// that instances fetch from each other over TCP.
	labelState = "state"
	// Values of the label "direction".
	directionSent     = "sent"
	directionReceived = "received"
)

// peerTraffic counts the bytes and messages between this instance and others.
type peerTraffic struct {
	bytes, messages *prometheus.CounterVec
	// sent and received are the bytes of all duties.
	sent, received *atomic.Int64
}

// newTraffic registers the counters of traffic between instances.
func (n *node) newTraffic() peerTraffic {
	return peerTraffic{
		bytes:    n.metrics.Counter("peer_bytes_total", "Bytes to and from other instances, by duty.", "duty", "direction"),
		messages: n.metrics.Counter("peer_messages_total", "Messages to and from other instances, by duty.", "duty", "direction"),
		sent:     new(atomic.Int64),
		received: new(atomic.Int64),
	}
}

// count adds a message of so many bytes.
func (t peerTraffic) count(duty, direction string, bytes int) {
	t.bytes.WithLabelValues(duty, direction).Add(float64(bytes))
	t.messages.WithLabelValues(duty, direction).Inc()
	if direction == directionSent {
		t.sent.Add(int64(bytes))
	} else {
		t.received.Add(int64(bytes))
	}
}

// countingFetcher counts what this instance fetches from others.
type countingFetcher struct {
	relay.Fetcher
	traffic peerTraffic
}

// Fetch implements relay.Fetcher.
func (c countingFetcher) Fetch(ctx context.Context, addr string, after int64) ([]byte, error) {
	b, err := c.Fetcher.Fetch(ctx, addr, after)
	c.traffic.count(labelState, directionReceived, len(b))
	return b, err
}

// countingSource counts what other instances fetch from this one.
type countingSource struct {
	*relay.Node
	traffic peerTraffic
}

// Serve implements handover.Source.
func (c countingSource) Serve(ctx context.Context, after int64, write func([]byte) error) error {
	return c.Node.Serve(ctx, after, func(b []byte) error {
		c.traffic.count(labelState, directionSent, len(b))
		return write(b)
	})
}
