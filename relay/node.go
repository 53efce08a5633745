package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/peer"
	"fieldvale/store"
)

// Times are how fresh knowledge has to be.
type Times struct {
	// Watch is how long one call of the store waits for a change, Follow how
	// long a question to another instance does.
	Watch  time.Duration
	Follow time.Duration
	// MaxAge is the oldest knowledge that is taken from another instance. One
	// that watches a sound store never has older: twice Watch, since an
	// answer that brings a change proves nothing later than its question.
	MaxAge time.Duration
}

// TimesFor returns the times with which a change is in force within the bound
// also at an instance whose source loses the store without notice: it asks
// the store itself once MaxAge and one question are over.
func TimesFor(within time.Duration) Times {
	return Times{Watch: within * 3 / 10, Follow: within * 15 / 100, MaxAge: within * 65 / 100}
}

const (
	// answerSlack is how much longer an answer may take before another
	// instance, or the store, is asked.
	answerSlack = 150 * time.Millisecond
	// avoidFor is how long an instance that could not tell, or a store that
	// could not be reached while others could tell, is passed over.
	avoidFor = 2 * time.Second
	// askAgain is how long an instance is passed over that answered without
	// knowing: it may have to watch the store itself any moment.
	askAgain = 200 * time.Millisecond
	// firstPause and longestPause bound how long a follower leaves a store
	// alone that failed it: all instances' calls have a price, and those
	// ranked before it go on asking.
	firstPause   = 400 * time.Millisecond
	longestPause = 4 * time.Second
	// maxValues bounds the values in an answer, in bytes: they have to fit a
	// datagram, and to be encoded for each follower. Larger changes are read
	// from the store.
	maxValues = 24 << 10
	// followersEach is how many followers a watching instance has in a large
	// fleet, and minWatchers how many watch in any.
	followersEach = 40
	minWatchers   = 2
	// otherSources is how many instances that do not watch by their rank are
	// asked when those that do can't tell: one of them may have had to.
	otherSources = 4
	// tiers are the watchers and those that stand in for them.
	tiers = 2
	// watchersKey ranks the instances that watch.
	watchersKey = "watch"
)

// Transport sends datagrams to other instances. One may be lost.
type Transport interface {
	Send(addr string, b []byte) error
}

// Node follows other instances and is followed.
type Node struct {
	self  string
	log   *Log
	store store.Feed
	net   Transport
	clock func() time.Time
	event func(event string, fields ...any)
	times Times

	mu      sync.Mutex
	members []peer.Member
	avoid   map[string]time.Time
	next    uint64
	waiting map[uint64]chan answer
	source  string
	// storeAt is when the store is asked again after it failed, and pause
	// how long it was left alone the last time. An instance that others stand
	// before asks them meanwhile.
	storeAt time.Time
	pause   time.Duration
}

var _ store.Feed = (*Node)(nil)

// NewNode returns the instance with that id. l is what it tells others.
func NewNode(self string, start uint64, l *Log, s store.Feed, net Transport, clock func() time.Time, event func(event string, fields ...any), t Times) *Node {
	return &Node{times: t, self: self, log: l, store: s, net: net, clock: clock, event: event, avoid: map[string]time.Time{}, next: start, waiting: map[uint64]chan answer{}}
}

// SetMembers replaces the list of the fleet's instances.
func (n *Node) SetMembers(m []peer.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = m
}

// Watchers returns the instances that watch the store, of the given fleet:
// the same ones at each instance.
func Watchers(m []peer.Member) []peer.Member {
	r := peer.Rank(watchersKey, m)
	return r[:min(watchers(len(m)), len(r))]
}

// watchers is how many of so many instances watch.
func watchers(members int) int {
	return max(minWatchers, (members+followersEach-1)/followersEach)
}

// Read implements store.Feed. The store is read whole at the store.
func (n *Node) Read(ctx context.Context, prefix, after string) (store.Page, error) {
	return n.store.Read(ctx, prefix, after)
}

// Changes implements store.Feed. The fleet's instances are ranked; the first
// ones watch the store, the next ones stand in for them. An instance asks
// those ranked before its own tier and, if none of them can tell, the store.
// Where its own way to the store is cut, it asks all tiers.
func (n *Node) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	before, rest := n.sources()
	c, s := n.follow(ctx, before, after)
	if s == known {
		return c, nil
	}
	if s == lostTouch && n.clock().Before(n.storeAt) {
		if c, s := n.follow(ctx, rest, after); s == known {
			return c, nil
		}
		if len(before) > 0 {
			return store.Changes{}, errors.Mark(errWaits, store.ErrUnavailable)
		}
	}
	c, err := n.watch(ctx, prefix, after, wait)
	if err == nil || errors.Is(err, store.ErrCompacted) || ctx.Err() != nil {
		n.pause = 0
		return c, err
	}
	n.pause = min(longestPause, max(firstPause, 2*n.pause))
	n.storeAt = n.clock().Add(n.pause)
	if f, s := n.follow(ctx, rest, after); s == known {
		n.storeAt = n.clock().Add(avoidFor)
		return f, nil
	}
	return c, err
}

// errWaits says that neither the store nor another instance was reached, and
// that it is not yet time to ask the store again.
var errWaits = errors.New("relay: the store was not reached, and other instances can't tell")

// watch asks the store. Only what it says may be told to others: instances
// that follow each other would all be wrong together.
func (n *Node) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	n.from("store")
	c, err := n.store.Changes(ctx, prefix, after, wait)
	n.log.SetDirect(err == nil)
	return c, err
}

// sources returns the instances that are asked before the store, and those
// that are asked if the store can't be.
func (n *Node) sources() (before, rest []peer.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := peer.Rank(watchersKey, n.members)
	k := watchers(len(r))
	for tier := range tiers {
		t := r[min(tier*k, len(r)):min((tier+1)*k, len(r))]
		if slices.ContainsFunc(t, func(m peer.Member) bool { return m.ID == n.self }) {
			rest = r[tier*k:]
			break
		}
		before = append(before, peer.Rank(n.self, n.usable(t))...)
		rest = r[min((tier+1)*k, len(r)):]
	}
	rest = n.usable(rest)
	return before, rest[:min(len(rest), otherSources)]
}

// usable leaves out this instance and those passed over.
func (n *Node) usable(m []peer.Member) []peer.Member {
	now := n.clock()
	var l []peer.Member
	for _, x := range m {
		if x.ID != n.self && !now.Before(n.avoid[x.ID]) {
			l = append(l, x)
		}
	}
	return l
}

// follow asks one instance after another. It gives up at one that knows of
// changes which only the store can tell.
func (n *Node) follow(ctx context.Context, sources []peer.Member, after int64) (store.Changes, status) {
	for _, m := range sources {
		a, ok := n.ask(ctx, m, after)
		if ok && a.Status == known && a.age() <= n.times.MaxAge {
			n.from(m.ID)
			n.log.SetDirect(false)
			c := a.changes()
			c.Waited = n.times.Follow
			return c, known
		}
		if ctx.Err() != nil {
			return store.Changes{}, lostTouch
		}
		switch {
		case !ok:
			n.pass(m, avoidFor)
		case a.Status == tooLarge || a.Status == forgotten:
			return store.Changes{}, a.Status
		case a.Status == lostTouch || a.Status == known:
			n.pass(m, askAgain)
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

func (n *Node) pass(m peer.Member, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.avoid[m.ID] = n.clock().Add(d)
}

// question asks for what changed after a revision, answer is what is said
// to it. Ages and waits are milliseconds.
type question struct {
	ID    uint64 `json:"id"`
	After int64  `json:"after"`
	Wait  int64  `json:"wait"`
}

type answer struct {
	ID       uint64     `json:"id"`
	Status   status     `json:"status"`
	Revision int64      `json:"rev"`
	Age      int64      `json:"age"`
	Items    []wireItem `json:"items,omitempty"`
}

type wireItem struct {
	Key      string `json:"k"`
	Value    []byte `json:"v,omitempty"`
	Revision int64  `json:"r"`
	Deleted  bool   `json:"d,omitempty"`
}

func (a answer) age() time.Duration { return time.Duration(a.Age) * time.Millisecond }

func (a answer) changes() store.Changes {
	c := store.Changes{Revision: a.Revision, Age: a.age()}
	for _, i := range a.Items {
		c.Items = append(c.Items, store.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	return c
}

// message is one of the two.
type message struct {
	Question *question `json:"q,omitempty"`
	Answer   *answer   `json:"a,omitempty"`
}

func (n *Node) ask(ctx context.Context, m peer.Member, after int64) (answer, bool) {
	c := make(chan answer, 1)
	n.mu.Lock()
	n.next++
	id := n.next
	n.waiting[id] = c
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.waiting, id)
		n.mu.Unlock()
	}()
	if err := n.send(m.Addr, message{Question: &question{ID: id, After: after, Wait: n.times.Follow.Milliseconds()}}); err != nil {
		return answer{}, false
	}
	t := time.NewTimer(n.times.Follow + answerSlack)
	defer t.Stop()
	select {
	case a := <-c:
		return a, true
	case <-t.C:
	case <-ctx.Done():
	}
	return answer{}, false
}

func (n *Node) send(addr string, m message) error {
	b, err := encode(m)
	if err != nil {
		return err
	}
	return n.net.Send(addr, b)
}

// Receive takes a datagram in; from is where an answer goes.
func (n *Node) Receive(from string, b []byte) {
	m, err := decode(b)
	if err != nil {
		n.event("datagram_unreadable", "from", from, "error", err)
		return
	}
	if m.Question != nil {
		go n.answer(from, *m.Question)
	}
	if m.Answer == nil {
		return
	}
	n.mu.Lock()
	c := n.waiting[m.Answer.ID]
	n.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case c <- *m.Answer:
	default:
	}
}

// answer waits until there is something to say.
func (n *Node) answer(to string, q question) {
	t := time.NewTimer(min(n.times.Follow, time.Duration(q.Wait)*time.Millisecond))
	defer t.Stop()
	for {
		c, changed, s := n.log.since(q.After, n.clock())
		if s != known || len(c.Items) > 0 {
			n.reply(to, q.ID, c, s)
			return
		}
		select {
		case <-changed:
		case <-t.C:
			c, _, s = n.log.since(q.After, n.clock())
			n.reply(to, q.ID, c, s)
			return
		}
	}
}

func (n *Node) reply(to string, id uint64, c store.Changes, s status) {
	a := answer{ID: id, Status: s, Revision: c.Revision, Age: c.Age.Milliseconds() + 1}
	if size(c.Items) > maxValues {
		c.Items, a.Status = nil, tooLarge
	}
	for _, i := range c.Items {
		a.Items = append(a.Items, wireItem{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	b, err := encode(message{Answer: &a})
	if err == nil {
		err = n.net.Send(to, b)
	}
	if err != nil {
		n.event("answer_unsent", "to", to, "error", err)
	}
}

func size(l []store.Item) int {
	n := 0
	for _, i := range l {
		n += len(i.Value) + len(i.Key)
	}
	return n
}

// encode returns the message compressed: configurations are repetitive.
func encode(m message) ([]byte, error) {
	j, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "relay.encode")
	}
	if len(j) < compressFrom {
		return append([]byte{plain}, j...), nil
	}
	var b bytes.Buffer
	b.WriteByte(deflated)
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "relay.encode")
	}
	if _, err := w.Write(j); err != nil {
		return nil, errors.Wrap(err, "relay.encode")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "relay.encode")
	}
	return b.Bytes(), nil
}

const (
	plain    = 0
	deflated = 1
	// compressFrom is the least message worth compressing, in bytes.
	compressFrom = 1 << 10
	// maxMessage bounds a message once it is inflated, in bytes.
	maxMessage = 4 << 20
)

func decode(b []byte) (message, error) {
	var m message
	if len(b) == 0 {
		return m, errors.New("relay.decode: empty")
	}
	j := b[1:]
	if b[0] == deflated {
		var err error
		j, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(j)), maxMessage))
		if err != nil {
			return m, errors.Wrap(err, "relay.decode")
		}
	}
	return m, errors.Wrap(json.Unmarshal(j, &m), "relay.decode")
}
