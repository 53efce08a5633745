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
	// ownerCount is how many instances keep the record of a content. With two, one may be killed,
	// partitioned or frozen.
	ownerCount = 2
	// defaultAnswerTimeout bounds the wait for an owner's answer: several times the round trip
	// between data centres of a region and the owner's work. Only requests whose content was at a
	// replica when it crashed wait for it.
	defaultAnswerTimeout = 25 * time.Millisecond
	// askAttempts is how often an owner is asked: with three datagrams in ten lost, half of all
	// questions get no answer.
	askAttempts = 2
	// avoidFor is how long an owner that sent no answer is skipped.
	avoidFor = time.Second
	// maxRecordsPerMessage bounds the records in one datagram, at some 200 bytes each.
	maxRecordsPerMessage = 32
)

// Transport sends datagrams to other instances. Datagrams may be lost.
type Transport interface {
	Send(addr string, b []byte) error
}

// Config holds a node's identity, dependencies and settings.
type Config struct {
	// Self is the id of this instance.
	Self  string
	Net   Transport
	Clock func() time.Time
	// Followers returns the addresses of the unregistered instances to which this instance relays
	// the records that it receives. It may be nil.
	Followers func() []string
	// OnHeld is called for each content that this instance holds and that is to be written to the
	// store. It must not block, and may be nil.
	OnHeld func(Entry)
	// OnReleased is called for each content that is in the store but no longer held. It must not
	// block, and may be nil.
	OnReleased func(Fingerprint)
	Log        func(event string, fields ...any)
	// AnswerTimeout bounds the wait for an owner's answer; 0 selects defaultAnswerTimeout.
	AnswerTimeout time.Duration
	// Wait returns at the given time of Clock, or when ctx ends; nil selects a timer.
	Wait func(ctx context.Context, until time.Time)
}

// Node is one instance's part of the quarantine. It asks the owners of records, and owns records
// itself.
type Node struct {
	Config
	records   *RecordTable
	survivals *survivals
	pending   *reply.Pending[wireAnswer]

	mu         sync.Mutex
	members    []peer.Member
	avoid      map[string]time.Time
	broadcasts broadcasts
	// stored are the contents that are in the store.
	stored map[Fingerprint]bool
	// removed maps contents that were removed from the store to the time of the removal.
	removed map[Fingerprint]time.Time
	// nextStoreSync is the time of the next comparison with the store. Only Tick uses it.
	nextStoreSync time.Time
	// nextSurvivalReport is when survivals of parts with crashes are next reported. Only Tick uses it.
	nextSurvivalReport time.Time
}

// NewNode returns a node without records or members. start is the first question id; it must differ
// from run to run, so that late answers to an earlier run match no question.
func NewNode(start uint64, cfg Config) *Node {
	if cfg.AnswerTimeout == 0 {
		cfg.AnswerTimeout = defaultAnswerTimeout
	}
	n := &Node{Config: cfg, records: NewRecordTable(), survivals: newSurvivals(), pending: reply.New[wireAnswer](start), avoid: map[string]time.Time{}, broadcasts: broadcasts{}, stored: map[Fingerprint]bool{}, removed: map[Fingerprint]time.Time{}}
	if n.Wait == nil {
		n.Wait = n.waitUntil
	}
	return n
}

// SetMembers replaces the list of registered members.
func (n *Node) SetMembers(m []peer.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = m
}

// Verdict is the answer to the question whether a request may be sent.
type Verdict struct {
	Decision Decision
	Record   Record
	// RetryAt is when to ask again; zero if the request may be sent.
	RetryAt time.Time
	// Owner is the instance that decided.
	Owner string
	// Subject is the content or part that the decision is about.
	Subject Fingerprint
	// Trials are the contents and parts for which the request is a trial.
	Trials []Fingerprint
}

// IsAllowed reports whether the request may be sent.
func (v Verdict) IsAllowed() bool { return v.Decision == Allow || v.Decision == AllowTrial }

// IsEmpty reports whether there are no records, so that all requests may be sent.
func (n *Node) IsEmpty() bool { return n.records.Len() == 0 }

// Check decides whether a request with the content may be sent now. A content without a record may be
// sent; for others an owner is asked. If no owner answers, this instance decides by its own record.
func (n *Node) Check(ctx context.Context, f Fingerprint) Verdict {
	if n.records.Get(f).Score == 0 {
		return Verdict{Decision: Allow}
	}
	return n.ask(ctx, f, nil)
}

// ask has an owner decide whether a request that carries the subject f, and the given ones, may be
// sent now.
func (n *Node) ask(ctx context.Context, f Fingerprint, carried []Fingerprint) Verdict {
	for _, o := range n.owners(f) {
		if o.ID == n.Self {
			break
		}
		if n.isAvoided(o.ID) {
			continue
		}
		if a, ok := n.askOwner(ctx, o, f, carried); ok {
			return n.verdict(f, a.Decision, a.Record.record(n.Clock()), o.ID)
		}
		n.markSilent(o)
	}
	r, d := n.records.Check(f, carried, n.Clock())
	return n.verdict(f, d, r, n.Self)
}

// verdict returns the verdict for a decision of the owner.
func (n *Node) verdict(f Fingerprint, d Decision, r Record, owner string) Verdict {
	v := Verdict{Decision: d, Record: r, Owner: owner, Subject: f}
	switch d {
	case AllowTrial:
		v.Trials = []Fingerprint{f}
	case Held:
		v.RetryAt = r.HeldUntil()
	case Wait:
		v.RetryAt = r.TrialUntil
	}
	return v
}

// askOwner asks an owner whether a request may be sent; false if it sends no answer.
func (n *Node) askOwner(ctx context.Context, o peer.Member, f Fingerprint, carried []Fingerprint) (wireAnswer, bool) {
	for range askAttempts {
		a, ok := n.pending.Call(ctx, n.AnswerTimeout, func(id uint64) error {
			return n.Net.Send(o.Addr, encode(message{QuestionID: id, Query: f.String(), Carried: fingerprintStrings(carried)}))
		})
		if ok {
			return a, true
		}
	}
	return wireAnswer{}, false
}

// ReportAttempt records the result of an attempt, here and at the owners of the content.
func (n *Node) ReportAttempt(f Fingerprint, e AttemptResult) {
	e.ReportedBy = n.Self
	n.addResult(f, e)
	m := encode(message{Attempt: newWireAttempt(f, e, n.Clock()), From: n.Self})
	for _, o := range n.owners(f) {
		if o.ID != n.Self {
			// If this datagram is lost, the other owner still has the result.
			_ = n.Net.Send(o.Addr, m)
		}
	}
}

// addResult records the result of an attempt, and schedules a broadcast of the record if this
// instance owns it and the content is or was suspect.
func (n *Node) addResult(f Fingerprint, e AttemptResult) {
	now := n.Clock()
	c := n.records.AddResult(f, e, now)
	if !n.isOwner(f) {
		return
	}
	if c.Record.isCollecting(now) && !c.wasCollecting {
		n.collectSurvivals(f, c.Record, now)
	}
	if c.Before == Allow && c.After == Allow {
		return
	}
	n.mu.Lock()
	n.broadcasts[f] = broadcast{nextAt: now}
	n.mu.Unlock()
	n.logChange(c)
}

// collectSurvivals sends the record of a part that is about to become suspect to all instances, which
// report survivals.
func (n *Node) collectSurvivals(f Fingerprint, r Record, now time.Time) {
	n.mu.Lock()
	m := n.members
	// The record is sent again once the part is suspect.
	n.broadcasts[f] = broadcast{nextAt: r.SuspectFrom}
	n.mu.Unlock()
	n.reportSurvivals(f, r)
	n.sendAll(m, []wireEntry{{f.String(), newWireRecord(r, now)}})
}

// logChange logs that a content became suspect or held, or ceased to be suspect.
func (n *Node) logChange(c Change) {
	event := ""
	switch {
	case c.After == Held && c.Before != Held:
		event = "request_held"
	case c.After != Allow && c.Before == Allow:
		event = "request_suspected"
	case c.After == Allow && c.Before != Allow:
		event = "request_cleared"
	default:
		return
	}
	r := c.Record
	n.Log(event, "content", c.Fingerprint, "part", r.Label, "score", r.Score, "replicas", r.Replicas, "trials_ended", r.TrialCrashes, "trials_open", r.TrialsWithoutResult, "told_by", r.ReportedBy)
}

// Receive handles a datagram; from is the address for the answer.
func (n *Node) Receive(from string, b []byte) {
	m, err := decode(b)
	if err == nil {
		err = n.receive(from, m)
	}
	if err != nil {
		n.Log("datagram_unreadable", "from", from, "error", err)
	}
}

// receive handles a decoded datagram; an error means that it contains an invalid fingerprint.
func (n *Node) receive(from string, m message) error {
	switch {
	case m.Attempt != nil:
		f, err := ParseFingerprint(m.Attempt.Fingerprint)
		if err != nil {
			return err
		}
		n.addResult(f, m.Attempt.result(m.From, n.Clock()))
	case m.Query != "":
		f, err := ParseFingerprint(m.Query)
		if err != nil {
			return err
		}
		now := n.Clock()
		r, d := n.records.Check(f, parseFingerprints(m.Carried), now)
		_ = n.Net.Send(from, encode(message{QuestionID: m.QuestionID, Answer: &wireAnswer{Decision: d, Record: newWireRecord(r, now)}}))
	case m.Answer != nil:
		n.pending.Deliver(m.QuestionID, *m.Answer)
	default:
		return n.receiveRecords(m)
	}
	return nil
}

// receiveRecords merges records that another instance sent, and relays them to followers.
func (n *Node) receiveRecords(m message) error {
	now := n.Clock()
	for _, e := range m.Records {
		f, err := ParseFingerprint(e.Fingerprint)
		if err != nil {
			return err
		}
		r := e.Record.record(now)
		n.mergeRecord(f, r, m.From, now)
		if r.Kind == KindPart && r.Score >= clearScore {
			n.reportSurvivals(f, r)
		}
	}
	if !m.Relayed {
		n.relayToFollowers(m)
	}
	return nil
}

// mergeRecord merges a record that another instance sent. A record from the content's first owner
// replaces the local one. From other senders only crashes that are missing in the local record are
// added.
func (n *Node) mergeRecord(f Fingerprint, r Record, from string, now time.Time) {
	if n.isRemoved(f, r) {
		return
	}
	o := n.owners(f)
	local := n.records.Get(f)
	isStronger := r.Kind == KindPart && r.Score > local.Score
	if local.Score == 0 || isStronger || len(o) > 0 && o[0].ID == from {
		n.logChange(n.records.Put(f, r, now))
		return
	}
	if r.Kind == KindPart {
		return
	}
	if len(local.Replicas) >= int(maxScore) {
		// More crashes don't raise the score, and the received ones may be older than those in the
		// record.
		return
	}
	for _, x := range r.Replicas {
		if !slices.Contains(local.Replicas, x) {
			n.addResult(f, AttemptResult{Outcome: ReplicaCrashed, Replica: x, ReportedBy: r.ReportedBy})
		}
	}
}

// rank returns the rank of a member for a content; the highest ranks are the owners.
func rank(f Fingerprint, m peer.Member) uint64 {
	return mix(binary.LittleEndian.Uint64(f[:]) ^ xxhash.Sum64String(m.ID))
}

// mix spreads the bits of x, like the final step of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// owners returns the members that own the content's record, the first owner first.
func (n *Node) owners(f Fingerprint) []peer.Member {
	n.mu.Lock()
	m := n.members
	n.mu.Unlock()
	l := make([]peer.Member, 0, ownerCount+1)
	for _, x := range m {
		i := 0
		for i < len(l) && rank(f, l[i]) > rank(f, x) {
			i++
		}
		if i < ownerCount {
			l = slices.Insert(l, i, x)
			l = l[:min(len(l), ownerCount)]
		}
	}
	return l
}

// isOwner reports whether this instance owns the content's record. Without members, every instance
// does.
func (n *Node) isOwner(f Fingerprint) bool {
	l := n.owners(f)
	return len(l) == 0 || slices.ContainsFunc(l, func(m peer.Member) bool { return m.ID == n.Self })
}

// isAvoided reports whether the instance sent no answer recently and is not asked.
func (n *Node) isAvoided(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Clock().Before(n.avoid[id])
}

// markSilent skips an owner that sent no answer for avoidFor.
func (n *Node) markSilent(o peer.Member) {
	n.mu.Lock()
	n.avoid[o.ID] = n.Clock().Add(avoidFor)
	n.mu.Unlock()
	n.Log("keeper_silent", "keeper", o.ID, "addr", o.Addr, "avoided", avoidFor, "asked", "quarantine")
}
