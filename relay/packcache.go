package relay

import (
	"encoding/binary"
	"sync"
	"time"

	"fieldvale/store"
)

// packCache caches packed items: all followers ask for the same changes, and all instances
// that start for the same snapshot. It is safe for concurrent use.
type packCache struct {
	mu sync.Mutex
	// changes are the packed changes up to changesRevision, by the revision after which they
	// start.
	changesRevision int64
	changes         map[int64][]byte

	snapshot packedSnapshot
	// ready is closed when there is a snapshot for the first time.
	ready chan struct{}
}

// packedSnapshot is a packed snapshot at a revision.
type packedSnapshot struct {
	items    []byte
	revision int64
	// asOf is when the revision was confirmed as the newest, packedAt when it was packed.
	asOf, packedAt time.Time
}

// snapshotReuse is how long a packed snapshot is passed on after newer changes: its
// receiver asks for those at once, and packing takes a small instance some 0.1 s.
const snapshotReuse = 2 * time.Second

func newPackCache() *packCache {
	return &packCache{changes: map[int64][]byte{}, ready: make(chan struct{})}
}

// packedChanges returns the packed items of the changes after a revision.
func (p *packCache) packedChanges(after int64, c store.Changes) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changesRevision != c.Revision {
		p.changesRevision, p.changes = c.Revision, map[int64][]byte{}
	}
	if b, ok := p.changes[after]; ok {
		return b, nil
	}
	b, err := pack(c.Items)
	if err != nil {
		return nil, err
	}
	p.changes[after] = b
	return b, nil
}

// addFetched adds a fetched snapshot, to be passed on as it was received. It is confirmed
// for the moment at which it was requested, less its age: its transfer may have taken long,
// and this process may have been paused.
func (p *packCache) addFetched(a answer, message []byte, requestedAt, now time.Time) packedSnapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	jsonLength := int(binary.BigEndian.Uint32(message[1:]))
	w := packedSnapshot{items: message[1+jsonLengthSize+jsonLength:], revision: a.Revision, asOf: requestedAt.Add(-a.age()), packedAt: now}
	if a.Revision >= p.snapshot.revision {
		p.setSnapshot(w)
	}
	return w
}

// setSnapshot replaces the snapshot; p.mu is held.
func (p *packCache) setSnapshot(w packedSnapshot) {
	if p.snapshot.items == nil {
		close(p.ready)
	}
	p.snapshot = w
}

// hasSnapshot reports whether there is a snapshot to pass on.
func (p *packCache) hasSnapshot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshot.items != nil
}

// snapshotMessage returns a message with the snapshot of the log, or with a cached one that
// is recent enough.
func (p *packCache) snapshotMessage(l *ChangeLog, now time.Time) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.snapshot, p.snapshot.items != nil
	if r, confirmed, isKnown := l.newest(); isKnown && ok && r == w.revision && confirmed.After(w.asOf) {
		w.asOf = confirmed
	} else if isKnown && (!ok || r != w.revision && now.Sub(w.packedAt) > snapshotReuse) {
		var err error
		if w, err = packSnapshot(l, now); err != nil {
			return nil, err
		}
		ok = true
	}
	if !ok {
		return nil, ErrNoState
	}
	p.setSnapshot(w)
	a := answer{Status: statusOK, Snapshot: true, Revision: w.revision, AgeMs: now.Sub(w.asOf).Milliseconds() + 1, Hops: unknownHops}
	return encode(message{Answer: &a}, w.items)
}

// packSnapshot packs the snapshot of the log.
func packSnapshot(l *ChangeLog, now time.Time) (packedSnapshot, error) {
	x, ok := l.current()
	if !ok {
		return packedSnapshot{}, ErrNoState
	}
	b, err := x.snapshot.pack()
	return packedSnapshot{items: b, revision: x.revision, asOf: x.asOf, packedAt: now}, err
}
