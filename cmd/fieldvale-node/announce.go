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
	// joinAfter is how long after its first look at the list an instance waits that
	// may join it, and joinSpread the most that comes on top: by then those that were
	// started with it follow others, so that each knows how many there are.
	joinAfter  = 1500 * time.Millisecond
	joinSpread = 2 * time.Second
)

// self is this instance as others find it.
func (n *node) self() peer.Member {
	return peer.Member{ID: n.s.ID, Addr: n.s.Peers, DataCentre: n.s.DataCentre, LinkMbps: n.s.LinkMbps}
}

// found keeps the announcement of an earlier run that the list showed first; its zero
// value if there is none.
func (n *node) found(a store.Announced) {
	select {
	case n.earlier <- a:
	default:
	}
}

// announce keeps the instance on the fleet's list, if the fleet needs it there. One that
// was started again renews its earlier announcement: that costs a tenth of a call, a new
// one two, and all that follow the store would hear of it. One that finds nobody joins
// at once, so that others find it.
func (n *node) announce(ctx context.Context) error {
	v, err := platform.EncodeMember(n.self())
	if err != nil {
		return errors.Wrap(err, "node.announce")
	}
	var a store.Announced
	select {
	case a = <-n.earlier:
	case <-ctx.Done():
		return nil
	}
	joins := false
	if a.Lease == 0 {
		joins = n.joinsAfter(ctx, joinAfter+rand.N(joinSpread), func() bool { return n.joins(roster.Joins) })
	}
	for ctx.Err() == nil {
		if a.Lease != 0 || joins {
			if a, err = n.renew(ctx, a, v); err != nil {
				n.event("announce_failed", "error", err)
			}
		}
		joins = n.joinsAfter(ctx, renewEvery, func() bool {
			return joins && n.joins(roster.Joins) || n.joins(roster.JoinsLater)
		})
	}
	return nil
}

// joinsAfter reports after d whether the instance joins the list, or at once where it
// finds nobody of those on it.
func (n *node) joinsAfter(ctx context.Context, d time.Duration, joins func() bool) bool {
	select {
	case <-time.After(d):
		return joins()
	case <-n.alone:
		return true
	case <-ctx.Done():
		return false
	}
}

// join has the announcing goroutine put this instance on the list.
func (n *node) join() {
	select {
	case n.alone <- struct{}{}:
	default:
	}
}

// joins draws whether an instance that is not listed joins the list, with the chance
// for the instances listed and all that there are.
func (n *node) joins(chance func(listed, fleet int) float64) bool {
	return rand.Float64() < chance(n.state.RegisteredCount(), n.relay.FleetSize())
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
	n.event("listed", "listed_others", n.state.RegisteredCount())
	return b, nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
