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

// estimate is what the request's prompt takes to read, in milliseconds.
type estimate struct {
	// key names the shared part; empty for none.
	key string
	// own is the time for what nobody shares, shared for the rest.
	own    float64
	shared float64
	// speed is the time for a token.
	speed float64
}

// estimate returns the prompt's times at the model's speed.
func (w *forwarding) estimate() estimate {
	p := w.q.Prompt
	s := w.r.speeds.of(w.speedKey(), max(0, w.model))
	return estimate{key: w.partsKey(), own: float64(p.In-p.SharedTokens()) * s, shared: float64(p.SharedTokens()) * s, speed: s}
}

// place chooses one of the replicas for the request; nil if none is left.
func (w *forwarding) place(ctx context.Context, l []*pool.Replica) *placed {
	if w.q.Prompt.IsNone() {
		return w.placeHere(l, "", 1)
	}
	e := w.estimate()
	c := w.r.backends.candidates(l, w.tried, w.r.clock())
	if len(c) == 0 {
		return nil
	}
	if p := w.placeByFleet(ctx, c, e); p != nil {
		return p
	}
	return w.placeHere(l, e.key, e.own)
}

// placeByFleet chooses with the knowledge of the fleet; nil if that can't be
// had.
func (w *forwarding) placeByFleet(ctx context.Context, c []*pool.Replica, e estimate) *placed {
	if w.r.placer == nil {
		return nil
	}
	now := w.r.clock()
	g, c := w.group(e.key, c)
	x, t, ok := w.r.placer.Choose(ctx, g, placement.Ask{Key: e.key, Replicas: ids(c), Read: max(1, e.own), Shared: e.shared, Hold: w.r.holds.of(w.holdKey()), Slots: slots(c), Far: w.r.far(c)})
	if !ok {
		return nil
	}
	p := &placed{
		replica: c[x.Index], ticket: t, cost: x.Cost, open: true,
		idle: x.Wait < 1, tokens: x.Cost / e.speed, ready: x.Wait + x.Cost,
	}
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

func slots(c []*pool.Replica) []int {
	l := make([]int, len(c))
	for i, r := range c {
		l[i] = r.Slots
	}
	return l
}

// far returns the bits of the replicas in other data centres.
func (r *Router) far(c []*pool.Replica) uint64 {
	var m uint64
	for i, x := range c {
		if x.DataCentre != r.dataCentre {
			m |= 1 << i
		}
	}
	return m
}

// holdKey names what holds its slot for one time on average.
func (w *forwarding) holdKey() string { return w.q.Route.Name + "/" + w.modelName() }

// read notes that the replica has read the prompt.
func (w *forwarding) read(p *placed, sent time.Time) {
	if p.idle && p.tokens > 0 {
		w.r.speeds.saw(w.speedKey(), w.r.clock().Sub(sent), p.tokens)
	}
	w.r.delays.saw(w.f.Service, p.ready, w.r.clock().Sub(sent))
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

// speedKey names what reads at one speed.
func (w *forwarding) speedKey() string { return w.f.Service + "/" + w.modelName() }
