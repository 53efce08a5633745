package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/peer"
	"fieldvale/store"
)

// readNewer reads all keys after the store has compacted the changes after the revision of
// this instance. Only state newer than that revision helps, of another instance or the
// store: from the same revision the instance would have to read all keys again. Other
// instances are queried for disconnectedTierDelay times the tier of this instance; then
// the store is read, which has just answered.
func (n *Node) readNewer(ctx context.Context, prefix string, after int64) (store.Page, error) {
	primary, fallback, tier := n.sources()
	deadline := n.clock().Add(time.Duration(tier) * disconnectedTierDelay)
	for n.clock().Before(deadline) {
		for _, m := range slices.Concat(primary, fallback) {
			if !n.clock().Before(deadline) || ctx.Err() != nil {
				break
			}
			if a, s := n.fetchSnapshotVia(ctx, m, after, false); s == statusOK {
				return a.page(), nil
			}
		}
		if !sleep(ctx, roundPause/2+rand.N(roundPause)) {
			return store.Page{}, errors.Wrap(ctx.Err(), "relay.readNewer")
		}
		primary, fallback, _ = n.sources()
	}
	return n.readOrFetch(ctx, prefix, fallback, after)
}

// readOrFetch reads the first page from the store. If that fails, it fetches a snapshot
// newer than the revision after from another instance.
func (n *Node) readOrFetch(ctx context.Context, prefix string, fallback []peer.Member, after int64) (store.Page, error) {
	p, err := n.readPage(ctx, prefix, "")
	if err == nil {
		return p, nil
	}
	for _, m := range fallback {
		if a, s := n.fetchSnapshotVia(ctx, m, after, false); s == statusOK {
			return a.page(), nil
		}
	}
	return store.Page{}, err
}
