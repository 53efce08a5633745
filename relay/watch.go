package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/peer"
	"fieldvale/store"
)

// storeSlack is how much longer than the requested wait a call of the store may take
// before it fails; well above the usual 4 ms, and below the second within which an
// instance has to detect that the store is lost.
const storeSlack = 700 * time.Millisecond

// storeSource is the name of the store as a source.
const storeSource = "store"

// errStoreBackoff is returned while neither the store nor another instance has current
// state and the backoff for the store has not passed.
var errStoreBackoff = errors.New("relay: the store was not reached and is in backoff, and no other instance has current state")

// watchOrFollow asks the store for changes, and the fallback instances if that fails.
func (n *Node) watchOrFollow(ctx context.Context, prefix string, after int64, wait time.Duration, fallback []peer.Member, tier int) (store.Changes, error) {
	c, err := n.watch(ctx, prefix, after, wait)
	if err == nil || errors.Is(err, store.ErrCompacted) || ctx.Err() != nil {
		n.backoff = n.backoff.afterStoreAnswer()
		n.markConnected()
		return c, err
	}
	n.backoff = n.backoff.afterFailure(tier, n.clock())
	if f, ok := n.followAny(ctx, fallback, after, n.timing.PeerWait); ok {
		n.backoff = n.backoff.afterPeerAnswer(n.clock())
		n.markConnected()
		return f, nil
	}
	return c, err
}

// watch asks the store for changes. The hop count of the state is 0 only after an answer
// of the store: instances that follow each other would all be wrong together.
func (n *Node) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	n.setSource(storeSource)
	if d := n.batchUntil.Sub(n.clock()); d > 0 && !sleep(ctx, d) {
		return store.Changes{}, errors.Wrap(ctx.Err(), "relay.watch")
	}
	x, cancel := context.WithTimeout(ctx, wait+storeSlack)
	defer cancel()
	c, err := n.store.Changes(x, prefix, after, wait)
	if errors.Is(err, store.ErrCompacted) {
		_, confirmed, _ := n.changeLog.newest()
		n.event("history_gone", "after", after, "confirmed_ago", n.clock().Sub(confirmed))
	}
	if err == nil || errors.Is(err, store.ErrCompacted) {
		n.changeLog.SetHops(0)
	} else {
		n.changeLog.SetHops(unknownHops)
	}
	if len(c.Items) > 0 {
		n.batchUntil = n.clock().Add(n.timing.BatchDelay)
	}
	return c, err
}

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
