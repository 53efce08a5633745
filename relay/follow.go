package relay

import (
	"context"
	"time"

	"fieldvale/peer"
	"fieldvale/store"
)

const (
	// askAgain is how long an instance is passed over that answered without
	// knowing: it may have to watch the store itself any moment.
	askAgain = 200 * time.Millisecond
	// mostGathers bounds, in Times.Gather, how long an instance of the later
	// tiers waits for the second tier when the watching ones can't tell.
	mostGathers = 3
)

// follow asks one instance after another.
func (n *Node) follow(ctx context.Context, sources []peer.Member, after int64) (store.Changes, status) {
	n.sourceLost = false
	for _, m := range sources {
		a, ok := n.ask(ctx, m, after)
		if ok {
			n.heard(m)
		}
		if ok && a.Status == known && n.isNews(a) {
			return n.taken(m, a), known
		}
		if ctx.Err() != nil {
			return store.Changes{}, lostTouch
		}
		switch {
		case !ok:
			n.passSilent(m)
		case a.Status == tooLarge || a.Status == forgotten:
			if c, ok := n.fetchChanges(ctx, m, a, after); ok {
				return c, known
			}
			n.pass(m, askAgain)
		case a.Status == lostTouch || a.Status == known:
			n.sourceLost = true
			n.pass(m, askAgain)
		}
	}
	return store.Changes{}, lostTouch
}

// isNews reports whether the answer is fresh enough to go by, or brings changes: these
// are taken in however old the knowledge is, whose age is told with them.
func (n *Node) isNews(a answer) bool {
	return a.age() <= n.times.MaxAge || len(a.Items) > 0
}

// fetchChanges fetches changes that are too many for datagrams, or the whole where they
// are forgotten, from the instance m that answered a, or from whom it names.
func (n *Node) fetchChanges(ctx context.Context, m peer.Member, a answer, after int64) (store.Changes, bool) {
	for _, addr := range []string{a.Instead, m.Addr} {
		if addr == "" {
			continue
		}
		f, err := n.fetch(ctx, addr, after)
		if err == nil && f.age() <= n.times.MaxAge {
			f.Hops, f.Followers = a.Hops, a.Followers
			c := n.taken(m, f)
			c.Waited = 0
			return c, true
		}
		n.event("changes_unfetched", "source", m.ID, "addr", addr, "after", after, "age", f.age(), "error", err)
	}
	return store.Changes{}, false
}

// taken returns the changes of an instance's answer, and notes that it is
// followed.
func (n *Node) taken(m peer.Member, a answer) store.Changes {
	n.from(m.ID)
	n.log.SetHops(a.Hops + 1)
	n.setSourceFollowers(a.Followers)
	c := a.changes()
	c.Waited = n.times.Follow
	return c
}

// waitForBefore has an instance of the later tiers wait for those before it
// when they answer that they can't tell any more: the second tier asks the store
// at once, and tells the others. Where all are silent there is nobody to wait for.
func (n *Node) waitForBefore(ctx context.Context, tier int, after int64) (store.Changes, status) {
	if n.lost || tier < tiers || !n.sourceLost {
		return store.Changes{}, lostTouch
	}
	n.lost = true
	for range min(mostGathers, tier-tiers+1) {
		if !sleep(ctx, n.times.Gather) {
			break
		}
		before, _, _ := n.sources()
		if c, s := n.follow(ctx, before, after); s != lostTouch {
			return c, s
		}
	}
	return store.Changes{}, lostTouch
}

// from logs whom the instance follows when that changes.
func (n *Node) from(source string) {
	n.mu.Lock()
	was := n.source
	n.source = source
	n.mu.Unlock()
	if was != source {
		n.event("following", "source", source, "before", was)
	}
}
