package world

import (
	"context"
	"regexp"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/platform"
	"fieldvale/bill"
	"fieldvale/claim"
	"fieldvale/control"
	"fieldvale/entry"
	"fieldvale/outcome"
	"fieldvale/peer"
	"fieldvale/pool"
	"fieldvale/standin/kv"
	"fieldvale/store"
	"fieldvale/version"
)

// Steps for which World.OnStep is called.
const (
	StepDecide        = "decision"      // the policy decided on a request
	StepClaim         = "claim"         // an entry makes a claim
	StepClaimed       = "claimed"       // the claim was made
	StepDispatch      = "dispatch"      // an entry sends a request to a backend server
	StepQueue         = "queue"         // a backend server queues a request
	StepFirstChunk    = "first byte"    // the first chunk of a stream arrives
	StepMidStream     = "mid-stream"    // the middle chunk of a stream arrives
	StepAnswerDone    = "end of answer" // a backend server completed an answer
	StepRate          = "rating"        // an entry requests the rating of an answer
	StepBill          = "bill"          // an entry sends a bill record to a node that holds it
	StepFlushBills    = "flush"         // a node writes bills to the store
	StepWriteConfig   = "accept"        // a node writes the configuration to the store
	StepFetchDocument = "spread"        // a node fetches the configuration from a peer
	StepSync          = "sync"          // an entry syncs with its control
)

// SetStoreFault sets the fault of the store for all nodes.
func (w *World) SetStoreFault(f kv.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeFault = f
}

// SetStoreLimited sets whether the store rejects all calls with a rate limit error.
func (w *World) SetStoreLimited(b bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeLimited = b
}

// SetStoreDelay sets the delay of each call of the store.
func (w *World) SetStoreDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeDelay = d
}

// storeClient is a node's client of the store.
type storeClient struct {
	w *World
	p *Proc
}

// storeCall calls f in the process of the store. It maps failures to the errors of
// package store: ErrUnavailable if the call had no effect, ErrUnknown if it may have
// had one.
func storeCall[T any](ctx context.Context, l *storeClient, write bool, f func(context.Context) (T, error)) (T, error) {
	l.w.mu.Lock()
	fault, limited, delay := l.w.storeFault, l.w.storeLimited, l.w.storeDelay
	l.w.mu.Unlock()
	var z T
	if limited {
		return z, errors.Wrap(store.ErrUnavailable, "store rejected the call: rate limit")
	}
	if delay > 0 {
		if err := sleep(ctx, delay); err != nil {
			return z, errors.Mark(err, store.ErrUnknown)
		}
	}
	if fault == kv.Down {
		return z, errors.Wrap(store.ErrUnavailable, "store is down")
	}
	v, err := invoke(ctx, l.w, l.p, l.w.StoreProc, f)
	if fault == kv.LostResponses && err == nil && write {
		return z, errors.Wrap(store.ErrUnknown, "response of the store was lost")
	}
	var e *CallError
	if errors.As(err, &e) {
		if e.Sent {
			return z, errors.Mark(err, store.ErrUnknown)
		}
		return z, errors.Mark(err, store.ErrUnavailable)
	}
	return v, err
}

// Get implements store.Store.
func (l *storeClient) Get(ctx context.Context, key string) (store.Pair, error) {
	return storeCall(ctx, l, false, func(x context.Context) (store.Pair, error) { return l.w.Store.Get(x, key) })
}

// List implements store.Store.
func (l *storeClient) List(ctx context.Context, prefix string, n int) ([]store.Pair, error) {
	return storeCall(ctx, l, false, func(x context.Context) ([]store.Pair, error) { return l.w.Store.List(x, prefix, n) })
}

// Commit implements store.Store.
func (l *storeClient) Commit(ctx context.Context, g []store.Guard, y []store.Write) (bool, error) {
	l.w.step(commitStep(y[0].Key), l.p)
	return storeCall(ctx, l, true, func(x context.Context) (bool, error) { return l.w.Store.Commit(x, g, y) })
}

// commitStep returns the step of a write to the key, or "" if it has none.
func commitStep(key string) string {
	switch {
	case len(key) > 16 && key[:16] == "/fieldvale/bill/":
		return StepFlushBills
	case key == "/fieldvale/config":
		return StepWriteConfig
	}
	return ""
}

// CreateAll implements store.Store.
func (l *storeClient) CreateAll(ctx context.Context, y []store.Write) ([]store.Pair, error) {
	return storeCall(ctx, l, true, func(x context.Context) ([]store.Pair, error) { return l.w.Store.CreateAll(x, y) })
}

// Wait implements store.Store.
func (l *storeClient) Wait(ctx context.Context, key string, above int64) (store.Pair, error) {
	return storeCall(ctx, l, false, func(x context.Context) (store.Pair, error) { return l.w.Store.Wait(x, key, above) })
}

// peerClient is a node's client of other nodes.
type peerClient struct {
	w *World
	p *Proc
}

// peerCall calls f in the control process of the instance with that ID.
func peerCall[T any](ctx context.Context, w *World, p *Proc, id string, f func(*control.Node) (T, error)) (T, error) {
	var z T
	i := w.latestInstance(id)
	if i == nil {
		return z, &CallError{Cause: errors.Newf("world: no instance with ID %q", id)}
	}
	n, c := i.currentNode()
	return invoke(ctx, w, p, c, func(context.Context) (T, error) { return f(n) })
}

// Exchange implements control.Peers.
func (l *peerClient) Exchange(ctx context.Context, m peer.Member, q peer.Message) (peer.Reply, error) {
	return peerCall(ctx, l.w, l.p, m.ID, func(n *control.Node) (peer.Reply, error) { return n.Exchange(q), nil })
}

// Document implements control.Peers.
func (l *peerClient) Document(ctx context.Context, m peer.Member, above uint64) ([]byte, error) {
	l.w.step(StepFetchDocument, l.p)
	return peerCall(ctx, l.w, l.p, m.ID, func(n *control.Node) ([]byte, error) {
		d, b := n.Document()
		if d.Revision <= above {
			return nil, nil
		}
		return b, nil
	})
}

// HandOver implements control.Peers.
func (l *peerClient) HandOver(ctx context.Context, m peer.Member, r []bill.Record) error {
	_, err := peerCall(ctx, l.w, l.p, m.ID, func(n *control.Node) (bool, error) {
		n.HoldRecords(r, nil)
		return true, nil
	})
	return err
}

// platformClient is a node's client of the platform's list and of backend servers.
type platformClient struct {
	w *World
	p *Proc
}

// Instances implements control.Platform.
func (l *platformClient) Instances(ctx context.Context) (platform.InstanceList, error) {
	return invoke(ctx, l.w, l.p, l.w.ListProc, func(context.Context) (platform.InstanceList, error) { return l.w.visibleList(), nil })
}

// Load implements control.Platform.
func (l *platformClient) Load(ctx context.Context, r pool.Replica) (platform.EngineReport, error) {
	b := l.w.Backend(r.ID)
	return invoke(ctx, l.w, l.p, b.Proc, func(context.Context) (platform.EngineReport, error) { return b.loadReport() })
}

// Unload implements control.Platform.
func (l *platformClient) Unload(ctx context.Context, r pool.Replica, v version.ID, fencingToken uint64) error {
	b := l.w.Backend(r.ID)
	_, err := invoke(ctx, l.w, l.p, b.Proc, func(context.Context) (bool, error) { return true, b.unload(v, fencingToken) })
	return err
}

// controlClient is an entry's client of its own control.
type controlClient struct {
	w *World
	i *Instance
}

// Sync implements process.ControlClient.
func (l *controlClient) Sync(ctx context.Context, r control.EntryReport) (control.EntryUpdate, error) {
	l.w.step(StepSync, l.i.Entry)
	n, c := l.i.currentNode()
	return invoke(ctx, l.w, l.i.Entry, c, func(context.Context) (control.EntryUpdate, error) { return n.Sync(r), nil })
}

// claimClient is an entry's client for claims, which its control makes.
type claimClient struct {
	w *World
	i *Instance
}

// Claim implements entry.Claims.
func (l *claimClient) Claim(ctx context.Context, c claim.Claim) (claim.Verdict, claim.Claim, error) {
	type answer struct {
		v claim.Verdict
		c claim.Claim
	}
	l.w.step(StepClaim, l.i.Entry)
	n, p := l.i.currentNode()
	a, err := invoke(ctx, l.w, l.i.Entry, p, func(x context.Context) (answer, error) {
		v, f, err := n.Claim(x, c)
		return answer{v, f}, err
	})
	if err == nil {
		l.w.step(StepClaimed, l.i.Entry)
	}
	return a.v, a.c, err
}

// Finish implements entry.Claims.
func (l *claimClient) Finish(ctx context.Context, c claim.Claim) error {
	n, p := l.i.currentNode()
	_, err := invoke(ctx, l.w, l.i.Entry, p, func(x context.Context) (bool, error) { return true, n.Finish(x, c) })
	return err
}

// billClient is an entry's client of the nodes that hold its bill records.
type billClient struct {
	w *World
	p *Proc
}

// Hold implements biller.HolderClient.
func (l *billClient) Hold(ctx context.Context, m peer.Member, r bill.Record) (bill.HoldResult, error) {
	l.w.step(StepBill, l.p)
	return peerCall(ctx, l.w, l.p, m.ID, func(n *control.Node) (bill.HoldResult, error) {
		return n.HoldRecords([]bill.Record{r}, nil)[0], nil
	})
}

// Release implements biller.HolderClient.
func (l *billClient) Release(ctx context.Context, m peer.Member, r bill.Record) error {
	_, err := peerCall(ctx, l.w, l.p, m.ID, func(n *control.Node) (bool, error) {
		n.HoldRecords(nil, []bill.Record{r})
		return true, nil
	})
	return err
}

// ratingClient is an entry's client of the rating service.
type ratingClient struct {
	w *World
	p *Proc
}

// qualityPattern matches the quality in an answer of Backend.chat.
var qualityPattern = regexp.MustCompile(`q=([0-9.]+)`)

// Rate implements entry.Rater.
func (l *ratingClient) Rate(ctx context.Context, _, answer []byte) (float64, error) {
	l.w.step(StepRate, l.p)
	return invoke(ctx, l.w, l.p, l.w.RatingProc, func(context.Context) (float64, error) {
		m := qualityPattern.FindSubmatch(answer)
		if m == nil {
			return 0, errors.Newf("world: answer %q has no quality", answer)
		}
		return strconv.ParseFloat(string(m[1]), 64)
	})
}

// backendError maps a failed call of a backend server to the error that an adapter
// returns.
func backendError(id string, err error) error {
	var e *CallError
	if !errors.As(err, &e) {
		return err
	}
	if e.Sent {
		return outcome.New(outcome.Unknown, "read", id, e.Cause)
	}
	return outcome.New(outcome.NotRun, "dial", id, e.Cause)
}

// engineClient is an entry's client of model engines.
type engineClient struct {
	w *World
	p *Proc
}

// Chat implements entry.Engines.
func (l *engineClient) Chat(ctx context.Context, r *pool.Replica, a entry.Attempt) (entry.Answer, error) {
	l.w.step(StepDispatch, l.p)
	b := l.w.Backend(r.ID)
	v, err := invoke(ctx, l.w, l.p, b.Proc, func(x context.Context) (entry.Answer, error) { return b.chat(x, a, nil) })
	return v, backendError(r.ID, err)
}

// Stream implements entry.Engines. Chunks arrive only while both processes run and
// no partition separates them.
func (l *engineClient) Stream(ctx context.Context, r *pool.Replica, a entry.Attempt, sink func([]byte) error) (entry.Answer, error) {
	l.w.step(StepDispatch, l.p)
	b := l.w.Backend(r.ID)
	v, err := invoke(ctx, l.w, l.p, b.Proc, func(x context.Context) (entry.Answer, error) {
		return b.chat(x, a, func(n int, t []byte) error {
			if err := l.w.dial(x, b.Proc, l.p); err != nil {
				return outcome.New(outcome.Unknown, "stream", r.ID, err)
			}
			switch n {
			case 0:
				l.w.step(StepFirstChunk, l.p)
			case chunksPerAnswer / 2:
				l.w.step(StepMidStream, l.p)
			}
			if err := l.p.waitWhilePaused(); err != nil {
				return outcome.New(outcome.Unknown, "stream", r.ID, err)
			}
			return sink(t)
		})
	})
	return v, backendError(r.ID, err)
}

// serviceClient is an entry's client of plain services.
type serviceClient struct {
	w *World
	p *Proc
}

// Call implements entry.Services.
func (l *serviceClient) Call(ctx context.Context, r *pool.Replica, c entry.ServiceCall) (entry.ServiceAnswer, error) {
	l.w.step(StepDispatch, l.p)
	b := l.w.Backend(r.ID)
	v, err := invoke(ctx, l.w, l.p, b.Proc, func(x context.Context) (entry.ServiceAnswer, error) { return b.call(x, c) })
	return v, backendError(r.ID, err)
}
