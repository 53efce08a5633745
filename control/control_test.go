package control

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"fieldvale/adapter/codec"
	"fieldvale/adapter/policyfile"
	"fieldvale/audit"
	"fieldvale/bill"
	"fieldvale/claim"
	"fieldvale/config"
	"fieldvale/peer"
	"fieldvale/standin/kv"
	"fieldvale/standin/seed"
	"fieldvale/store"
	"fieldvale/version"
)

var _ = seed.Fix()

var files = map[string]string{
	policyfile.CatalogFile: "[team t]\n[version m@1]\n[version m@2]\n[customer c]\nkey_sha256 = 0000000000000000000000000000000000000000000000000000000000000000\n",
	policyfile.ProgramFile: "def allow(customer, model, version):\n    return True\ndef route(customer, task, size):\n    return [step(\"m\")]\n",
	policyfile.CasesFile:   "",
}

// newTestNode returns a node with the id and the store, and a short call timeout.
func newTestNode(id string, s *kv.Fake) *Node {
	t := DefaultTimes()
	t.CallTimeout = 50 * time.Millisecond
	return New(Options{Self: peer.Member{ID: id, DataCentre: "dc"}, Incarnation: id + "/1", Store: s, Clock: time.Now, Times: t})
}

// accept returns a change that submits a policy of its own for team t, based on the
// given revision.
func accept(id string, base uint64) config.Change {
	f := maps.Clone(files)
	f[policyfile.ProgramFile] += "# " + id + "\n"
	s, _ := policyfile.Parse(f)
	return config.Change{ID: id, Team: "t", Who: "op", Action: audit.Accept, BaseRevision: base, Source: s}
}

// Guards against a request with an idempotency key that is sent twice. Nodes whose
// connections to one store fail in different ways claim a few keys in any order. At
// most one holder of a key may send, until that holder reports that its request did
// not run.
func TestOneHolderMaySend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := kv.NewMemory()
		var n []*Node
		var f []*kv.Fake
		for i := range 3 {
			f = append(f, kv.NewFake(m))
			n = append(n, newTestNode(fmt.Sprint("n", i), f[i]))
		}
		holders := map[string][]claim.Claim{}
		for i := range rapid.IntRange(1, 40).Draw(t, "asks") {
			at := rapid.IntRange(0, 2).Draw(t, "node")
			f[at].SetFault(rapid.SampledFrom([]kv.Fault{kv.NoFault, kv.NoFault, kv.Down, kv.LostResponses, kv.LostRequests}).Draw(t, "fault"))
			k := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
			c := claim.New("t/c", k, fmt.Sprint(i), n[at].Self.ID, time.Now().Add(time.Hour))
			j := queuedClaim{claim: c, reply: make(chan claimResult, 1)}
			n[at].grantBatch(t.Context(), []queuedClaim{j})
			if r := <-j.reply; r.err == nil && r.verdict == claim.Send {
				holders[k] = append(holders[k], c)
			}
			f[at].SetFault(kv.NoFault)
			if l := holders[k]; len(l) > 0 && rapid.IntRange(0, 3).Draw(t, "free") == 0 {
				if n[at].Finish(t.Context(), l[0].WithNotRun()) == nil {
					holders[k] = l[1:]
				}
			}
			if len(holders[k]) > 1 {
				t.Fatalf("key %s: got %d holders that may send, want at most 1", k, len(holders[k]))
			}
		}
	})
}

// Guards against claims that get another claim's result when they are written in one
// call to the store: the second claim of a key must not be granted.
func TestClaimsInOneCall(t *testing.T) {
	m := kv.NewMemory()
	f := kv.NewFake(m)
	n := newTestNode("n", f)
	var j []queuedClaim
	for i := range 10 {
		c := claim.New("t/c", fmt.Sprint("k", i%5), fmt.Sprint(i), "n", time.Now().Add(time.Hour))
		j = append(j, queuedClaim{claim: c, reply: make(chan claimResult, 1)})
	}
	n.grantBatch(t.Context(), j)
	for i, x := range j {
		want := claim.Send
		if i >= 5 {
			want = claim.MayHaveRun
		}
		if r := <-x.reply; r.verdict != want || r.err != nil {
			t.Errorf("claim %d: got %s, %v; want %s", i, r.verdict, r.err, want)
		}
	}
	if g := f.Calls("create"); g != 1 {
		t.Errorf("got %d calls to the store, want 1", g)
	}
}

// Guards against a retry that is refused because of a claim that was written although
// its requester got an error and never sent the request.
func TestAbandonedClaimIsFreed(t *testing.T) {
	f := kv.NewFake(kv.NewMemory())
	n := newTestNode("n", f)
	c := claim.New("t/c", "k", "1", "n", time.Now().Add(time.Hour))
	w, err := claimWrite(c)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Memory.CreateAll(t.Context(), []store.Write{w}); err != nil {
		t.Fatal(err)
	}
	if !n.tryFree(t.Context(), c) {
		t.Fatal("got the abandoned claim still held, want it freed")
	}
	j := queuedClaim{claim: claim.New("t/c", "k", "2", "n", c.Deadline), reply: make(chan claimResult, 1)}
	n.grantBatch(t.Context(), []queuedClaim{j})
	if r := <-j.reply; r.verdict != claim.Send {
		t.Errorf("claim after the freed one: got %s, %v; want %s", r.verdict, r.err, claim.Send)
	}
}

// Guards against an operator's change that is overwritten by another operator's
// concurrent change. One of two changes with the same base must fail with a conflict
// and leave no entry in the audit trail.
func TestOneOfTwoConcurrentChangesWins(t *testing.T) {
	m := kv.NewMemory()
	a, b := newTestNode("a", kv.NewFake(m)), newTestNode("b", kv.NewFake(m))
	if _, err := a.Change(t.Context(), accept("first", config.AnyBase)); err != nil {
		t.Fatal(err)
	}
	e := make(chan error, 2)
	for i, n := range []*Node{a, b} {
		go func() {
			_, err := n.Change(context.Background(), accept(fmt.Sprint("race", i), 1))
			e <- err
		}()
	}
	x, y := <-e, <-e
	if (x == nil) == (y == nil) {
		t.Fatalf("got errors %v and %v, want exactly one", x, y)
	}
	if l := errors.CombineErrors(x, y); !errors.Is(l, config.ErrConflict) {
		t.Errorf("got error %v, want %v", l, config.ErrConflict)
	}
	if l, err := a.Audit(t.Context(), "", 0); err != nil || len(l) != 2 {
		t.Errorf("got %d audit entries, %v; want 2", len(l), err)
	}
}

// Guards against a change that overwrites another one which was written between the
// first one's read of the document and its write. The write must fail, and the change
// be retried on the new document.
func TestChangeIsRetriedAfterAConcurrentWrite(t *testing.T) {
	m := kv.NewMemory()
	a, b := newTestNode("a", kv.NewFake(m)), newTestNode("b", kv.NewFake(m))
	if _, err := a.Change(t.Context(), accept("first", config.AnyBase)); err != nil {
		t.Fatal(err)
	}
	p, err := m.Get(t.Context(), configKey)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.Change(t.Context(), accept("second", config.AnyBase)); err != nil {
		t.Fatal(err)
	}
	d, _ := a.Document()
	next, e, err := d.Apply(accept("third", config.AnyBase))
	if err != nil {
		t.Fatal(err)
	}
	if _, done, _ := a.commit(t.Context(), p, next, *e, nil); done {
		t.Error("got the concurrent change overwritten, want the commit refused")
	}
}

// Guards against a return to an older configuration when documents arrive from the
// store and from peers in any order.
func TestLowerRevisionIsNeverAdopted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newTestNode("n", kv.NewFake(kv.NewMemory()))
		var high uint64
		for range rapid.IntRange(1, 12).Draw(t, "documents") {
			s, _ := policyfile.Parse(files)
			d := config.Document{Revision: uint64(rapid.IntRange(1, 6).Draw(t, "revision")), Parts: map[string]config.Part{"t": {Team: "t", Source: s}}}
			b, err := codec.EncodeDocument(d)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := n.adopt(b, rapid.Bool().Draw(t, "from peers")); err != nil {
				t.Fatal(err)
			}
			high = max(high, d.Revision)
			if g := n.revision(); g != high {
				t.Fatalf("got revision %d in force, want %d", g, high)
			}
		}
	})
}

// Guards against a document that can't be decoded or compiled and replaces the one in
// force.
func TestUnusableDocumentIsNotAdopted(t *testing.T) {
	n := newTestNode("n", kv.NewFake(kv.NewMemory()))
	for _, b := range []string{"", "{", `{"revision":9,"parts":{"t":{"files":{"policy.star":"def"}}}}`} {
		if ok, err := n.adopt([]byte(b), true); ok || err == nil {
			t.Errorf("document %q: got adopted %t, error %v; want false and an error", b, ok, err)
		}
	}
}

// unreachablePeers is a client whose calls to peers all fail.
type unreachablePeers struct{}

func (unreachablePeers) Exchange(context.Context, peer.Member, peer.Message) (peer.Reply, error) {
	return peer.Reply{}, errors.New("peer is unreachable")
}

func (unreachablePeers) Document(context.Context, peer.Member, uint64) ([]byte, error) {
	return nil, errors.New("peer is unreachable")
}

func (unreachablePeers) HandOver(context.Context, peer.Member, []bill.Record) error {
	return errors.New("peer is unreachable")
}

// Guards against bills that are lost when an instance stops while neither the store nor
// a peer can be reached: the stop must wait until the store, which returns after a
// minute, has the bills.
func TestStopWaitsForBillsThatNobodyElseHas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := kv.NewFake(kv.NewMemory())
		n := newTestNode("n", f)
		n.Peers = unreachablePeers{}
		line := bill.Line{Team: "t", Version: version.New("m", "1")}
		l := bill.NewLedger("e").With(bill.Record{Owner: "e", Seq: 1, Line: line, Amount: bill.Amount{Requests: 1}})
		n.Sync(EntryReport{Incarnation: "e", Ledger: l, LastUnheldSeq: 1})
		f.SetFault(kv.Down)
		time.AfterFunc(time.Minute, func() { f.SetFault(kv.NoFault) })
		n.Stop(t.Context())
		m, err := n.BillTotals(t.Context(), "")
		if err != nil || m[line].Requests != 1 {
			t.Errorf("got totals %v, %v; want one request billed", m, err)
		}
	})
}

// Guards against heartbeats that expire before they are renewed when the fleet grows:
// a heartbeat's time to live is computed from the interval of the smaller fleet, while
// the interval of the larger one is longer.
func TestHeartbeatIsRenewedInTimeWhenTheFleetGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode("n", kv.NewFake(kv.NewMemory()))
		for i := range 349 {
			k := peer.Key{Kind: peer.Instance, Name: fmt.Sprint("i", i)}
			n.table.Put(peer.Item{Key: k, Version: 1, Expires: time.Now().Add(time.Hour)}, "", time.Now())
		}
		for range 120 {
			time.Sleep(n.Times.Heartbeat)
			n.publishHeartbeatIfDue()
			i, ok := n.table.Get(peer.Key{Kind: peer.Instance, Name: "n"}, time.Now())
			if !ok || time.Until(i.Expires) < i.Expires.Sub(time.Unix(0, int64(i.Version)))/2 {
				t.Fatal("got a heartbeat with less than half of its time to live left, want it renewed")
			}
		}
	})
}
