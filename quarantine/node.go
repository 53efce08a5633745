package quarantine

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fieldvale/peer"
	"fieldvale/reply"
)

const (
	// keepers is how many instances hold a content's record: one may be killed, cut off
	// or frozen.
	keepers = 2
	// usualAnswer bounds the wait for a keeper's answer: the round trip between data
	// centres of a region and its work, several times over. Only contents that were at a
	// replica as it ended wait for it.
	usualAnswer = 25 * time.Millisecond
	// askTries is how often a keeper is asked: with three datagrams in ten lost, half of
	// all questions have no answer.
	askTries = 2
	// avoidFor is how long a keeper that gave no answer is passed over.
	avoidFor = time.Second
	// perMessage bounds the records of one datagram: some 200 bytes each.
	perMessage = 32
)

// Transport sends datagrams to other instances. One may be lost.
type Transport interface {
	Send(addr string, b []byte) error
}

// Config are what a node works through.
type Config struct {
	// Self is this instance's id.
	Self  string
	Net   Transport
	Clock func() time.Time
	// Followers returns the addresses of the instances on no list that this one tells
	// what it hears. It may be nil.
	Followers func() []string
	// OnHeld is told of contents that this instance begins to hold, to be kept in the
	// store. It must not block, and may be nil.
	OnHeld func(Entry)
	// OnReleased is told of contents that the store still holds and that are held no more. It
	// must not block, and may be nil.
	OnReleased func(Fingerprint)
	Log        func(event string, fields ...any)
	// AnswerWithin bounds the wait for a keeper's answer; 0 takes the usual one.
	AnswerWithin time.Duration
}

// Node asks keepers and is one.
type Node struct {
	Config
	book    *Book
	waiting *reply.Waiters[wireAnswer]

	mu      sync.Mutex
	members []peer.Member
	avoid   map[string]time.Time
	repeats repeats
	// kept are the contents that the store holds.
	kept map[Fingerprint]bool
	// struck are contents that were taken from it, and when.
	struck map[Fingerprint]time.Time
	// storeAt is when it is compared with what is known; it belongs to Tick.
	storeAt time.Time
}

// NewNode returns an instance that knows no other one yet. start makes its questions
// differ from those of an earlier run.
func NewNode(start uint64, p Config) *Node {
	if p.AnswerWithin == 0 {
		p.AnswerWithin = usualAnswer
	}
	return &Node{Config: p, book: NewBook(), waiting: reply.New[wireAnswer](start), avoid: map[string]time.Time{}, repeats: repeats{}, kept: map[Fingerprint]bool{}, struck: map[Fingerprint]time.Time{}}
}

// SetMembers replaces the list of the fleet's instances.
func (n *Node) SetMembers(m []peer.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = m
}

// Verdict is the answer to the question whether a request may be sent.
type Verdict struct {
	Decision Decision
	Record   Record
	// RetryAt is when to ask again; zero if it may be sent.
	RetryAt time.Time
	// Owner is who decided.
	Owner string
}

// IsAllowed reports whether the request may be sent.
func (v Verdict) IsAllowed() bool { return v.Decision == Allow || v.Decision == AllowTrial }

// IsQuiet reports whether nothing is known of any content, so that all may be sent.
func (n *Node) IsQuiet() bool { return n.book.Len() == 0 }

// Ask decides whether the request may be sent now. A content that nothing is known of
// may; for others a keeper is asked. Where none answers, this instance decides alone.
func (n *Node) Ask(ctx context.Context, f Fingerprint) Verdict {
	if n.book.Get(f).Score == 0 {
		return Verdict{Decision: Allow}
	}
	for _, k := range n.keepers(f) {
		if k.ID == n.Self {
			break
		}
		if n.isAvoided(k.ID) {
			continue
		}
		if a, ok := n.askKeeper(ctx, k, f); ok {
			return n.verdict(a.Decision, a.Record.record(n.Clock()), k.ID)
		}
		n.pass(k)
	}
	r, d := n.book.Ask(f, n.Clock())
	return n.verdict(d, r, n.Self)
}

func (n *Node) verdict(d Decision, r Record, by string) Verdict {
	v := Verdict{Decision: d, Record: r, Owner: by}
	switch d {
	case Held:
		v.RetryAt = r.HeldUntil()
	case Wait:
		v.RetryAt = r.TrialUntil
	}
	return v
}

func (n *Node) askKeeper(ctx context.Context, k peer.Member, f Fingerprint) (wireAnswer, bool) {
	for range askTries {
		a, ok := n.waiting.Ask(ctx, n.AnswerWithin, func(id uint64) error {
			return n.Net.Send(k.Addr, encode(message{Question: id, Ask: f.String()}))
		})
		if ok {
			return a, true
		}
	}
	return wireAnswer{}, false
}

// Tell counts what came of an attempt, here and at the content's keepers.
func (n *Node) Tell(f Fingerprint, e AttemptResult) {
	e.By = n.Self
	n.count(f, e)
	m := encode(message{Event: &wireEvent{Content: f.String(), What: e.Outcome, Replica: e.Replica, OnTrial: e.OnTrial}, From: n.Self})
	for _, k := range n.keepers(f) {
		if k.ID != n.Self {
			// One that is lost is lost at one of two keepers.
			_ = n.Net.Send(k.Addr, m)
		}
	}
}

// count takes an event in, and tells others if this instance keeps the content.
func (n *Node) count(f Fingerprint, e AttemptResult) {
	now := n.Clock()
	c := n.book.Tell(f, e, now)
	if !n.keeps(f) || c.Before == Allow && c.Now == Allow {
		return
	}
	n.mu.Lock()
	n.repeats[f] = repeat{at: now}
	n.mu.Unlock()
	n.logChange(c)
}

func (n *Node) logChange(c Change) {
	event := ""
	switch {
	case c.Now == Held && c.Before != Held:
		event = "request_held"
	case c.Now != Allow && c.Before == Allow:
		event = "request_suspected"
	case c.Now == Allow && c.Before != Allow:
		event = "request_cleared"
	default:
		return
	}
	r := c.Record
	n.Log(event, "content", c.Content, "score", r.Score, "replicas", r.Replicas, "trials_ended", r.TrialCrashes, "trials_open", r.TrialsWithoutResult, "told_by", r.ReportedBy)
}

// Receive takes a datagram in; from is where an answer goes.
func (n *Node) Receive(from string, b []byte) {
	m, err := decode(b)
	if err == nil {
		err = n.receive(from, m)
	}
	if err != nil {
		n.Log("datagram_unreadable", "from", from, "error", err)
	}
}

func (n *Node) receive(from string, m message) error {
	switch {
	case m.Event != nil:
		f, err := ParseFingerprint(m.Event.Content)
		if err != nil {
			return err
		}
		n.count(f, AttemptResult{Outcome: m.Event.What, Replica: m.Event.Replica, OnTrial: m.Event.OnTrial, By: m.From})
	case m.Ask != "":
		f, err := ParseFingerprint(m.Ask)
		if err != nil {
			return err
		}
		now := n.Clock()
		r, d := n.book.Ask(f, now)
		_ = n.Net.Send(from, encode(message{Question: m.Question, Answer: &wireAnswer{Decision: d, Record: newWireRecord(r, now)}}))
	case m.Answer != nil:
		n.waiting.Deliver(m.Question, *m.Answer)
	default:
		return n.hear(m)
	}
	return nil
}

// hear takes records in, and passes them on to those that are on no list.
func (n *Node) hear(m message) error {
	now := n.Clock()
	for _, e := range m.Records {
		f, err := ParseFingerprint(e.Content)
		if err != nil {
			return err
		}
		n.hearOf(f, e.Record.record(now), m.From, now)
	}
	if !m.Passed {
		n.passOn(m)
	}
	return nil
}

// hearOf takes a record in that another instance told. The content's first keeper is
// believed; of others only the ends count that are not known here.
func (n *Node) hearOf(f Fingerprint, r Record, from string, now time.Time) {
	if n.isStruck(f, r) {
		return
	}
	k := n.keepers(f)
	mine := n.book.Get(f)
	if mine.Score == 0 || len(k) > 0 && k[0].ID == from {
		n.logChange(n.book.Put(f, r, now))
		return
	}
	if len(mine.Replicas) >= int(mostCounted) {
		// More ends change nothing, and those told may be older than the ones known.
		return
	}
	for _, x := range r.Replicas {
		if !slices.Contains(mine.Replicas, x) {
			n.count(f, AttemptResult{Outcome: ReplicaCrashed, Replica: x, By: r.ReportedBy})
		}
	}
}

// rank orders a content's keepers, the highest first.
func rank(f Fingerprint, m peer.Member) uint64 {
	return mix(binary.LittleEndian.Uint64(f[:]) ^ xxhash.Sum64String(m.ID))
}

// mix spreads the bits of x, as the last step of a hash does.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// keepers returns the instances that keep the content's record, the first one first.
func (n *Node) keepers(f Fingerprint) []peer.Member {
	n.mu.Lock()
	m := n.members
	n.mu.Unlock()
	l := make([]peer.Member, 0, keepers+1)
	for _, x := range m {
		i := 0
		for i < len(l) && rank(f, l[i]) > rank(f, x) {
			i++
		}
		if i < keepers {
			l = slices.Insert(l, i, x)
			l = l[:min(len(l), keepers)]
		}
	}
	return l
}

// keeps reports whether this instance keeps the content's record, as one that knows no
// other does.
func (n *Node) keeps(f Fingerprint) bool {
	l := n.keepers(f)
	return len(l) == 0 || slices.ContainsFunc(l, func(m peer.Member) bool { return m.ID == n.Self })
}

func (n *Node) isAvoided(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Clock().Before(n.avoid[id])
}

// pass leaves a silent keeper out for some time.
func (n *Node) pass(k peer.Member) {
	n.mu.Lock()
	n.avoid[k.ID] = n.Clock().Add(avoidFor)
	n.mu.Unlock()
	n.Log("keeper_silent", "keeper", k.ID, "addr", k.Addr, "avoided", avoidFor, "asked", "quarantine")
}
