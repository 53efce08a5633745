package relay

import (
	"encoding/binary"
	"sync"
	"time"

	"fieldvale/store"
)

// packs keeps what was packed last: all followers ask for the same changes, and all
// that start for the same whole. It is safe for concurrent use.
type packs struct {
	mu sync.Mutex
	// changes are those up to the revision until, packed, by the revision after which
	// they are.
	until   int64
	changes map[int64][]byte

	whole packedWhole
	// kept is closed when a whole is there for the first time.
	kept chan struct{}
}

// packedWhole is the whole at a revision, packed.
type packedWhole struct {
	items    []byte
	revision int64
	// asOf is when the revision was known to be the newest, packedAt when it was packed.
	asOf, packedAt time.Time
}

// wholeFor is how long a packed whole is passed on after newer changes: who gets it
// asks for those at once, and to pack it takes a small instance some 0.1 s.
const wholeFor = 2 * time.Second

func newPacks() *packs {
	return &packs{changes: map[int64][]byte{}, kept: make(chan struct{})}
}

// of returns the packed items of the changes after a revision.
func (p *packs) of(after int64, c store.Changes) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.until != c.Revision {
		p.until, p.changes = c.Revision, map[int64][]byte{}
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

// keep keeps a whole that was fetched, so that it is passed on as it came. It speaks for
// the moment at which it was asked for, less its age: the answer may have been long under
// way, and this process may have stood still.
func (p *packs) keep(a answer, message []byte, asked, now time.Time) packedWhole {
	p.mu.Lock()
	defer p.mu.Unlock()
	head := int(binary.BigEndian.Uint32(message[1:]))
	w := packedWhole{items: message[1+headLength+head:], revision: a.Revision, asOf: asked.Add(-a.age()), packedAt: now}
	if a.Revision >= p.whole.revision {
		p.set(w)
	}
	return w
}

// set replaces the whole; p.mu is held.
func (p *packs) set(w packedWhole) {
	if p.whole.items == nil {
		close(p.kept)
	}
	p.whole = w
}

// hasWhole reports whether there is a whole to pass on.
func (p *packs) hasWhole() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.whole.items != nil
}

// all returns the message with the whole that the log holds, or that was fetched just
// now.
func (p *packs) all(l *ChangeLog, now time.Time) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.whole, p.whole.items != nil
	if r, confirmed, knows := l.newest(); knows && ok && r == w.revision && confirmed.After(w.asOf) {
		w.asOf = confirmed
	} else if knows && (!ok || r != w.revision && now.Sub(w.packedAt) > wholeFor) {
		var err error
		if w, err = packWhole(l, now); err != nil {
			return nil, err
		}
		ok = true
	}
	if !ok {
		return nil, ErrNoState
	}
	p.set(w)
	a := answer{Status: known, All: true, Revision: w.revision, Age: now.Sub(w.asOf).Milliseconds() + 1, Hops: unknownHops}
	return encode(message{Answer: &a}, w.items)
}

// packWhole packs all that the log holds.
func packWhole(l *ChangeLog, now time.Time) (packedWhole, error) {
	x, ok := l.all()
	if !ok {
		return packedWhole{}, ErrNoState
	}
	b, err := x.content.pack()
	return packedWhole{items: b, revision: x.revision, asOf: x.asOf, packedAt: now}, err
}
