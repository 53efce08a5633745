package quarantine

import "time"

// Keep takes in a content that the store holds as one that gets no replica.
func (n *Node) PutHeld(e Entry) {
	n.mu.Lock()
	n.kept[e.Fingerprint] = true
	delete(n.struck, e.Fingerprint)
	n.mu.Unlock()
	if n.book.Get(e.Fingerprint).LastCrashAt.After(e.Record.LastCrashAt) {
		return
	}
	n.logChange(n.book.Put(e.Fingerprint, e.Record, n.Clock()))
}

// Strike forgets a content that the operator took from the store, or that was over.
func (n *Node) RemoveHeld(f Fingerprint) {
	n.mu.Lock()
	known := n.kept[f]
	delete(n.kept, f)
	delete(n.repeats, f)
	if known {
		n.struck[f] = n.Clock()
	}
	n.mu.Unlock()
	if known {
		n.book.Strike(f)
		n.Log("request_struck", "content", f)
	}
}

// Retain strikes the contents that the store holds no more; there are all that it holds.
func (n *Node) RetainHeld(there map[Fingerprint]bool) {
	n.mu.Lock()
	var gone []Fingerprint
	for f := range n.kept {
		if !there[f] {
			gone = append(gone, f)
		}
	}
	n.mu.Unlock()
	for _, f := range gone {
		n.RemoveHeld(f)
	}
}

// isStruck reports whether the record is of before its content was struck: an instance that
// has not heard of that yet may go on telling it.
func (n *Node) isStruck(f Fingerprint, r Record) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.struck[f]
	return ok && !r.LastCrashAt.After(at)
}

// storeEvery is between looks for what the store lacks, or holds too long: it may be away,
// or its answer lost.
const storeEvery = time.Second

// keepStore has the store hold what is held, and no more.
func (n *Node) keepStore(now time.Time) {
	if now.Before(n.storeAt) {
		return
	}
	n.storeAt = now.Add(storeEvery)
	n.release()
	n.persist(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	for f, at := range n.struck {
		if now.Sub(at) > heldFor {
			delete(n.struck, f)
		}
	}
}

// persist has contents written that are held and not in the store.
func (n *Node) persist(now time.Time) {
	if n.OnHeld == nil {
		return
	}
	for _, e := range n.book.Suspects(now, mostRecords) {
		n.mu.Lock()
		kept := n.kept[e.Fingerprint]
		n.mu.Unlock()
		if !kept && e.Record.isHeld(now) && n.keeps(e.Fingerprint) {
			n.OnHeld(e)
		}
	}
}

// release has what is over taken from the store, by the content's first keeper.
func (n *Node) release() {
	if n.OnReleased == nil {
		return
	}
	n.mu.Lock()
	var over []Fingerprint
	for f := range n.kept {
		if n.book.Get(f).Score == 0 {
			over = append(over, f)
		}
	}
	n.mu.Unlock()
	for _, f := range over {
		if k := n.keepers(f); len(k) > 0 && k[0].ID == n.Self {
			n.OnReleased(f)
		}
	}
}

// Counts returns how many contents are suspect and how many of these are held.
func (n *Node) Counts() (suspect, held int) {
	now := n.Clock()
	for _, e := range n.book.Suspects(now, mostRecords) {
		suspect++
		if e.Record.isHeld(now) {
			held++
		}
	}
	return suspect, held
}

// Suspects returns the contents that may not be sent freely, the worst first.
func (n *Node) Suspects(most int) []Entry { return n.book.Suspects(n.Clock(), most) }
