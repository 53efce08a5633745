// Package reach tracks which backend servers an instance can connect to over its own links. Where
// a server can't be reached directly but another instance reaches it, the fault is in the links and
// not in the server, and connections to it go through other instances.
//
// The package has no I/O. Tracker decides by which way the next connection to a server is opened, and
// Helpers chooses the instances to ask.
package reach

// Way is how a connection to a backend server is opened.
type Way int

// The ways.
const (
	// Direct is a connection of this instance to the server.
	Direct Way = iota
	// Indirect is a connection through another instance.
	Indirect
)

// String returns the way's name for the log and metrics.
func (w Way) String() string {
	if w == Indirect {
		return "indirect"
	}
	return "direct"
}
