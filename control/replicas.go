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

// maxConcurrentLoads bounds the concurrent load queries.
const maxConcurrentLoads = 8

// engineSubsetSize is the maximum number of engine replicas that an instance uses.
// Each instance uses a subset of its own, so that no replica gets load queries from
// all instances.
const engineSubsetSize = 24

// readList reads the platform's list of instances and replicas. If it has new
// replicas, their load is read at once.
func (n *Node) readList(ctx context.Context) {
	x, cancel := n.call(ctx)
	defer cancel()
	l, err := n.Platform.Instances(x)
	if err != nil {
		n.log("list_unreachable", "error", err)
		return
	}
	if len(l.Invalid) > 0 {
		n.log("list_entries_invalid", "entries", len(l.Invalid), "first", l.Invalid[0])
	}
	n.mu.Lock()
	added := n.updateReplicas(l)
	n.listRead = true
	n.mu.Unlock()
	if added {
		n.triggerExchange()
		n.readLoads(ctx)
	}
}

// updateReplicas replaces the node's replicas by those of the list that it uses,
// keeping their last versions and load. It reports whether any replica is new.
func (n *Node) updateReplicas(l platform.InstanceList) (added bool) {
	t := n.Clock()
	n.registered = l.Members
	r := map[string]pool.Replica{}
	for _, x := range n.assignedReplicas(l.Replicas) {
		o, ok := n.replicas[x.ID]
		added = added || !ok
		if ok {
			x.Versions, x.Load = o.Versions, o.Load
			x.Draining = x.Draining || o.Draining
		}
		if x.Draining {
			n.publishDraining(x.ID, t)
		}
		if _, draining := n.table.Get(peer.Key{Kind: peer.Draining, Name: x.ID}, t); draining {
			x.Draining = true
		}
		r[x.ID] = x
	}
	n.replicas = r
	n.view++
	return added
}

// assignedReplicas returns the replicas that this instance uses: those of all plain
// services, and a subset of the engines that differs by instance.
func (n *Node) assignedReplicas(l []pool.Replica) []pool.Replica {
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
	if len(e) > engineSubsetSize {
		e = peer.Rank("subset/"+n.Self.ID, e)[:engineSubsetSize]
	}
	for _, m := range e {
		r = append(r, by[m.ID])
	}
	return r
}

// readLoads queries the load of all replicas in use.
func (n *Node) readLoads(ctx context.Context) {
	n.mu.Lock()
	listWasRead := n.listRead
	n.mu.Unlock()
	g, x := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentLoads)
	for _, r := range n.Replicas() {
		g.Go(func() error {
			n.readLoad(x, r)
			return nil
		})
	}
	_ = g.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loadsRead = n.loadsRead || listWasRead
}

// readLoad queries the replica's load, versions and whether it is draining, and
// updates the node's replica.
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
	if p.Draining && !o.Draining {
		o = o.WithDraining()
		n.publishDraining(r.ID, t)
		n.triggerExchange()
	}
	o.Versions = p.Versions
	if p.Slots > 0 {
		o.Slots = p.Slots
	}
	n.replicas[r.ID] = o.WithLoad(pool.Load{Running: p.Running, Waiting: p.Waiting, ReportedAt: t, Local: n.local[r.ID]})
	n.view++
}

// Replicas returns the replicas in use, sorted by id.
func (n *Node) Replicas() []pool.Replica {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sortedReplicas()
}

// sortedReplicas is Replicas for callers that hold the mutex.
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

// unloadersPerReplica is how many instances send a replica the same unload order.
const unloadersPerReplica = 2

// orderUnloads orders engines to unload withdrawn versions that they still have
// loaded, so that the engine refuses requests from an instance that has not received
// the withdrawal. The configuration's revision is the fencing token.
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
		if i < 0 || i >= unloadersPerReplica {
			continue
		}
		for _, v := range w {
			if slices.Contains(r.Versions, v) {
				n.unload(ctx, r, v, d.Revision)
			}
		}
	}
}

// unload sends the replica the order to unload the version.
func (n *Node) unload(ctx context.Context, r pool.Replica, v version.ID, fence uint64) {
	x, cancel := n.call(ctx)
	defer cancel()
	if err := n.Platform.Unload(x, r, v, fence); err != nil {
		n.log("order_failed", "order", "unload", "replica", r.ID, "version", v, "error", err)
		return
	}
	n.log("order_given", "order", "unload", "replica", r.ID, "version", v, "fence", fence)
}
