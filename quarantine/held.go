package quarantine

import "time"

// PutHeld adds a held content that was read from the store. Its record replaces the local one
// unless that has a later crash.
func (n *Node) PutHeld(e Entry) {
	n.mu.Lock()
	n.stored[e.Fingerprint] = true
	delete(n.removed, e.Fingerprint)
	n.mu.Unlock()
	if n.records.Get(e.Fingerprint).LastCrashAt.After(e.Record.LastCrashAt) {
		return
	}
	n.logChange(n.records.Put(e.Fingerprint, e.Record, n.Clock()))
}

// RemoveHeld deletes a content that is no longer in the store, because the operator removed it or
// its time there is over.
func (n *Node) RemoveHeld(f Fingerprint) {
	n.mu.Lock()
	wasStored := n.stored[f]
	delete(n.stored, f)
	delete(n.broadcasts, f)
	if wasStored {
		n.removed[f] = n.Clock()
	}
	n.mu.Unlock()
	if wasStored {
		n.records.Delete(f)
		n.Log("request_struck", "content", f)
	}
}

// RetainHeld deletes the held contents that are not in stored, the complete set of contents in the
// store.
func (n *Node) RetainHeld(stored map[Fingerprint]bool) {
	n.mu.Lock()
	var missing []Fingerprint
	for f := range n.stored {
		if !stored[f] {
			missing = append(missing, f)
		}
	}
	n.mu.Unlock()
	for _, f := range missing {
		n.RemoveHeld(f)
	}
}

// isRemoved reports whether the record is older than the removal of its content from the store.
// Instances that have not seen the removal yet may still send such records.
func (n *Node) isRemoved(f Fingerprint, r Record) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.removed[f]
	return ok && !r.LastCrashAt.After(at)
}

// storeSyncInterval is the time between two comparisons with the store. Earlier writes may have
// been lost, as the store may be unavailable or its response lost.
const storeSyncInterval = time.Second

// syncStore requests the store writes and deletions that make the store hold exactly the held
// contents, and expires the entries of removed.
func (n *Node) syncStore(now time.Time) {
	if now.Before(n.nextStoreSync) {
		return
	}
	n.nextStoreSync = now.Add(storeSyncInterval)
	n.releaseExpired()
	n.persistHeld(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	for f, at := range n.removed {
		if now.Sub(at) > heldFor {
			delete(n.removed, f)
		}
	}
}

// persistHeld calls OnHeld for contents that are held but not in the store.
func (n *Node) persistHeld(now time.Time) {
	if n.OnHeld == nil {
		return
	}
	for _, e := range n.records.Suspects(now, maxRecords) {
		n.mu.Lock()
		isStored := n.stored[e.Fingerprint]
		n.mu.Unlock()
		if !isStored && e.Record.isHeld(now) && n.isOwner(e.Fingerprint) {
			n.OnHeld(e)
		}
	}
}

// releaseExpired calls OnReleased for contents in the store whose record has expired. Only the
// first owner of a content does so.
func (n *Node) releaseExpired() {
	if n.OnReleased == nil {
		return
	}
	n.mu.Lock()
	var expired []Fingerprint
	for f := range n.stored {
		if n.records.Get(f).Score == 0 {
			expired = append(expired, f)
		}
	}
	n.mu.Unlock()
	for _, f := range expired {
		if o := n.owners(f); len(o) > 0 && o[0].ID == n.Self {
			n.OnReleased(f)
		}
	}
}

// Counts returns how many contents, or parts, are suspect, and how many of these are held.
func (n *Node) Counts(k Kind) (suspect, held int) {
	now := n.Clock()
	for _, e := range n.records.Suspects(now, maxRecords) {
		if e.Record.Kind != k {
			continue
		}
		suspect++
		if e.Record.isHeld(now) {
			held++
		}
	}
	return suspect, held
}

// Suspects returns up to limit contents that may not be sent freely, ordered by descending score.
func (n *Node) Suspects(limit int) []Entry { return n.records.Suspects(n.Clock(), limit) }
