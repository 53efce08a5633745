package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

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
				return store.Page{Items: a.Items, Revision: a.Revision, Age: a.age()}, nil
			}
		}
		if !sleep(ctx, askPause/2+rand.N(askPause)) {
			return store.Page{}, errors.Wrap(ctx.Err(), "relay.readNewer")
		}
		before, rest, _ = n.sources()
	}
	return n.readPage(ctx, prefix, "")
}
