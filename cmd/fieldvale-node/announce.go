package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/peer"
	"fieldvale/platform"
	"fieldvale/roster"
	"fieldvale/store"
)

const (
	// announceFor is how long an instance that is gone is still listed; a
	// silent keeper is passed over long before. It is renewed at a third.
	// Instances that the store turns away for 12 s keep their place; each of
	// them that lost it cost two calls and a change that all heard of.
	announceFor = 20 * time.Second
	// renewEvery is between renewals, and between looks whether the list is
	// short. Instances look at different moments, since they start so.
	renewEvery = announceFor / 3
	// findWithin is how long an instance waits for its first read of the
	// store, which shows who is listed, and whether an earlier run's
	// announcement still stands.
	findWithin = firstStartWait + firstStartSpread + 2*time.Second
	// joinSpread is over how long instances that are started again at once look
	// whether others have joined a short list meanwhile.
	joinSpread = 2 * time.Second
)

// self is this instance as others find it.
func (n *node) self() peer.Member {
	return peer.Member{ID: n.s.ID, Addr: n.s.Peers, DataCentre: n.s.DataCentre}
}

// found keeps the announcement that the first read of the store showed.
func (n *node) found(a store.Announced) {
	select {
	case n.earlier <- a:
	default:
	}
}

// earlierAnnouncement returns that of an instance that was started again:
// to renew it costs a tenth of a call, to make it anew two, and all instances
// that follow the store would hear of it.
func (n *node) earlierAnnouncement(ctx context.Context) store.Announced {
	t := time.NewTimer(findWithin)
	defer t.Stop()
	select {
	case a := <-n.earlier:
		return a
	case <-t.C:
	case <-ctx.Done():
	}
	return store.Announced{}
}

// announce keeps the instance on the fleet's list, if the fleet needs it there.
func (n *node) announce(ctx context.Context) error {
	v, err := platform.EncodeMember(n.self())
	if err != nil {
		return errors.Wrap(err, "node.announce")
	}
	a := n.earlierAnnouncement(ctx)
	if a.Lease == 0 && !n.s.FirstStart && roster.IsFew(n.state.Listed()) {
		pause(ctx, rand.N(joinSpread))
	}
	joins := roster.Wants(n.state.Listed())
	for ctx.Err() == nil {
		if a.Lease != 0 || joins {
			if a, err = n.renew(ctx, a, v); err != nil {
				n.event("announce_failed", "error", err)
			}
		}
		pause(ctx, renewEvery)
		joins = n.joinsLater(joins)
	}
	return nil
}

// joinsLater reports whether an instance that is not listed joins the list, now
// that it has run for a while; joined says whether it was to before.
func (n *node) joinsLater(joined bool) bool {
	l := n.state.Listed()
	if joined {
		return roster.Wants(l)
	}
	return roster.IsFew(l)
}

// renew renews the announcement, or makes it anew if there is none or it lapsed.
func (n *node) renew(ctx context.Context, a store.Announced, value []byte) (store.Announced, error) {
	x, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if a.Lease != 0 {
		b, err := n.store.Renew(x, a, announceFor)
		if !errors.Is(err, store.ErrLapsed) {
			return b, err
		}
	}
	b, err := n.store.Announce(x, platform.MemberKey(n.s.ID), value, announceFor)
	if err != nil {
		return store.Announced{}, err
	}
	n.event("listed", "listed_others", n.state.Listed())
	return b, nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
