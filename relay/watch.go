package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/peer"
	"fieldvale/store"
)

// storeSlack is how much longer than asked for the store may take before
// it counts as lost; well above its usual 4 ms and below the second in
// which an instance has to notice.
const storeSlack = 700 * time.Millisecond

// errWaits says that neither the store nor another instance was reached, and
// that it is not yet time to ask the store again.
var errWaits = errors.New("relay: the store was not reached, and other instances can't tell")

// watchOrFollow asks the store, and the rest if it can't be reached.
func (n *Node) watchOrFollow(ctx context.Context, prefix string, after int64, wait time.Duration, rest []peer.Member, tier int) (store.Changes, error) {
	c, err := n.watch(ctx, prefix, after, wait)
	if err == nil || errors.Is(err, store.ErrCompacted) || ctx.Err() != nil {
		n.backoff = n.backoff.withAnswer()
		n.told()
		return c, err
	}
	n.backoff = n.backoff.withFailure(tier, n.clock())
	if f, ok := n.followAny(ctx, rest, after, n.times.Follow); ok {
		n.backoff = n.backoff.withSource(n.clock())
		n.told()
		return f, nil
	}
	return c, err
}

// watch asks the store. Only what it says may be told to others: instances
// that follow each other would all be wrong together.
func (n *Node) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	n.from("store")
	if d := n.gatherUntil.Sub(n.clock()); d > 0 && !sleep(ctx, d) {
		return store.Changes{}, errors.Wrap(ctx.Err(), "relay.watch")
	}
	x, cancel := context.WithTimeout(ctx, wait+storeSlack)
	defer cancel()
	c, err := n.store.Changes(x, prefix, after, wait)
	if errors.Is(err, store.ErrCompacted) {
		_, confirmed, _ := n.log.newest()
		n.event("history_gone", "after", after, "confirmed_ago", n.clock().Sub(confirmed))
	}
	if err == nil || errors.Is(err, store.ErrCompacted) {
		n.log.SetHops(0)
	} else {
		n.log.SetHops(unknownHops)
	}
	if len(c.Items) > 0 {
		n.gatherUntil = n.clock().Add(n.times.Gather)
	}
	return c, err
}

// sleep waits for d; it reports false if ctx ended before.
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
