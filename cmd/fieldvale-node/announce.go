package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/peer"
	"fieldvale/platform"
	"fieldvale/store"
)

// announceFor is how long an instance that is gone is still listed;
// a silent keeper is passed over long before. It is renewed at a third.
const announceFor = 12 * time.Second

// announce keeps the instance on the fleet's list.
func (n *node) announce(ctx context.Context) error {
	v, err := platform.EncodeMember(peer.Member{ID: n.s.ID, Addr: n.s.Peers, DataCentre: n.s.DataCentre})
	if err != nil {
		return errors.Wrap(err, "node.announce")
	}
	var a store.Announced
	for ctx.Err() == nil {
		a, err = n.renew(ctx, a, v)
		if err != nil {
			n.event("announce_failed", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(announceFor / 3):
		}
	}
	return nil
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
	return b, nil
}
