package biller

import (
	"context"
	"time"

	"fieldvale/bill"
	"fieldvale/peer"
)

// pendingRelease is the release of a duplicate that has failed at a holder.
type pendingRelease struct {
	holder  peer.Member
	record  bill.Record
	expires time.Time
}

// release deletes a duplicate record at its holders, and queues a retry for each
// holder at which that fails. A duplicate left at a holder counts as competing with
// the record that bills the request: if that record's owner dies, it would be left
// out as well and the request never billed.
func (b *Biller) release(ctx context.Context, h []peer.Member, r bill.Record) {
	x, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	until := time.Now().Add(bill.DuplicateWindow)
	for _, m := range h {
		if err := b.holder.Release(x, m, r); err != nil {
			b.queueRelease(pendingRelease{holder: m, record: r, expires: until})
		}
	}
}

// queueRelease queues a release for a retry. A full queue drops its oldest entry.
func (b *Biller) queueRelease(u pendingRelease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pendingReleases) >= maxPending {
		b.pendingReleases = b.pendingReleases[1:]
	}
	b.pendingReleases = append(b.pendingReleases, u)
}

// retryReleases retries each pending release once and drops those that have expired.
func (b *Biller) retryReleases(ctx context.Context) {
	b.mu.Lock()
	l := b.pendingReleases
	b.pendingReleases = nil
	b.mu.Unlock()
	for _, u := range l {
		if !time.Now().Before(u.expires) {
			continue
		}
		x, cancel := context.WithTimeout(ctx, holdTimeout)
		err := b.holder.Release(x, u.holder, u.record)
		cancel()
		if err != nil {
			b.queueRelease(u)
		}
	}
}
