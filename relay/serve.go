package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// transfersAtOnce is how many instances fetch at a time: one after another has the
	// first ones pass it on sooner.
	transfersAtOnce = 2
	// holdFetch is how long one that fetches is held where the whole is not known yet,
	// holdChanges where the changes are not: who is to pass them on fetches them in the
	// same moment, and the one who told of them has them.
	holdFetch   = 2 * time.Second
	holdChanges = 300 * time.Millisecond
)

// ErrNoState says that this instance knows nothing to pass on, and is not about to.
var ErrNoState = errors.New("relay: no state to pass on")

// Serve has write send what an instance gets that fetches the changes after a revision:
// these, or the whole.
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
	b, err := n.passedOn(after)
	if err != nil {
		return err
	}
	return write(b)
}

// awaitNewer waits until there is something newer than the revision to pass on.
func (n *Node) awaitNewer(ctx context.Context, after int64) error {
	hold := holdChanges
	var fetched <-chan struct{}
	if after < 0 {
		hold, fetched = holdFetch, n.packs.kept
	}
	t := time.NewTimer(hold)
	defer t.Stop()
	for {
		changed := n.log.next()
		if r, _, ok := n.log.newest(); ok && r > after || after < 0 && n.packs.hasWhole() {
			return nil
		}
		if n.log.isLost() {
			return ErrNoState
		}
		select {
		case <-changed:
		case <-fetched:
		case <-t.C:
			return ErrNoState
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "relay.Serve")
		}
	}
}

// passedOn returns the changes after the revision, or the whole where these are
// forgotten.
func (n *Node) passedOn(after int64) ([]byte, error) {
	now := n.clock()
	if c, _, s := n.log.since(after, unknownHops, now); after >= 0 && s == known {
		items, err := n.packs.of(after, c)
		if err != nil {
			return nil, err
		}
		a := newAnswer(0, c, known)
		a.Hops = n.log.Hops()
		return encode(message{Answer: &a}, items)
	}
	return n.packs.all(n.log, now)
}
