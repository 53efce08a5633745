package peer

import "time"

// Message is the request that starts an exchange.
type Message struct {
	From        string
	Incarnation string
	// Since is the stamp, the sequence number in the receiver's table, up to which
	// the sender has the receiver's updates. The stamps are those of the receiver's
	// incarnation SinceIncarnation.
	Since            uint64
	SinceIncarnation string
	// Revision is the revision of the configuration that the sender has in force.
	Revision uint64
	Items    []Item
}

// Reply is the response to a Message.
type Reply struct {
	Incarnation string
	// Stamp is the stamp up to which Items has the responder's updates.
	Stamp uint64
	// Revision is the revision of the configuration that the responder has in
	// force.
	Revision uint64
	Items    []Item
}

// Heartbeat is the state that an instance advertises to its peers.
type Heartbeat struct {
	Addr       string
	DataCentre string
	// Incarnation is that of the control process, EntryIncarnation that of the
	// entry that last reported to it.
	Incarnation      string
	EntryIncarnation string
	Revision         uint64
	// EntryRevision is the revision that the entry has in force.
	EntryRevision uint64
	StoreOK       bool
	EntryOK       bool
	Stopping      bool
	// LedgerUpto is the number up to which the store has all records of the
	// entry's ledger.
	LedgerUpto uint64
	Alarms     []string
}

// Cursor is the progress of an instance's exchanges with one partner.
type Cursor struct {
	incarnation string
	// remoteStamp is the stamp up to which the partner's updates were received,
	// and localStamp the one up to which own updates were sent.
	remoteStamp uint64
	localStamp  uint64
	// RetryAt is when a partner that failed may be used again.
	RetryAt time.Time
}

// maxMessageItems is the maximum number of items in one message.
const maxMessageItems = 1000

// BuildMessage returns the message to a partner and the stamp up to which it has
// the table's updates.
func (t *Table) BuildMessage(self, incarnation, partner string, c Cursor, now time.Time) (Message, uint64) {
	i, s := t.ItemsSince(c.localStamp, partner, maxMessageItems, now)
	return Message{From: self, Incarnation: incarnation, Since: c.remoteStamp, SinceIncarnation: c.incarnation, Items: i}, s
}

// HandleMessage stores the items of a partner's message and returns the reply, and
// whether any item was new. A sender that counts in another incarnation of the
// table gets all items.
func (t *Table) HandleMessage(incarnation string, m Message, now time.Time) (Reply, bool) {
	s := m.Since
	if m.SinceIncarnation != incarnation {
		s = 0
	}
	n := t.putAll(m.Items, m.From, now)
	i, e := t.ItemsSince(s, m.From, maxMessageItems, now)
	return Reply{Incarnation: incarnation, Stamp: e, Items: i}, n
}

// HandleReply stores the items of a partner's reply and returns the new cursor, and
// whether any item was new. sent is the stamp up to which the message had the
// table's updates. If the partner has restarted, all items are sent again.
func (t *Table) HandleReply(partner string, c Cursor, sent uint64, r Reply, now time.Time) (Cursor, bool) {
	n := t.putAll(r.Items, partner, now)
	if r.Incarnation != c.incarnation && c.incarnation != "" {
		sent = 0
	}
	return Cursor{incarnation: r.Incarnation, remoteStamp: r.Stamp, localStamp: sent}, n
}

// putAll puts all items and reports whether any was new.
func (t *Table) putAll(l []Item, from string, now time.Time) bool {
	n := false
	for _, i := range l {
		n = t.Put(i, from, now) || n
	}
	return n
}
