package main

import (
	"context"
	"math/rand/v2"
	"time"

	"fieldvale/mirror"
	"fieldvale/peer"
	"fieldvale/platform"
	"fieldvale/relay"
	"fieldvale/store"
)

const (
	// firstStartWait is how long an instance waits at least before its first
	// read of the store when the whole fleet starts: the platform starts all
	// within 0.3 s. Up to firstStartSpread comes on top, so that each reads what
	// those before have announced: 200 a second of 295 instances, and an
	// announcement takes two calls of the store.
	firstStartWait   = 400 * time.Millisecond
	firstStartSpread = 1500 * time.Millisecond
	// firstRead is how much, in Mbit, an instance's link could carry before its turn:
	// those with wide links are the first, since they read the store for all others.
	firstRead = 4.0
	// listTimeout bounds a read of the list.
	listTimeout = time.Second
)

// follow keeps up with what the store holds.
func (n *node) follow(ctx context.Context) error {
	if n.s.FirstStart {
		pause(ctx, n.firstStartPause())
	}
	return n.mirror().Run(ctx)
}

// firstStartPause is how long the instance waits as the whole fleet starts.
func (n *node) firstStartPause() time.Duration {
	d := firstStartWait + rand.N(firstStartSpread)
	if n.s.LinkMbps > 0 {
		d += time.Duration(firstRead / n.s.LinkMbps * float64(time.Second))
	}
	return d
}

// list reads the list of the fleet's instances.
func (n *node) list(ctx context.Context, stale bool) ([]peer.Member, error) {
	x, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	l, err := n.store.Members(x, stale)
	if err != nil {
		return nil, err
	}
	var earlier store.Announced
	m := make([]peer.Member, len(l))
	for i, x := range l {
		m[i] = x.Member
		if x.Member == n.self() {
			earlier = x.Announced
		}
	}
	if len(l) > 0 || !stale {
		n.found(earlier)
	}
	return m, nil
}

// mirror returns the mirror that follows what the store holds.
func (n *node) mirror() *mirror.Mirror {
	var d platform.DutyListener
	if n.cloud != nil {
		d = n.cloud
	}
	on := relay.Tee{ChangeLog: n.changes, Listener: platform.NewListener(n.state, n.quarantine, d, n.clock, n.event), Event: n.event}
	return mirror.New(n.relay, platform.WatchPrefix, relay.TimingFor(n.s.ApplyWithin).StoreWait, n.clock, on)
}
