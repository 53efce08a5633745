package main

// Tags tell what a datagram between instances is for.
const (
	tagPlacement = 'p'
	tagRelay     = 'r'
	tagTally     = 't'
	tagVerdict   = 'v'
	tagSuspects  = 'q'
	tagQuota     = 'l'
	tagUsage     = 'u'
)

// tagged sends datagrams for one purpose over the shared socket.
type tagged struct {
	n   *node
	tag byte
}

// Send implements placement.Transport and relay.Transport.
func (t tagged) Send(addr string, b []byte) error {
	t.n.traffic.count(dutyNames[t.tag], sent, len(b))
	return t.n.socket.Send(addr, append([]byte{t.tag}, b...))
}

// receive hands a datagram to what it is for.
func (n *node) receive(from string, b []byte) {
	if len(b) == 0 {
		return
	}
	if d, ok := dutyNames[b[0]]; ok {
		n.traffic.count(d, received, len(b))
	}
	switch b[0] {
	case tagPlacement:
		n.placer.Receive(from, b[1:])
	case tagRelay:
		n.relay.Receive(from, b[1:])
	case tagTally:
		n.receiveTally(from, b[1:])
	case tagSuspects:
		n.quarantine.Receive(from, b[1:])
	case tagQuota:
		n.quota.Receive(from, b[1:])
	case tagUsage:
		if n.cloud != nil {
			n.cloud.receive(from, b[1:])
		}
	case tagVerdict:
		n.receiveVerdict(from, b[1:])
	}
}
