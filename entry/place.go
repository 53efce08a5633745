package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"fieldvale/placement"
	"fieldvale/pool"
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
	// ready is the estimate of the time to the first event, in milliseconds;
	// 0 if there is none.
	ready float64
}

// maxCandidates bounds the replicas among which a keeper chooses.
const maxCandidates = 12

// place chooses one of the replicas for the request; nil if none is left.
func (w *forwarding) place(ctx context.Context, l []*pool.Replica) *placed {
	now := w.r.clock()
	if w.q.Prompt.IsNone() {
		return w.placeHere(l, "", 1)
	}
	key := w.partsKey()
	speed := w.r.speeds.of(w.speedKey(), max(0, w.model))
	own := float64(w.q.Prompt.In-w.q.Prompt.SharedTokens()) * speed
	shared := float64(w.q.Prompt.SharedTokens()) * speed
	c := w.r.backends.candidates(l, w.tried, now)
	if len(c) == 0 {
		return nil
	}
	if w.r.placer == nil {
		return w.placeHere(l, key, own)
	}
	g, c := w.group(key, c)
	a := placement.Ask{Key: key, Replicas: ids(c), Read: max(1, own), Shared: shared}
	x, t, ok := w.r.placer.Choose(ctx, g, a)
	if !ok {
		return w.placeHere(l, key, own)
	}
	p := &placed{replica: c[x.Index], ticket: t, cost: x.Cost, open: true, idle: x.Wait < 1, tokens: x.Cost / speed, ready: x.Wait + x.Cost}
	w.r.backends.put(p.replica, p.cost, now)
	return p
}

// placeHere chooses by this instance's own work.
func (w *forwarding) placeHere(l []*pool.Replica, key string, cost float64) *placed {
	b := w.r.backends.takeOpaque(l, key, w.tried, cost, w.r.clock())
	if b == nil {
		return nil
	}
	return &placed{replica: b, cost: cost, open: true}
}

// partsKey names what the request would find kept: parts are kept by model.
func (w *forwarding) partsKey() string {
	k := w.q.Prompt.SharedKey()
	if k == "" {
		return ""
	}
	return w.modelName() + "/" + k
}

// group returns the group of replicas that the key belongs to and its best
// candidates, the key's preferred replicas first.
func (w *forwarding) group(key string, c []*pool.Replica) (string, []*pool.Replica) {
	if key == "" {
		key = w.q.ID
	}
	n := placement.Groups(len(w.r.view.Get().byService[w.f.Service]))
	g := xxhash.Sum64String(key) % uint64(n)
	if n > 1 {
		if in := inGroup(c, g, uint64(n)); len(in) > 0 {
			c = in
		}
	}
	c = pool.Prefer(key, c)
	return w.f.Service + "/" + strconv.FormatUint(g, 10), c[:min(len(c), maxCandidates)]
}

// inGroup returns the replicas of the group.
func inGroup(c []*pool.Replica, g, n uint64) []*pool.Replica {
	var l []*pool.Replica
	for _, r := range c {
		if xxhash.Sum64String(r.ID)%n == g {
			l = append(l, r)
		}
	}
	return l
}

func ids(c []*pool.Replica) []string {
	l := make([]string, len(c))
	for i, r := range c {
		l[i] = r.ID
	}
	return l
}

// read notes that the replica has read the prompt.
func (w *forwarding) read(p *placed, sent time.Time) {
	if p.idle && p.tokens > 0 {
		w.r.speeds.saw(w.speedKey(), w.r.clock().Sub(sent), p.tokens)
	}
	w.r.delays.saw(w.f.Service, p.ready, w.r.clock().Sub(sent))
	w.unplace(p)
}

// unplace takes the prompt off its replica's pending work.
func (w *forwarding) unplace(p *placed) {
	if !p.open {
		return
	}
	p.open = false
	w.r.backends.read(p.replica.ID, p.cost)
	if w.r.placer != nil {
		w.r.placer.Read(p.ticket)
	}
}

// speedKey names what reads at one speed.
func (w *forwarding) speedKey() string { return w.f.Service + "/" + w.modelName() }
