package process

import (
	"context"
	"sync"
	"time"

	"fieldvale/adapter/codec"
	"fieldvale/biller"
	"fieldvale/config"
	"fieldvale/control"
	"fieldvale/entry"
)

// Controller is the control process beside an entry.
type Controller interface {
	Sync(ctx context.Context, r control.Report) (control.Update, error)
}

// Link keeps an entry and its control process informed of each other. While
// the control process is not reached the entry goes on with what it holds.
type Link struct {
	control     Controller
	view        *entry.CurrentView
	router      *entry.Router
	biller      *biller.Biller
	incarnation string
	log         func(event string, fields ...any)

	mu      sync.Mutex
	seen    control.Update
	failing bool
	// settled stays once the control has said so: an entry does not become
	// unready because its control starts anew.
	settled bool
}

// NewLink returns a link of the entry's incarnation.
func NewLink(c Controller, v *entry.CurrentView, r *entry.Router, b *biller.Biller, incarnation string, log func(string, ...any)) *Link {
	return &Link{control: c, view: v, router: r, biller: b, incarnation: incarnation, log: log}
}

// syncTimeout bounds one swap.
const syncTimeout = 2 * time.Second

// Run swaps every so often until ctx ends; stopping says that the entry is.
// done is called after each swap that succeeded.
func (l *Link) Run(ctx context.Context, every time.Duration, stopping func() bool, done func()) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		if l.Sync(ctx, stopping()) {
			done()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Sync swaps once and reports whether it succeeded.
func (l *Link) Sync(ctx context.Context, stopping bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	u, err := l.control.Sync(x, control.Report{
		Incarnation: l.incarnation, Revision: l.revision(), View: l.seen.View, Control: l.seen.Control,
		Ledger: l.biller.Ledger(), AloneUpto: l.biller.AloneUpto(), Evidence: l.router.Evidence(), Running: l.router.InFlight(), Stopping: stopping,
	})
	if err != nil {
		if !l.failing {
			l.log("control_lost", "error", err, "revision", l.revision())
		}
		l.failing = true
		return false
	}
	if l.failing {
		l.failing = false
		l.log("control_back")
	}
	l.settled = l.settled || u.Settled
	l.apply(u)
	return true
}

// Ready reports whether requests can be answered and billed.
func (l *Link) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settled && l.view.Get().IsReady()
}

func (l *Link) revision() uint64 {
	if a := l.view.Get().Active; a != nil {
		return a.Revision()
	}
	return 0
}

func (l *Link) apply(u control.Update) {
	a := l.view.Get().Active
	if len(u.Document) > 0 {
		if n, err := activate(u.Document); err != nil {
			l.log("config_unusable", "error", err)
		} else {
			a = n
			l.log("config_in_force", "revision", a.Revision())
		}
	}
	if !u.Fresh {
		l.view.Put(l.view.Get().WithActive(a))
		return
	}
	l.view.Put(entry.NewView(a, u.Replicas, u.Members, u.Tripped))
	l.seen = u
}

func activate(b []byte) (*config.Active, error) {
	d, err := codec.DecodeDocument(b)
	if err != nil {
		return nil, err
	}
	a, x := config.Activate(d)
	if len(x) > 0 {
		return nil, x[0]
	}
	return a, nil
}
