package main

// A datagram between instances begins with one of these tags, which selects the component
// that receives it.
const (
	tagPlacement  = 'p'
	tagRelay      = 'r'
	tagTally      = 't'
	tagVerdict    = 'v'
	tagQuarantine = 'q'
	tagQuota      = 'l'
	tagUsage      = 'u'
	tagRetries    = 'b'
)

// taggedTransport sends the datagrams of one component over the shared socket, with the
// component's tag.
type taggedTransport struct {
	n   *node
	tag byte
}

// Send implements the Transport interfaces of placement, relay, quarantine and quota.
func (t taggedTransport) Send(addr string, b []byte) error {
	t.n.traffic.count(tagLabels[t.tag], directionSent, len(b))
	return t.n.socket.Send(addr, append([]byte{t.tag}, b...))
}

// receive passes a datagram to the component that its tag names, and drops it if the tag
// is unknown.
func (n *node) receive(from string, b []byte) {
	if len(b) == 0 {
		return
	}
	if d, ok := tagLabels[b[0]]; ok {
		n.traffic.count(d, directionReceived, len(b))
	}
	switch b[0] {
	case tagPlacement:
		n.placer.Receive(from, b[1:])
	case tagRelay:
		n.relay.Receive(from, b[1:])
	case tagTally:
		n.receiveTally(from, b[1:])
	case tagQuarantine:
		n.quarantine.Receive(from, b[1:])
	case tagQuota:
		n.quota.Receive(from, b[1:])
	case tagRetries:
		n.retries.Receive(from, b[1:])
	case tagUsage:
		if n.dutyWorker != nil {
			n.dutyWorker.receive(from, b[1:])
		}
	case tagVerdict:
		n.receiveVerdict(from, b[1:])
	}
}
