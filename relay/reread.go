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

// readNewer reads all keys where the store does not tell any more what has changed after
// the revision known here. Only something newer helps, of another instance or the store: with
// what it knows already the instance would be sent back to where it is. Others are asked for
// lostTurn for each tier before this instance's own; the store has just answered.
func (n *Node) readNewer(ctx context.Context, prefix string, after int64) (store.Page, error) {
	before, rest, tier := n.sources()
	turn := n.clock().Add(time.Duration(tier) * lostTurn)
	for n.clock().Before(turn) {
		for _, m := range slices.Concat(before, rest) {
			if !n.clock().Before(turn) || ctx.Err() != nil {
				break
			}
			if a, s := n.wholeBy(ctx, m, after, false); s == known {
				return a.page(), nil
			}
		}
		if !sleep(ctx, askPause/2+rand.N(askPause)) {
			return store.Page{}, errors.Wrap(ctx.Err(), "relay.readNewer")
		}
		before, rest, _ = n.sources()
	}
	return n.readOrAsk(ctx, prefix, rest, after)
}

// readOrAsk reads the first page at the store. Where the store turns this instance away, others
// may have a whole newer than the revision after.
func (n *Node) readOrAsk(ctx context.Context, prefix string, others []peer.Member, after int64) (store.Page, error) {
	p, err := n.readPage(ctx, prefix, "")
	if err == nil {
		return p, nil
	}
	for _, m := range others {
		if a, s := n.wholeBy(ctx, m, after, false); s == known {
			return a.page(), nil
		}
	}
	return store.Page{}, err
}
