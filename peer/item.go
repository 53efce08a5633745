// Package peer spreads facts between instances. Each instance swaps what it
// learnt with a few fixed partners, so that a fact crosses each link about
// once and no message goes from every node to every node.
package peer

import "time"

// Kind says what a fact is about.
type Kind int32

// The kinds of fact.
const (
	// Instance: one of fieldvale's instances, by its id; a heartbeat.
	Instance Kind = iota + 1
	// Leaving: a backend server that gets no new work, by its id.
	Leaving
	// Evidence: one instance's counts for a version, by "instance/version".
	Evidence
	// Trip: a roll-out whose version was found bad, by "start/version".
	Trip
)

// Key names a fact.
type Key struct {
	Kind Kind
	Name string
}

// Item is a fact. Of two with one key the higher Version counts. It is
// forgotten everywhere after Expires, by clocks that agree within seconds.
type Item struct {
	Key     Key
	Version uint64
	Value   []byte
	Expires time.Time
}
