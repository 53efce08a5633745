package main

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"fieldvale/relay"
)

// duties of what instances say to each other, as metrics name them.
var dutyNames = map[byte]string{
	tagPlacement: "keepers", tagRelay: "changes", tagTally: "evidence", tagVerdict: "verdicts",
	tagSuspects: "quarantine", tagQuota: "quota", tagUsage: "usage",
}

const (
	// dutyState is the state that is fetched over connections.
	dutyState = "state"
	sent      = "sent"
	received  = "received"
)

// traffic counts what is said to other instances, by duty and direction.
type traffic struct {
	bytes, messages *prometheus.CounterVec
}

func (n *node) newTraffic() traffic {
	return traffic{
		bytes:    n.metrics.Counter("peer_bytes_total", "Bytes to and from other instances, by duty.", "duty", "direction"),
		messages: n.metrics.Counter("peer_messages_total", "Messages to and from other instances, by duty.", "duty", "direction"),
	}
}

func (t traffic) count(duty, direction string, bytes int) {
	t.bytes.WithLabelValues(duty, direction).Add(float64(bytes))
	t.messages.WithLabelValues(duty, direction).Inc()
}

// countedTransfer counts what is fetched.
type countedTransfer struct {
	relay.Fetcher
	traffic traffic
}

// Fetch implements relay.Transfer.
func (c countedTransfer) Fetch(ctx context.Context, addr string, after int64) ([]byte, error) {
	b, err := c.Fetcher.Fetch(ctx, addr, after)
	c.traffic.count(dutyState, received, len(b))
	return b, err
}

// countedState counts what others fetch here.
type countedState struct {
	*relay.Node
	traffic traffic
}

// Serve implements handover.Source.
func (c countedState) Serve(ctx context.Context, after int64, write func([]byte) error) error {
	return c.Node.Serve(ctx, after, func(b []byte) error {
		c.traffic.count(dutyState, sent, len(b))
		return write(b)
	})
}
