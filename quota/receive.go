package quota

// Receive handles a datagram; from is the address for the answer.
func (n *Node) Receive(from string, b []byte) {
	m, err := decode(b)
	if err != nil {
		n.Log("datagram_unreadable", "from", from, "error", err)
		return
	}
	now := n.Clock()
	n.mu.Lock()
	if m.From != "" {
		n.lastReceived[m.From] = now
	}
	n.mu.Unlock()
	switch {
	case m.Request != nil:
		w, _ := n.decide(m.Request.request(), m.Request.records(now), m.Request.rejections(now))
		if w.IsOwner {
			w.Records = n.wireRecords(m.Request.replicas(), now)
		}
		_ = n.Net.Send(from, encode(message{From: n.Self, QuestionID: m.QuestionID, Answer: &w}))
	case m.Answer != nil:
		n.deliver(from, m)
	case m.Rejected != nil:
		n.countRejection(m.QuestionID, *m.Rejected)
	case m.Ended != nil:
		n.countEnd(*m.Ended)
	case m.Returned != nil:
		n.returnPermit(m.Returned.Service, m.Returned.Replica)
	case m.Service != "":
		n.handleAnnouncement(from, m)
	default:
		n.mergeRecords(m.Records)
		n.mergeRejections(m.Rejections)
		if !m.Relayed && len(m.Records)+len(m.Rejections) > 0 {
			n.relayToFollowers(m)
		}
	}
}

// deliver hands an answer to the goroutine that waits for it. A permit that arrives too late is
// returned to the owner.
func (n *Node) deliver(from string, m message) {
	if n.pending.Deliver(m.QuestionID, *m.Answer) || m.Answer.Index < 0 || m.Answer.Granted == nil {
		return
	}
	_ = n.Net.Send(from, encode(message{From: n.Self, Returned: m.Answer.Granted}))
}

// handleAnnouncement records that the sender owns the service, if it does, and replies so that the
// sender knows that its datagrams arrive.
func (n *Node) handleAnnouncement(from string, m message) {
	now := n.Clock()
	if m.IsOwner {
		n.mu.Lock()
		n.service(m.Service, now).announcements[m.From] = now
		n.mu.Unlock()
	}
	_ = n.Net.Send(from, encode(message{From: n.Self}))
}

// mergeRecords merges the records of another instance.
func (n *Node) mergeRecords(l []wireRecord) {
	now := n.Clock()
	for _, w := range l {
		n.mergeRecord(w.Replica, w.record(now))
	}
}

// mergeRecord merges the record of another instance for one replica.
func (n *Node) mergeRecord(replica string, r LimitRecord) {
	if c := n.records.merge(replica, r, n.Clock()); c.LimitChanged() {
		n.logChange(c)
	}
}
