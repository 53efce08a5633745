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

// Steps that the hook is told of.
const (
	StepDecide   = "decision"
	StepClaim    = "claim"
	StepClaimed  = "claimed"
	StepDispatch = "dispatch"
	StepQueue    = "queue"
	StepFirst    = "first byte"
	StepMid      = "mid-stream"
	StepEnd      = "end of answer"
	StepRate     = "rating"
	StepBill     = "bill"
	StepFlush    = "flush"
	StepAccept   = "accept"
	StepSpread   = "spread"
	StepSync     = "sync"
)

// BreakStore puts a fault of the store in force for all.
func (w *World) BreakStore(f kv.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// LimitStore makes the store refuse calls for its rate.
func (w *World) LimitStore(b bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limited = b
}

// SlowStore delays each call of the store.
func (w *World) SlowStore(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeSlow = d
}

// storeLink is a node's way to the store.
type storeLink struct {
	w *World
	p *Proc
}

func storeCall[T any](ctx context.Context, l *storeLink, write bool, f func(context.Context) (T, error)) (T, error) {
	l.w.mu.Lock()
	k, m, s := l.w.fault, l.w.limited, l.w.storeSlow
	l.w.mu.Unlock()
	var z T
	if m {
		return z, errors.Wrap(store.ErrUnavailable, "rate limit")
	}
	if s > 0 {
		if err := pause(ctx, s); err != nil {
			return z, errors.Mark(err, store.ErrUnknown)
		}
	}
	if k == kv.Down {
		return z, errors.Wrap(store.ErrUnavailable, "down")
	}
	v, err := invoke(ctx, l.w, l.p, l.w.StoreAt, f)
	if k == kv.LostAnswers && err == nil && write {
		return z, errors.Wrap(store.ErrUnknown, "answer lost")
	}
	var e *LinkError
	if errors.As(err, &e) {
		if e.Sent {
			return z, errors.Mark(err, store.ErrUnknown)
		}
		return z, errors.Mark(err, store.ErrUnavailable)
	}
	return v, err
}

// Get implements store.Store.
func (l *storeLink) Get(ctx context.Context, key string) (store.Pair, error) {
	return storeCall(ctx, l, false, func(x context.Context) (store.Pair, error) { return l.w.Store.Get(x, key) })
}

// List implements store.Store.
func (l *storeLink) List(ctx context.Context, prefix string, n int) ([]store.Pair, error) {
	return storeCall(ctx, l, false, func(x context.Context) ([]store.Pair, error) { return l.w.Store.List(x, prefix, n) })
}

// Commit implements store.Store.
func (l *storeLink) Commit(ctx context.Context, g []store.Guard, y []store.Write) (bool, error) {
	l.w.hook(commitStep(y[0].Key), l.p)
	return storeCall(ctx, l, true, func(x context.Context) (bool, error) { return l.w.Store.Commit(x, g, y) })
}

func commitStep(key string) string {
	switch {
	case len(key) > 16 && key[:16] == "/fieldvale/bill/":
		return StepFlush
	case key == "/fieldvale/config":
		return StepAccept
	}
	return ""
}

// CreateAll implements store.Store.
func (l *storeLink) CreateAll(ctx context.Context, y []store.Write) ([]store.Pair, error) {
	return storeCall(ctx, l, true, func(x context.Context) ([]store.Pair, error) { return l.w.Store.CreateAll(x, y) })
}

// Wait implements store.Store.
func (l *storeLink) Wait(ctx context.Context, key string, above int64) (store.Pair, error) {
	return storeCall(ctx, l, false, func(x context.Context) (store.Pair, error) { return l.w.Store.Wait(x, key, above) })
}

// peerLink is a node's way to other nodes.
type peerLink struct {
	w *World
	p *Proc
}

func peerCall[T any](ctx context.Context, w *World, p *Proc, id string, f func(*control.Node) (T, error)) (T, error) {
	var z T
	i := w.instance(id)
	if i == nil {
		return z, &LinkError{Cause: errors.Newf("no instance %s", id)}
	}
	n, c := i.node()
	return invoke(ctx, w, p, c, func(context.Context) (T, error) { return f(n) })
}

// Exchange implements control.Peers.
func (l *peerLink) Exchange(ctx context.Context, m peer.Member, q peer.Message) (peer.Reply, error) {
	return peerCall(ctx, l.w, l.p, m.ID, func(n *control.Node) (peer.Reply, error) { return n.Exchange(q), nil })
}

// Document implements control.Peers.
func (l *peerLink) Document(ctx context.Context, m peer.Member, above uint64) ([]byte, error) {
	l.w.hook(StepSpread, l.p)
	return peerCall(ctx, l.w, l.p, m.ID, func(n *control.Node) ([]byte, error) {
		d, b := n.Document()
		if d.Revision <= above {
			return nil, nil
		}
		return b, nil
	})
}

// HandOver implements control.Peers.
func (l *peerLink) HandOver(ctx context.Context, m peer.Member, r []bill.Record) error {
	_, err := peerCall(ctx, l.w, l.p, m.ID, func(n *control.Node) (bool, error) {
		n.Hold(r, nil)
		return true, nil
	})
	return err
}

// platformLink is a node's way to the platform's list and to backend servers.
type platformLink struct {
	w *World
	p *Proc
}

// Instances implements control.Platform.
func (l *platformLink) Instances(ctx context.Context) (platform.List, error) {
	return invoke(ctx, l.w, l.p, l.w.ListAt, func(context.Context) (platform.List, error) { return l.w.list(), nil })
}

// Load implements control.Platform.
func (l *platformLink) Load(ctx context.Context, r pool.Replica) (platform.Report, error) {
	b := l.w.Backend(r.ID)
	return invoke(ctx, l.w, l.p, b.Proc, func(context.Context) (platform.Report, error) { return b.report() })
}

// Unload implements control.Platform.
func (l *platformLink) Unload(ctx context.Context, r pool.Replica, v version.ID, fence uint64) error {
	b := l.w.Backend(r.ID)
	_, err := invoke(ctx, l.w, l.p, b.Proc, func(context.Context) (bool, error) { return true, b.unload(v, fence) })
	return err
}

// localLink is an entry's way to its own control.
type localLink struct {
	w *World
	i *Instance
}

// Sync implements process.Controller.
func (l *localLink) Sync(ctx context.Context, r control.Report) (control.Update, error) {
	l.w.hook(StepSync, l.i.Entry)
	n, c := l.i.node()
	return invoke(ctx, l.w, l.i.Entry, c, func(context.Context) (control.Update, error) { return n.Sync(r), nil })
}

// claimLink is an entry's way to make claims.
type claimLink struct {
	w *World
	i *Instance
}

// Claim implements entry.Claims.
func (l *claimLink) Claim(ctx context.Context, c claim.Claim) (claim.Verdict, claim.Claim, error) {
	type answer struct {
		v claim.Verdict
		c claim.Claim
	}
	l.w.hook(StepClaim, l.i.Entry)
	n, p := l.i.node()
	a, err := invoke(ctx, l.w, l.i.Entry, p, func(x context.Context) (answer, error) {
		v, f, err := n.Claim(x, c)
		return answer{v, f}, err
	})
	if err == nil {
		l.w.hook(StepClaimed, l.i.Entry)
	}
	return a.v, a.c, err
}

// Finish implements entry.Claims.
func (l *claimLink) Finish(ctx context.Context, c claim.Claim) error {
	n, p := l.i.node()
	_, err := invoke(ctx, l.w, l.i.Entry, p, func(x context.Context) (bool, error) { return true, n.Finish(x, c) })
	return err
}

// holdLink is an entry's way to have bills held.
type holdLink struct {
	w *World
	p *Proc
}

// Hold implements entry.Holder.
func (l *holdLink) Hold(ctx context.Context, m peer.Member, r bill.Record) (bill.Word, error) {
	l.w.hook(StepBill, l.p)
	return peerCall(ctx, l.w, l.p, m.ID, func(n *control.Node) (bill.Word, error) {
		return n.Hold([]bill.Record{r}, nil)[0], nil
	})
}

// Release implements entry.Holder.
func (l *holdLink) Release(ctx context.Context, m peer.Member, r bill.Record) error {
	_, err := peerCall(ctx, l.w, l.p, m.ID, func(n *control.Node) (bool, error) {
		n.Hold(nil, []bill.Record{r})
		return true, nil
	})
	return err
}

// rateLink is an entry's way to the rating service.
type rateLink struct {
	w *World
	p *Proc
}

var quality = regexp.MustCompile(`q=([0-9.]+)`)

// Rate implements entry.Rater.
func (l *rateLink) Rate(ctx context.Context, _, answer []byte) (float64, error) {
	l.w.hook(StepRate, l.p)
	return invoke(ctx, l.w, l.p, l.w.RatingAt, func(context.Context) (float64, error) {
		m := quality.FindSubmatch(answer)
		if m == nil {
			return 0, errors.New("world: the answer has no quality")
		}
		return strconv.ParseFloat(string(m[1]), 64)
	})
}

// backendError maps a broken link to what an adapter reports.
func backendError(id string, err error) error {
	var e *LinkError
	if !errors.As(err, &e) {
		return err
	}
	if e.Sent {
		return outcome.New(outcome.Unknown, "read", id, e.Cause)
	}
	return outcome.New(outcome.NotRun, "dial", id, e.Cause)
}

// engineLink is an entry's way to model engines.
type engineLink struct {
	w *World
	p *Proc
}

// Chat implements entry.Engines.
func (l *engineLink) Chat(ctx context.Context, r *pool.Replica, a entry.Attempt) (entry.Answer, error) {
	l.w.hook(StepDispatch, l.p)
	b := l.w.Backend(r.ID)
	v, err := invoke(ctx, l.w, l.p, b.Proc, func(x context.Context) (entry.Answer, error) { return b.chat(x, a, nil) })
	return v, backendError(r.ID, err)
}

// Stream implements entry.Engines. Chunks come only as long as both ends
// live and the link is whole.
func (l *engineLink) Stream(ctx context.Context, r *pool.Replica, a entry.Attempt, sink func([]byte) error) (entry.Answer, error) {
	l.w.hook(StepDispatch, l.p)
	b := l.w.Backend(r.ID)
	v, err := invoke(ctx, l.w, l.p, b.Proc, func(x context.Context) (entry.Answer, error) {
		return b.chat(x, a, func(n int, t []byte) error {
			if err := l.w.dial(x, b.Proc, l.p); err != nil {
				return outcome.New(outcome.Unknown, "stream", r.ID, err)
			}
			switch n {
			case 0:
				l.w.hook(StepFirst, l.p)
			case chunks / 2:
				l.w.hook(StepMid, l.p)
			}
			if err := l.p.gate(); err != nil {
				return outcome.New(outcome.Unknown, "stream", r.ID, err)
			}
			return sink(t)
		})
	})
	return v, backendError(r.ID, err)
}

// serviceLink is an entry's way to plain services.
type serviceLink struct {
	w *World
	p *Proc
}

// Call implements entry.Services.
func (l *serviceLink) Call(ctx context.Context, r *pool.Replica, c entry.ServiceCall) (entry.ServiceAnswer, error) {
	l.w.hook(StepDispatch, l.p)
	b := l.w.Backend(r.ID)
	v, err := invoke(ctx, l.w, l.p, b.Proc, func(x context.Context) (entry.ServiceAnswer, error) { return b.call(x, c) })
	return v, backendError(r.ID, err)
}
