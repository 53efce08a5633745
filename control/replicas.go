package control

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"fieldvale/adapter/platform"
	"fieldvale/peer"
	"fieldvale/pool"
	"fieldvale/version"
)

// loadsAtOnce bounds the load questions that are under way together.
const loadsAtOnce = 8

// subset is how many engines an instance knows the load of; each instance
// uses its own subset, so that no replica is asked by the whole fleet.
const subset = 24

// readList takes in the platform's list.
func (n *Node) readList(ctx context.Context) {
	x, cancel := n.call(ctx)
	defer cancel()
	l, err := n.Platform.Instances(x)
	if err != nil {
		n.log("list_unreachable", "error", err)
		return
	}
	n.mu.Lock()
	news := n.takeList(l)
	n.listRead = true
	n.mu.Unlock()
	if news {
		n.hurry()
		n.readLoads(ctx)
	}
}

// takeList reports whether the list has backend servers that were not known:
// what they have loaded is asked at once.
func (n *Node) takeList(l platform.List) (news bool) {
	t := n.Clock()
	n.listed = l.Members
	r := map[string]pool.Replica{}
	for _, x := range n.mine(l.Replicas) {
		o, ok := n.replicas[x.ID]
		news = news || !ok
		if ok {
			x.Versions, x.Load = o.Versions, o.Load
			x.Draining = x.Draining || o.Draining
		}
		if x.Draining {
			n.tellLeaving(x.ID, t)
		}
		if _, gone := n.table.Get(peer.Key{Kind: peer.Leaving, Name: x.ID}, t); gone {
			x.Draining = true
		}
		r[x.ID] = x
	}
	n.replicas = r
	n.view++
	return news
}

// mine returns the part of the replicas that this instance works with: all
// plain services, and of the engines a subset that differs by instance.
func (n *Node) mine(l []pool.Replica) []pool.Replica {
	var e []peer.Member
	by := map[string]pool.Replica{}
	var r []pool.Replica
	for _, x := range l {
		if x.Kind != pool.Engine {
			r = append(r, x)
			continue
		}
		e = append(e, peer.Member{ID: x.ID})
		by[x.ID] = x
	}
	if len(e) > subset {
		e = peer.Rank("subset/"+n.Self.ID, e)[:subset]
	}
	for _, m := range e {
		r = append(r, by[m.ID])
	}
	return r
}

// readLoads asks the backend servers for their load.
func (n *Node) readLoads(ctx context.Context) {
	n.mu.Lock()
	had := n.listRead
	n.mu.Unlock()
	g, x := errgroup.WithContext(ctx)
	g.SetLimit(loadsAtOnce)
	for _, r := range n.Replicas() {
		g.Go(func() error {
			n.readLoad(x, r)
			return nil
		})
	}
	_ = g.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loadsRead = n.loadsRead || had
}

func (n *Node) readLoad(ctx context.Context, r pool.Replica) {
	x, cancel := n.call(ctx)
	defer cancel()
	p, err := n.Platform.Load(x, r)
	if err != nil {
		n.log("load_unknown", "replica", r.ID, "error", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	o, ok := n.replicas[r.ID]
	if !ok {
		return
	}
	t := n.Clock()
	if p.Leaving && !o.Draining {
		o = o.WithDraining()
		n.tellLeaving(r.ID, t)
		n.hurry()
	}
	o.Versions = p.Versions
	if p.Slots > 0 {
		o.Slots = p.Slots
	}
	n.replicas[r.ID] = o.WithLoad(pool.Load{Running: p.Running, Waiting: p.Waiting, ReportedAt: t, Local: n.local[r.ID]})
	n.view++
}

// Replicas returns the backend servers known, sorted by id.
func (n *Node) Replicas() []pool.Replica {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sortedReplicas()
}

func (n *Node) sortedReplicas() []pool.Replica {
	r := make([]pool.Replica, 0, len(n.replicas))
	for _, x := range n.replicas {
		r = append(r, x)
	}
	slices.SortFunc(r, func(a, b pool.Replica) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return r
}

// ordersPerReplica is how many instances give a replica the same order.
const ordersPerReplica = 2

// orderUnloads orders engines to drop withdrawn versions that they still have
// loaded, so that an instance which does not know of the withdrawal is told
// by the engine. The configuration's revision is the fence.
func (n *Node) orderUnloads(ctx context.Context) {
	d, _ := n.Document()
	var w []version.ID
	for _, t := range d.Teams() {
		w = append(w, d.Parts[t].Withdrawn...)
	}
	if len(w) == 0 {
		return
	}
	m := n.Members()
	for _, r := range n.Replicas() {
		i := peer.Position("order/"+r.ID, n.Self.ID, m)
		if i < 0 || i >= ordersPerReplica {
			continue
		}
		for _, v := range w {
			if slices.Contains(r.Versions, v) {
				n.unload(ctx, r, v, d.Revision)
			}
		}
	}
}

func (n *Node) unload(ctx context.Context, r pool.Replica, v version.ID, fence uint64) {
	x, cancel := n.call(ctx)
	defer cancel()
	if err := n.Platform.Unload(x, r, v, fence); err != nil {
		n.log("order_failed", "order", "unload", "replica", r.ID, "version", v, "error", err)
		return
	}
	n.log("order_given", "order", "unload", "replica", r.ID, "version", v, "fence", fence)
}
