package peer

import "time"

// Message is one side's half of an exchange.
type Message struct {
	From        string
	Incarnation string
	// Since is the last stamp of the other side's log that the sender has,
	// and SinceIncarnation the other side's incarnation that it counts in.
	Since            uint64
	SinceIncarnation string
	// Revision is that of the configuration that the sender has in force.
	Revision uint64
	Items    []Item
}

// Reply is the other half.
type Reply struct {
	Incarnation string
	Stamp       uint64
	// Revision is that of the configuration that the answerer has in force.
	Revision uint64
	Items    []Item
}

// Heartbeat is what an instance says of itself.
type Heartbeat struct {
	Addr       string
	DataCentre string
	// Incarnation is of the control process, EntryIncarnation of the entry
	// that it last heard.
	Incarnation      string
	EntryIncarnation string
	Revision         uint64
	// EntryRevision is the revision that the entry has in force.
	EntryRevision uint64
	StoreOK       bool
	EntryOK       bool
	Stopping      bool
	// LedgerUpto is how far the entry's ledger is in the store.
	LedgerUpto uint64
	Alarms     []string
}

// Cursor is what an instance remembers of its exchanges with one partner.
type Cursor struct {
	incarnation string
	theirs      uint64
	mine        uint64
	// RetryAt is when a partner that failed is asked again.
	RetryAt time.Time
}

// maxMessage bounds the items of one message.
const maxMessage = 1000

// Ask returns the message to a partner and the stamp that it goes up to.
func (t *Table) Ask(self, incarnation, partner string, c Cursor, now time.Time) (Message, uint64) {
	i, s := t.Since(c.mine, partner, maxMessage, now)
	return Message{From: self, Incarnation: incarnation, Since: c.theirs, SinceIncarnation: c.incarnation, Items: i}, s
}

// Answer takes a partner's message in and returns the reply, and whether
// anything in it was new.
func (t *Table) Answer(incarnation string, m Message, now time.Time) (Reply, bool) {
	s := m.Since
	if m.SinceIncarnation != incarnation {
		s = 0
	}
	n := t.putAll(m.Items, m.From, now)
	i, e := t.Since(s, m.From, maxMessage, now)
	return Reply{Incarnation: incarnation, Stamp: e, Items: i}, n
}

// Learn takes a partner's reply in. sent is the stamp that the message went
// up to.
func (t *Table) Learn(partner string, c Cursor, sent uint64, r Reply, now time.Time) (Cursor, bool) {
	n := t.putAll(r.Items, partner, now)
	if r.Incarnation != c.incarnation && c.incarnation != "" {
		sent = 0
	}
	return Cursor{incarnation: r.Incarnation, theirs: r.Stamp, mine: sent}, n
}

func (t *Table) putAll(l []Item, from string, now time.Time) bool {
	n := false
	for _, i := range l {
		n = t.Put(i, from, now) || n
	}
	return n
}
