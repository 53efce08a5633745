// Package peer replicates small items between all instances by gossip. Each
// instance exchanges changed items with a few fixed partners, so that an item
// crosses each link about once and no instance has to send to all others.
package peer

import "time"

// Kind is the kind of an item.
type Kind int32

// The kinds of items and what their names are.
const (
	// Instance is the heartbeat of a fieldvale instance, named by its id.
	Instance Kind = iota + 1
	// Draining reports a backend server that gets no new requests, named by its id.
	Draining
	// Evidence holds one instance's counts of outcomes for a version under a
	// roll-out, named by the instance's entry and the version.
	Evidence
	// Trip reports a roll-out whose version was found bad, named by the
	// roll-out's start time and the version.
	Trip
)

// Key identifies an item.
type Key struct {
	Kind Kind
	Name string
}

// Item is a replicated value. Of two items with the same key, the one with the
// higher Version replaces the other. Every instance drops the item after Expires;
// the instances' clocks must agree within seconds.
type Item struct {
	Key     Key
	Version uint64
	Value   []byte
	Expires time.Time
}
