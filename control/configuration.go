package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/codec"
	"fieldvale/audit"
	"fieldvale/config"
	"fieldvale/peer"
	"fieldvale/store"
)

// Keys and key prefixes in the store.
const (
	configKey   = "/fieldvale/config"
	auditPrefix = "/fieldvale/audit/"
	claimPrefix = "/fieldvale/claim/"
	billPrefix  = "/fieldvale/bill/"
)

// watchersPerDataCentre is how many instances of a data centre watch the store;
// the others receive new revisions from peers.
const watchersPerDataCentre = 2

// watchRetryDelay is the delay after a failed watch.
const watchRetryDelay = time.Second

// Document returns the configuration document in force and its encoded form.
func (n *Node) Document() (config.Document, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.doc, n.encodedDoc
}

func (n *Node) revision() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.doc.Revision
}

// adopt puts the encoded document in force if its revision is higher than the
// one in force and it compiles. It reports whether it did. fromPeers says that
// the document was received from a peer and not read from the store.
func (n *Node) adopt(b []byte, fromPeers bool) (bool, error) {
	if r, err := codec.DecodeRevision(b); err != nil || r == n.revision() {
		return false, err
	}
	d, err := codec.DecodeDocument(b)
	if err != nil {
		return false, errors.Wrap(err, "control.adopt")
	}
	if _, e := config.Compile(d); len(e) > 0 {
		return false, errors.Wrap(e[0], "control.adopt")
	}
	n.mu.Lock()
	if !n.doc.IsOlderThan(d) {
		n.mu.Unlock()
		return false, nil
	}
	n.doc, n.encodedDoc, n.fromPeers = d, b, fromPeers
	n.pruneTrips()
	n.view++
	n.mu.Unlock()
	n.log("config_adopted", "revision", d.Revision, "from_peers", fromPeers)
	n.publishHeartbeat()
	n.triggerExchange()
	return true, nil
}

// watchStore watches the configuration key of the store, while this instance is
// a watcher of its data centre. A failed watch is followed by a plain read.
func (n *Node) watchStore(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.isWatcher() {
			n.sleep(ctx, n.Times.Heartbeat)
			continue
		}
		n.mu.Lock()
		v := n.storeVersion
		n.mu.Unlock()
		x, cancel := context.WithTimeout(ctx, n.Times.Poll)
		p, err := n.Store.Wait(x, configKey, v)
		cancel()
		if err != nil {
			n.sleep(ctx, watchRetryDelay)
			n.pollStore(ctx)
			continue
		}
		n.handleStoredDocument(ctx, p)
	}
}

// isWatcher reports whether this instance ranks among the watchers of its data
// centre.
func (n *Node) isWatcher() bool {
	var d []peer.Member
	for _, m := range n.Members() {
		if m.DataCentre == n.Self.DataCentre {
			d = append(d, m)
		}
	}
	i := peer.Position("watch", n.Self.ID, d)
	return i >= 0 && i < watchersPerDataCentre
}

// sleep waits for d or until ctx ends.
func (n *Node) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// pollStore reads the configuration from the store once.
func (n *Node) pollStore(ctx context.Context) {
	x, cancel := n.call(ctx)
	defer cancel()
	p, err := n.Store.Get(x, configKey)
	if err != nil {
		n.log("store_unreachable", "step", "read configuration", "error", err)
		return
	}
	n.handleStoredDocument(ctx, p)
}

// handleStoredDocument handles a successful read of the configuration key. A
// document older than the one in force is not adopted: the store was restored from
// an older backup, and the newer document is written back to it.
func (n *Node) handleStoredDocument(ctx context.Context, p store.Pair) {
	n.mu.Lock()
	n.storeVersion = p.Version
	n.storeOKAt = n.Clock()
	n.mu.Unlock()
	if p.Version != 0 {
		if _, err := n.adopt(p.Value, false); err != nil {
			n.log("config_unusable", "error", err)
			return
		}
	}
	n.restoreIfOlder(ctx, p)
}

// restoreIfOlder compares the stored revision with the one in force, and writes
// the document in force to the store if the stored one is older.
func (n *Node) restoreIfOlder(ctx context.Context, p store.Pair) {
	n.mu.Lock()
	d, b := n.doc, n.encodedDoc
	n.mu.Unlock()
	var r uint64
	if p.Version != 0 {
		o, err := codec.DecodeRevision(p.Value)
		if err != nil {
			n.log("config_unusable", "error", err)
			return
		}
		r = o
	}
	older := r < d.Revision
	n.mu.Lock()
	n.storeOlder = older
	n.mu.Unlock()
	if !older {
		n.mu.Lock()
		n.fromPeers = false
		n.mu.Unlock()
		return
	}
	n.log("store_older", "stored", r, "held", d.Revision)
	n.verifyLedgers()
	n.restore(ctx, p, r, d, b)
}

// restore overwrites the older document p, at revision r, by document d in force,
// encoded as b, and adds an audit entry.
func (n *Node) restore(ctx context.Context, p store.Pair, r uint64, d config.Document, b []byte) {
	e := audit.Entry{
		Revision: d.Revision, ChangeID: "restore", Actor: "fieldvale/" + n.Self.ID, At: n.Clock(), Action: audit.Restore,
		From: revisionText(r), To: revisionText(d.Revision), Reason: "the store held an older configuration than the instances",
	}
	a, err := codec.EncodeAudit(e, nil)
	if err != nil {
		n.log("restore_failed", "error", err)
		return
	}
	x, cancel := n.call(ctx)
	defer cancel()
	w := []store.Write{{Key: configKey, Value: b}, {Key: auditKey(d.Revision) + "-restore", Value: a}}
	ok, err := n.Store.Commit(x, []store.Guard{{Key: configKey, Version: p.Version}}, w)
	if err != nil || !ok {
		n.log("restore_failed", "committed", ok, "error", err)
		return
	}
	n.log("store_restored", "revision", d.Revision)
}

// verifyLedgers makes the next flush check whether the store still has the
// ledgers, which a restored store may have lost.
func (n *Node) verifyLedgers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.ledgers {
		f.verifyAt = time.Time{}
	}
}

// fetchDocuments fetches newer documents from the peers that advertised a higher
// revision, until ctx ends.
func (n *Node) fetchDocuments(ctx context.Context) {
	for {
		m, err := n.fetches.Take(ctx)
		if err != nil {
			return
		}
		if err := n.fetchDocument(ctx, m); err != nil {
			n.log("fetch_failed", "peer", m.ID, "error", err)
		}
	}
}

// fetchDocument fetches the document from the peer and adopts it, if its revision
// is above the one in force.
func (n *Node) fetchDocument(ctx context.Context, m peer.Member) error {
	r := n.revision()
	x, cancel := n.call(ctx)
	defer cancel()
	b, err := n.Peers.Document(x, m, r)
	if err != nil || b == nil {
		return err
	}
	_, err = n.adopt(b, true)
	return err
}
