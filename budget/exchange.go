package budget

import (
	"time"

	"fieldvale/peer"
)

// Transport sends datagrams to other instances. A datagram may be lost.
type Transport interface {
	Send(addr string, b []byte) error
}

// exchange is the part of a Budget that exchanges retries with other instances. The budget's lock
// is held where its methods are called.
type exchange struct {
	// process identifies this process, and number its last message with deposits, which was sent
	// at sentAt.
	process, number uint64
	sentAt          time.Time
	nextAt          time.Time
	answered        bool
	// poolAddr is the address of the instance that keeps the pool for this one; empty for none.
	poolAddr string
	// pools are the pools that this instance keeps, by service.
	pools map[string]*pool
	// latest is the last message of each instance, so that a datagram that arrives twice counts
	// once.
	latest map[string]messageID
}

type messageID struct {
	process, number uint64
	expiresAt       time.Time
}

// SetMembers sets the registered members of the fleet, among which each instance has one that keeps
// a pool for it, in its own data centre if possible.
func (b *Budget) SetMembers(m []peer.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exchange.poolAddr = ""
	best := false
	for _, x := range peer.Rank("retry pool/"+b.config.Self.ID, m) {
		isLocal := x.DataCentre == b.config.Self.DataCentre
		if x.ID == b.config.Self.ID || b.exchange.poolAddr != "" && (best || !isLocal) {
			continue
		}
		b.exchange.poolAddr, best = x.Addr, isLocal
	}
}

// Tick sends the surplus and the needs of the accounts to the pool if that is due.
func (b *Budget) Tick() {
	if b.config.Net == nil {
		return
	}
	share := b.share()
	b.mu.Lock()
	addr, m := b.exchange.poolAddr, b.dueMessage(share)
	b.mu.Unlock()
	if len(m.Deposits) > 0 {
		b.send(addr, m)
	}
}

// dueMessage returns the message that is due, without deposits if there is none.
func (b *Budget) dueMessage(share float64) message {
	x, now := &b.exchange, b.config.Clock()
	if x.poolAddr == "" || now.Before(x.nextAt) {
		return message{}
	}
	x.nextAt = now.Add(exchangeInterval)
	m := message{From: b.config.Self.ID, Deposits: map[string]wireDeposit{}}
	for s, a := range b.accounts {
		if d := a.takeSurplus(now, share); d.Surplus > 0 || d.Wanted > 0 {
			m.Deposits[s] = wireDeposit(d)
		}
	}
	if len(m.Deposits) > 0 {
		x.number++
		x.sentAt, x.answered = now, false
		m.Process, m.Number = x.process, x.number
	}
	return m
}

// Receive handles a datagram of another instance; from is the address for an answer.
func (b *Budget) Receive(from string, datagram []byte) {
	m, err := decode(datagram)
	if err != nil {
		b.config.Log("datagram_unreadable", "from", from, "error", err)
		return
	}
	if m.Grants != nil {
		b.receiveGrants(m)
		return
	}
	if a, ok := b.answer(from, m); ok {
		b.send(from, a)
	}
}

// answer records the deposits of a message and returns the answer; ok is false if the message
// arrived before.
func (b *Budget) answer(from string, m message) (a message, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, now := &b.exchange, b.config.Clock()
	last, known := x.latest[m.From]
	if known && last.process == m.Process && last.number >= m.Number {
		return message{}, false
	}
	x.latest[m.From] = messageID{m.Process, m.Number, now.Add(reportTTL)}
	x.forgetSilent(now)
	a = message{Process: m.Process, Number: m.Number, Grants: map[string]float64{}}
	for s, w := range m.Deposits {
		d, err := depositOf(w)
		if err != nil {
			b.config.Log("retry_deposit_invalid", "from", from, "service", s, "error", err)
			continue
		}
		a.Grants[s] = b.pool(s).exchange(m.From, d, now)
	}
	return a, true
}

// forgetSilent removes the instances that sent no message lately.
func (x *exchange) forgetSilent(now time.Time) {
	for id, l := range x.latest {
		if now.After(l.expiresAt) {
			delete(x.latest, id)
		}
	}
}

// pool returns the pool of a service; b.mu is held.
func (b *Budget) pool(service string) *pool {
	p, ok := b.exchange.pools[service]
	if !ok {
		p = newPool(b.config.Limit.Ratio)
		b.exchange.pools[service] = p
	}
	return p
}

// receiveGrants adds the grants of an answer to the accounts. Answers to other messages than the
// last one, late ones and those that arrive twice are dropped.
func (b *Budget) receiveGrants(m message) {
	share := b.share()
	b.mu.Lock()
	defer b.mu.Unlock()
	x, now := &b.exchange, b.config.Clock()
	if x.answered || m.Process != x.process || m.Number != x.number || now.Sub(x.sentAt) > maxExchangeDelay {
		return
	}
	x.answered = true
	for s, g := range m.Grants {
		if a, ok := b.accounts[s]; ok && g > 0 && g <= exchangeBelow {
			a.receive(now, share, g)
		}
	}
}

// send sends a message; the exchange is tried again at the next interval if that fails.
func (b *Budget) send(addr string, m message) {
	d, err := encode(m)
	if err == nil {
		err = b.config.Net.Send(addr, d)
	}
	if err != nil {
		b.config.Log("retry_exchange_failed", "to", addr, "error", err)
	}
}
