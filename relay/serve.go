package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxTransfers is how many instances are served at a time: served one after another,
	// the first ones can pass the state on sooner.
	maxTransfers = 2
	// holdSnapshot and holdChanges are how long a fetch is held while this instance does
	// not have the snapshot or the changes yet. It may be fetching them at the same moment
	// from the instance that named it as the address to fetch from.
	holdSnapshot = time.Second
	holdChanges  = 300 * time.Millisecond
)

// ErrNoState is returned if this instance has no state to pass on and is not about to.
var ErrNoState = errors.New("relay: no state to pass on")

// Serve calls write with the message for an instance that fetches the changes after a
// revision: these changes, or a snapshot.
func (n *Node) Serve(ctx context.Context, after int64, write func([]byte) error) error {
	if err := n.awaitNewer(ctx, after); err != nil {
		return err
	}
	select {
	case n.transfers <- struct{}{}:
		defer func() { <-n.transfers }()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "relay.Serve")
	}
	b, err := n.encodeState(after)
	if err != nil {
		return err
	}
	return write(b)
}

// awaitNewer waits until this instance has state newer than the revision.
func (n *Node) awaitNewer(ctx context.Context, after int64) error {
	hold := holdChanges
	var snapshotReady <-chan struct{}
	if after < 0 {
		hold, snapshotReady = holdSnapshot, n.cache.ready
	}
	t := time.NewTimer(hold)
	defer t.Stop()
	for {
		changed := n.changeLog.changeSignal()
		if r, _, ok := n.changeLog.newest(); ok && r > after || after < 0 && n.cache.hasSnapshot() {
			return nil
		}
		if n.changeLog.isDisconnected() {
			return ErrNoState
		}
		select {
		case <-changed:
		case <-snapshotReady:
		case <-t.C:
			return ErrNoState
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "relay.Serve")
		}
	}
}

// encodeState returns a message with the changes after the revision, or with a snapshot
// where the changes are no longer kept.
func (n *Node) encodeState(after int64) ([]byte, error) {
	now := n.clock()
	if c, _, s := n.changeLog.since(after, unknownHops, now); after >= 0 && s == statusOK {
		items, err := n.cache.packedChanges(after, c)
		if err != nil {
			return nil, err
		}
		a := newAnswer(0, c, statusOK)
		a.Hops = n.changeLog.Hops()
		return encode(message{Answer: &a}, items)
	}
	return n.cache.snapshotMessage(n.changeLog, now)
}
