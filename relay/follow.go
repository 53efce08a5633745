package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"fieldvale/peer"
	"fieldvale/store"
)

const (
	// shortAvoid is how long an instance is not queried after it answered without current
	// state, or did not answer one query: it may have to watch the store itself at any
	// moment.
	shortAvoid = 200 * time.Millisecond
	// maxBatchDelays bounds, in units of Timing.BatchDelay, how long an instance of the
	// later tiers waits for the second tier when the watchers are disconnected.
	maxBatchDelays = 2
	// maxConcurrentQueries is how many instances are queried at once when the first source
	// has no current state.
	maxConcurrentQueries = 8
)

// follow queries the first source, which waits for a change before it answers. If that
// source has no current state, the others are queried concurrently: one after another,
// silent ones would take longer than a change may take to be in force.
func (n *Node) follow(ctx context.Context, sources []peer.Member, after int64) (store.Changes, status) {
	n.sourceDisconnected, n.busySources = false, nil
	if len(sources) == 0 {
		return store.Changes{}, statusDisconnected
	}
	if c, ok := n.acceptResult(ctx, n.ask(ctx, query{After: after, WaitMs: n.timing.PeerWait.Milliseconds()}, sources[0], n.timing.PeerWait+answerSlack), after); ok {
		return c, statusOK
	}
	for l := range slices.Chunk(sources[1:], maxConcurrentQueries) {
		if c, ok := n.followAny(ctx, l, after, n.timing.PeerWait); ok {
			return c, statusOK
		}
	}
	return n.retryBusy(ctx, after)
}

// retryBusy queries the sources again that have newer state and whose links had no
// capacity for it: the store would not answer sooner.
func (n *Node) retryBusy(ctx context.Context, after int64) (store.Changes, status) {
	for range maxBatchDelays {
		if len(n.busySources) == 0 || !sleep(ctx, n.timing.BatchDelay/2+rand.N(n.timing.BatchDelay)) {
			break
		}
		l := n.busySources
		n.busySources = nil
		if c, ok := n.followAny(ctx, l, after, n.timing.PeerWait); ok {
			return c, statusOK
		}
	}
	return store.Changes{}, statusDisconnected
}

// followAny queries the sources concurrently for their revisions, and one that has newer
// state for its changes: the changes of all sources would fill the links.
func (n *Node) followAny(ctx context.Context, sources []peer.Member, after int64, timeout time.Duration) (store.Changes, bool) {
	queryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := n.askAll(queryCtx, sources, after, timeout)
	for range sources {
		h := <-answers
		if h.ok && h.answer.Status == statusOK && h.answer.Revision > after && len(h.answer.Items) == 0 {
			h = n.ask(queryCtx, query{After: after}, h.source, n.timing.PeerWait+answerSlack)
		}
		if c, ok := n.acceptResult(ctx, h, after); ok {
			return c, true
		}
	}
	return store.Changes{}, false
}

// acceptResult returns the changes of a query's result if the answer is usable.
func (n *Node) acceptResult(ctx context.Context, h queryResult, after int64) (store.Changes, bool) {
	m, a := h.source, h.answer
	if ctx.Err() != nil {
		return store.Changes{}, false
	}
	if !h.ok {
		n.avoidSilent(m)
		return store.Changes{}, false
	}
	n.markResponsive(m)
	switch {
	case a.Status == statusOK && n.isUsable(a):
		return n.acceptChanges(h), true
	case a.Status == statusTooLarge || a.Status == statusFetchSnapshot:
		if c, ok := n.fetchChanges(ctx, h, after); ok {
			return c, true
		}
	case a.Status == statusBusy:
		n.busySources = append(n.busySources, m)
	default:
		n.sourceDisconnected = true
	}
	n.avoidSource(m, shortAvoid)
	return store.Changes{}, false
}

// isUsable reports whether the answer is recent enough or has changes. Changes are applied
// whatever their age, which is passed on with them.
func (n *Node) isUsable(a answer) bool {
	return a.age() <= n.timing.MaxAge || len(a.Items) > 0
}

// fetchChanges fetches changes that are too large for datagrams, or a snapshot where the
// changes are no longer kept. It fetches from the address named in the answer of the result h,
// and if that fails from the source itself.
func (n *Node) fetchChanges(ctx context.Context, h queryResult, after int64) (store.Changes, bool) {
	m, a := h.source, h.answer
	for _, addr := range []string{a.FetchFrom, m.Addr} {
		if addr == "" {
			continue
		}
		fetchedAt := n.clock()
		f, err := n.fetch(ctx, addr, after)
		if err == nil && f.age() <= n.timing.MaxAge {
			f.Hops, f.Followers, f.Estimate, f.FleetSize = a.Hops, a.Followers, a.Estimate, a.FleetSize
			return n.acceptChanges(queryResult{source: m, answer: f, askedAt: fetchedAt}), true
		}
		n.event("changes_unfetched", "source", m.ID, "addr", addr, "after", after, "age", f.age(), "error", err)
	}
	return store.Changes{}, false
}

// acceptChanges returns the changes of the result, and records where they are from.
func (n *Node) acceptChanges(h queryResult) store.Changes {
	n.setSource(h.source.ID)
	n.changeLog.SetHops(h.answer.Hops + 1)
	n.recordSourceSizes(h.answer)
	c := h.answer.changes()
	c.AskedAt, c.PeerWait = h.askedAt, h.wait
	return c
}

// awaitEarlierTiers has an instance of the later tiers query the earlier tiers again after
// they answered that they are disconnected: the second tier asks the store at once and
// answers from then on. Where no source answered at all there is nothing to wait for.
func (n *Node) awaitEarlierTiers(ctx context.Context, tier int, after int64) (store.Changes, status) {
	if n.disconnected || tier < sourceTiers || !n.sourceDisconnected {
		return store.Changes{}, statusDisconnected
	}
	n.disconnected = true
	for range min(maxBatchDelays, tier-sourceTiers+1) {
		if !sleep(ctx, n.timing.BatchDelay) {
			break
		}
		primary, _, _ := n.sources()
		if c, ok := n.followAny(ctx, primary, after, answerSlack); ok {
			return c, statusOK
		}
	}
	return n.retryBusy(ctx, after)
}

// setSource records the source that the instance follows, and logs a change of it.
func (n *Node) setSource(source string) {
	n.mu.Lock()
	previous := n.source
	n.source = source
	n.mu.Unlock()
	if previous != source {
		n.event("following", "source", source, "before", previous)
	}
}
