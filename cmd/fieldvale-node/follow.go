package main

import (
	"context"
	"time"

	"fieldvale/mirror"
	"fieldvale/platform"
	"fieldvale/relay"
)

// firstStartWait is how long an instance waits before its first read of the
// store when the whole fleet starts: the platform starts all within 0.3 s, and
// an announcement takes two calls. Without it, none knows the others, and each
// watches the store.
const firstStartWait = 600 * time.Millisecond

// follow keeps up with what the store holds.
func (n *node) follow(ctx context.Context) error {
	if n.s.FirstStart {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(firstStartWait):
		}
	}
	return n.mirror().Run(ctx)
}

// mirror returns the mirror that follows what the store holds.
func (n *node) mirror() *mirror.Mirror {
	on := relay.Tee{Log: n.changes, On: platform.NewListener(n.state, n.self(), n.found, n.event)}
	return mirror.New(n.relay, platform.Prefix, relay.TimesFor(n.s.ApplyWithin).Watch, n.clock, on)
}
