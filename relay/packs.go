package relay

import (
	"sync"

	"fieldvale/store"
)

// packs keeps the items that were packed last: all followers ask for the same
// changes. It is safe for concurrent use.
type packs struct {
	mu     sync.Mutex
	after  int64
	until  int64
	packed []byte
}

// of returns the packed items of the changes after a revision.
func (p *packs) of(after int64, c store.Changes) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed != nil && p.after == after && p.until == c.Revision {
		return p.packed, nil
	}
	b, err := pack(c.Items)
	if err != nil {
		return nil, err
	}
	p.after, p.until, p.packed = after, c.Revision, b
	return b, nil
}
