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
	// askAgain is how long an instance is passed over that answered without
	// knowing: it may have to watch the store itself any moment.
	askAgain = 200 * time.Millisecond
	// mostGathers bounds, in Times.Gather, how long an instance of the later
	// tiers waits for the second tier when the watching ones can't tell.
	mostGathers = 2
	// askedTogether is how many instances are asked at once where the first can't tell.
	askedTogether = 8
)

// follow asks the first source, where it waits for a change. If that one can't tell, the others
// are asked at once: in turn, silent ones would take as long as a change has time.
func (n *Node) follow(ctx context.Context, sources []peer.Member, after int64) (store.Changes, status) {
	n.sourceLost, n.busy = false, nil
	if len(sources) == 0 {
		return store.Changes{}, lostTouch
	}
	if c, ok := n.take(ctx, n.ask(ctx, question{After: after, Wait: n.times.Follow.Milliseconds()}, sources[0], n.times.Follow+answerSlack), after); ok {
		return c, known
	}
	for l := range slices.Chunk(sources[1:], askedTogether) {
		if c, ok := n.followAny(ctx, l, after, n.times.Follow); ok {
			return c, known
		}
	}
	return n.followBusy(ctx, after)
}

// followBusy asks those again that know more and had no room on their link: the store would not
// tell sooner.
func (n *Node) followBusy(ctx context.Context, after int64) (store.Changes, status) {
	for range mostGathers {
		if len(n.busy) == 0 || !sleep(ctx, n.times.Gather/2+rand.N(n.times.Gather)) {
			break
		}
		l := n.busy
		n.busy = nil
		if c, ok := n.followAny(ctx, l, after, n.times.Follow); ok {
			return c, known
		}
	}
	return store.Changes{}, lostTouch
}

// followAny asks the sources at once what they know, and one that knows more for it: the news
// of all would fill the links.
func (n *Node) followAny(ctx context.Context, sources []peer.Member, after int64, patience time.Duration) (store.Changes, bool) {
	x, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := n.askTogether(x, sources, after, patience)
	for range sources {
		h := <-answers
		if h.ok && h.answer.Status == known && h.answer.Revision > after && len(h.answer.Items) == 0 {
			h = n.ask(x, question{After: after}, h.from, n.times.Follow+answerSlack)
		}
		if c, ok := n.take(ctx, h, after); ok {
			return c, true
		}
	}
	return store.Changes{}, false
}

// take returns what came of a question, if that is fresh enough to go by or brings changes.
func (n *Node) take(ctx context.Context, h heard, after int64) (store.Changes, bool) {
	m, a := h.from, h.answer
	if ctx.Err() != nil {
		return store.Changes{}, false
	}
	if !h.ok {
		n.passSilent(m)
		return store.Changes{}, false
	}
	n.heard(m)
	switch {
	case a.Status == known && n.isNews(a):
		return n.taken(m, a), true
	case a.Status == tooLarge || a.Status == forgotten:
		if c, ok := n.fetchChanges(ctx, m, a, after); ok {
			return c, true
		}
	case a.Status == busy:
		n.busy = append(n.busy, m)
	default:
		n.sourceLost = true
	}
	n.pass(m, askAgain)
	return store.Changes{}, false
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
		if c, ok := n.followAny(ctx, before, after, answerSlack); ok {
			return c, known
		}
	}
	return n.followBusy(ctx, after)
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
