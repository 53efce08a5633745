package main

import (
	"context"
	"time"

	"fieldvale/platform"
)

const (
	// fleetSizeInterval is the interval at which the record of the number of instances is compared
	// with what this instance knows.
	fleetSizeInterval = time.Second
	// fleetSizeTolerance is the ratio of the two from which the record is replaced. Most estimates of
	// different instances differ by less, so that the record is written rarely.
	fleetSizeTolerance = 1.25
)

// keepFleetSize uses the recorded number of instances until this one knows it, and has one instance
// keep the record, until ctx ends.
func (n *node) keepFleetSize(ctx context.Context) error {
	for ctx.Err() == nil {
		recorded := n.state.RecordedFleetSize()
		n.relay.UseRecordedFleetSize(recorded.Size)
		if size := n.relay.FleetSize(); isOutdated(recorded.Size, size) && n.relay.IsFirstWatcher() {
			n.writeFleetSize(ctx, size, recorded.Version)
		}
		sleepContext(ctx, fleetSizeInterval)
	}
	return nil
}

// isOutdated reports whether the recorded number of instances has to be replaced by the known one; 0
// stands for none.
func isOutdated(recorded, known int) bool {
	r, k := float64(recorded), float64(known)
	return known > 0 && (k > r*fleetSizeTolerance || r > k*fleetSizeTolerance)
}

// writeFleetSize replaces the record that has the given version, and logs the result.
func (n *node) writeFleetSize(ctx context.Context, size int, version int64) {
	callCtx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	won, err := platform.NewFleetSizeWriter(n.store).Write(callCtx, size, version)
	n.logEvent("fleet_size_record", "size", size, "won", won, "error", err)
}
