package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/peer"
	"fieldvale/store"
)

// The store is read whole by few: the watching instances, and others in their turn only
// where nobody ranked before them knows it or is about to. All others fetch the whole
// from one that has it, so that what the store gives out does not grow with the fleet.

const (
	// pageTimeout bounds the read of one page of the store.
	pageTimeout = 2 * time.Second
	// wholeAnswer is how long the answer may take to the question where the whole is to
	// be fetched; it is given at once.
	wholeAnswer = 300 * time.Millisecond
	// mostDetours is how often one instance is asked for another way after the one it
	// named has failed.
	mostDetours = 3
	// askPause is between rounds of questions to all sources.
	askPause = 100 * time.Millisecond
	// turnLength is how much longer the instances of each tier wait than those of the
	// tier before until they read the store themselves.
	turnLength = 1500 * time.Millisecond
	// lostTurn is that where those before have said that they can't reach it.
	lostTurn = 300 * time.Millisecond
	// aloneAfter is how long an instance that is not listed asks in vain before it takes
	// it that all that are have ended, and aloneSpread the most that comes on top: the
	// first one that joins the list then is found by the others.
	aloneAfter  = 2500 * time.Millisecond
	aloneSpread = 4 * time.Second
	// joinCalls times what a call of the store takes, and up to joinSlack on top, is
	// how long one that has joined waits for others that join in the same moment.
	joinCalls = 3
	joinSlack = 50 * time.Millisecond
)

// nothing is the revision of one that knows nothing yet.
const nothing = -1

// Fetcher fetches what another instance passes on over a connection: the changes after
// a revision or, where it has forgotten them, the whole; below 0 asks for the whole.
type Fetcher interface {
	Fetch(ctx context.Context, addr string, after int64) ([]byte, error)
}

// errOlder says that another instance knows no more than this one.
var errOlder = errors.New("relay: what was fetched is no newer than what is known")

// Read implements store.Feed. The first page has all keys if another instance could
// tell them.
func (n *Node) Read(ctx context.Context, prefix, after string) (store.Page, error) {
	if after != "" {
		return n.readPage(ctx, prefix, after)
	}
	if r, _, knows := n.log.newest(); knows {
		return n.readNewer(ctx, prefix, r)
	}
	if err := n.findMembers(ctx); err != nil {
		return store.Page{}, err
	}
	started := n.clock()
	alone := aloneAfter + rand.N(aloneSpread)
	for {
		before, rest, tier := n.sources()
		if tier == 0 {
			return n.readOrAsk(ctx, prefix, rest, nothing)
		}
		p, s := n.fetchWhole(ctx, before, rest)
		waited := n.clock().Sub(started)
		switch {
		case s == known:
			return p, nil
		case ctx.Err() != nil:
			return store.Page{}, errors.Wrap(ctx.Err(), "relay.Read")
		case s == starting:
		case waited > time.Duration(tier)*turnLength, s == lostTouch && waited > time.Duration(tier)*lostTurn:
			return n.readPage(ctx, prefix, "")
		case s == unheard && waited > alone:
			if l := n.findOthers(ctx); len(l) > 0 {
				if p, s := n.fetchWhole(ctx, l, nil); s == known {
					return p, nil
				}
				alone = waited + rand.N(aloneSpread)
				break
			}
			n.joins()
			return n.readPage(ctx, prefix, "")
		}
		sleep(ctx, askPause/2+rand.N(askPause))
	}
}

// readPage reads one page at the store.
func (n *Node) readPage(ctx context.Context, prefix, after string) (store.Page, error) {
	x, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	p, err := n.store.Read(x, prefix, after)
	if err == nil && !p.More {
		n.event("whole_read", "revision", p.Revision, "last_page", len(p.Items))
	}
	return p, err
}

// findMembers reads the list at the store if nobody is known. An answer that may be
// seconds old serves, since those it names are asked. Where it names nobody the newest
// is read, and again after this instance has joined: instances that start at once must
// not all take themselves for the first.
func (n *Node) findMembers(ctx context.Context) error {
	if n.list == nil || n.knowsMembers() {
		return nil
	}
	l, err := n.list(ctx, true)
	if err == nil && len(l) == 0 {
		asked := n.clock()
		if l, err = n.list(ctx, false); err == nil && len(l) == 0 {
			n.joins()
			sleep(ctx, joinCalls*n.clock().Sub(asked)+rand.N(joinSlack))
			l, err = n.list(ctx, false)
		}
	}
	if err != nil {
		return errors.Wrap(err, "relay.findMembers")
	}
	n.SetMembers(l)
	return nil
}

// joins has this instance put itself on the list.
func (n *Node) joins() {
	if n.join != nil {
		n.join()
	}
}

func (n *Node) knowsMembers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.members) > 0
}

// findOthers reads the list anew where nobody that it named answers, and returns those
// that it did not name before.
func (n *Node) findOthers(ctx context.Context) []peer.Member {
	if n.list == nil {
		return nil
	}
	l, err := n.list(ctx, false)
	if err != nil {
		n.event("list_unread", "error", err)
		return nil
	}
	n.mu.Lock()
	was := n.members
	n.mu.Unlock()
	n.SetMembers(l)
	return slices.DeleteFunc(slices.Clone(l), func(m peer.Member) bool { return n.isSelf(m) || slices.Contains(was, m) })
}

// fetchWhole fetches the whole from one of the sources. Else it returns starting if one
// of those before this instance is about to know it, lostTouch if one is out of touch,
// and unheard. Those that come after a listed instance are not waited for: they wait for
// it.
func (n *Node) fetchWhole(ctx context.Context, before, rest []peer.Member) (store.Page, status) {
	best := unheard
	waits := n.unlisted()
	for i, m := range slices.Concat(before, rest) {
		if ctx.Err() != nil {
			break
		}
		a, s := n.wholeBy(ctx, m, nothing, waits || i < len(before))
		if s == known {
			return a.page(), known
		}
		if s == starting || best == unheard {
			best = s
		}
	}
	return store.Page{}, best
}

// wholeBy asks an instance for a whole newer than the revision after, and fetches it where it
// says. waits says whether it may be waited for.
func (n *Node) wholeBy(ctx context.Context, m peer.Member, after int64, waits bool) (answer, status) {
	lost := ""
	for range mostDetours {
		a, ok := n.askWhole(ctx, m, after, lost)
		if !ok {
			n.passSilent(m)
			return a, unheard
		}
		n.heard(m)
		if a.Status == lostTouch || a.Status == starting && !waits {
			n.pass(m, askAgain)
			return a, lostTouch
		}
		from := m.Addr
		if a.Instead != "" {
			from = a.Instead
		}
		w, err := n.fetch(ctx, from, nothing)
		if err == nil {
			n.event("whole_fetched", "source", m.ID, "addr", from, "after", after, "revision", w.Revision, "items", len(w.Items), "age", w.age())
			return w, known
		}
		n.event("whole_unfetched", "source", m.ID, "addr", from, "error", err)
		if from == m.Addr {
			return a, a.Status
		}
		lost = from
	}
	return answer{}, starting
}

// askWhole asks one instance from whom the whole is to be fetched.
func (n *Node) askWhole(ctx context.Context, m peer.Member, after int64, lost string) (answer, bool) {
	return n.waiting.Ask(ctx, wholeAnswer, func(id uint64) error {
		q := question{ID: id, After: after, Whole: true, Lost: lost, Unlisted: n.unlisted()}
		return n.send(m.Addr, id, message{Question: &q}, nil)
	})
}

// answerWhole says from whom the whole is to be fetched.
func (n *Node) answerWhole(to string, q question) {
	a := answer{ID: q.ID, Status: n.wholeStatus(q.After)}
	if q.After == nothing && a.Status != lostTouch {
		a.Instead = n.tree.parent(to, q.Lost, n.clock())
	}
	if err := n.send(to, q.ID, message{Answer: &a}, nil); err != nil {
		n.event("answer_unsent", "to", to, "error", err)
	}
}

// wholeStatus says whether there is a whole newer than the revision after to pass on.
func (n *Node) wholeStatus(after int64) status {
	r, _, knows := n.log.newest()
	switch {
	case knows && r > after, after == nothing && n.packs.hasWhole():
		return forgotten
	case after != nothing, n.log.isLost():
		return lostTouch
	}
	return starting
}

// fetch fetches what another instance passes on after a revision. What it knows must
// not be older than what is known here.
func (n *Node) fetch(ctx context.Context, addr string, after int64) (answer, error) {
	asked := n.clock()
	b, err := n.transfer.Fetch(ctx, addr, after)
	if err != nil {
		return answer{}, errors.Wrapf(err, "relay.fetch from %s", addr)
	}
	m, err := decode(b)
	if err != nil {
		return answer{}, errors.Wrapf(err, "relay.fetch from %s", addr)
	}
	if m.Answer == nil || m.Answer.Status != known {
		return answer{}, errors.Newf("relay.fetch from %s: no state", addr)
	}
	if r, _, ok := n.log.newest(); ok && (m.Answer.Revision < r || after == nothing && m.Answer.Revision == r) {
		return answer{}, errOlder
	}
	if m.Answer.All {
		w := n.packs.keep(*m.Answer, b, asked, n.clock())
		n.log.fetch(w.items, w.revision)
	}
	return *m.Answer, nil
}
