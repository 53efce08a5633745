package entry

import (
	"context"
	"time"

	"fieldvale/placement"
	"fieldvale/pool"
	"fieldvale/quota"
)

// placed is a replica that was chosen, and what is known of the choice.
type placed struct {
	replica *pool.Replica
	ticket  placement.Ticket
	// cost is the estimate of the replica's time for the prompt, in
	// milliseconds, and open says that it still counts there.
	cost float64
	open bool
	// idle says that nothing else waited there, so that the time to the
	// first event shows how fast the prompt is read.
	idle   bool
	tokens float64
	// right is the place there, if the replica is bounded.
	right quota.Ticket
	// ready is the estimate of the time to the first event, in milliseconds;
	// 0 if there is none.
	ready float64
}

// place chooses one of the replicas for the request; nil if none is left.
func (w *forwarding) place(ctx context.Context, l []*pool.Replica) *placed {
	free, bounded := w.byBound(l)
	if len(bounded) == 0 {
		return w.choose(ctx, l, l)
	}
	return w.placeBounded(ctx, l, free, bounded)
}

// choose chooses one of the replicas c; allowed are all that the release allows.
func (w *forwarding) choose(ctx context.Context, allowed, c []*pool.Replica) *placed {
	if w.q.Prompt.IsNone() {
		return w.placeHere(c, "", 1)
	}
	e := w.estimate()
	c = w.candidates(c)
	if len(c) == 0 {
		return nil
	}
	if p, ok := w.placeByFleet(ctx, allowed, c, e); ok {
		return p
	}
	return w.placeHere(c, e.key, e.own)
}

// candidates are the replicas that may be chosen now.
func (w *forwarding) candidates(l []*pool.Replica) []*pool.Replica {
	if len(l) == 0 {
		return nil
	}
	return w.r.backends.candidates(l, w.tried, w.r.clock())
}

// placeByFleet chooses a replica with the knowledge of the fleet; it fails if that can't be
// had. allowed are all replicas that the release allows.
func (w *forwarding) placeByFleet(ctx context.Context, allowed, c []*pool.Replica, e estimate) (p *placed, ok bool) {
	if w.r.placer == nil {
		return nil, false
	}
	now := w.r.clock()
	g, c := w.group(e.key, allowed, c)
	x, t, ok := w.r.placer.Choose(ctx, g, w.ask(e, c))
	if !ok {
		return nil, false
	}
	p = &placed{
		replica: c[x.Index], ticket: t, cost: x.PrefillMs, open: true,
		idle: x.WaitMs < 1, tokens: x.PrefillMs / e.speed, ready: x.WaitMs + x.PrefillMs,
	}
	w.r.backends.put(p.replica, p.cost, now)
	return p, true
}

// ask returns the question which of the replicas the prompt should go to.
func (w *forwarding) ask(e estimate, c []*pool.Replica) placement.Request {
	return placement.Request{
		Replicas: ids(c), RemoteBits: w.r.far(c), RemotePenaltyMs: w.away(),
		UnsharedMs: max(1, e.own), SharedPrefix: e.shared, SlotMs: w.r.holds.ExpectedMs(w.holdKey()),
		TimeLeftMs: w.within(),
	}
}

// within is the time left to the route's target, in milliseconds, and at least
// one where there is a target; 0 where there is none.
func (w *forwarding) within() float64 {
	if w.q.Route.Target <= 0 {
		return 0
	}
	left := w.q.ArrivedAt.Add(w.q.Route.Target).Sub(w.r.clock())
	return max(1, left.Seconds()*1000)
}

// placeHere chooses by this instance's own work.
func (w *forwarding) placeHere(l []*pool.Replica, key string, cost float64) *placed {
	q := local{affinity: key, cost: cost, away: w.away(), dataCentre: w.r.dataCentre}
	b := w.r.backends.takeOpaque(l, q, w.tried, w.r.clock())
	if b == nil {
		return nil
	}
	return &placed{replica: b, cost: cost, open: true}
}

// read notes that the replica has read the prompt.
func (w *forwarding) read(p *placed, sent time.Time) {
	if p.idle && p.tokens > 0 {
		w.r.speeds.Observe(w.speedKey(), w.r.clock().Sub(sent), p.tokens)
	}
	w.r.delays.Observe(w.f.Service, p.ready, w.r.clock().Sub(sent))
	if w.closes(p) {
		w.r.placer.Read(p.ticket)
	}
}

// unplace takes a prompt that came to nothing off its replica's pending work.
func (w *forwarding) unplace(p *placed, why placement.Fault) {
	if w.closes(p) {
		w.r.placer.Lost(p.ticket, why)
	}
}

// closes takes the prompt off its replica's pending work, once, and reports
// whether a keeper is to be told.
func (w *forwarding) closes(p *placed) bool {
	if !p.open {
		return false
	}
	p.open = false
	w.r.backends.read(p.replica.ID, p.cost)
	return w.r.placer != nil
}
