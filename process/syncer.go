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

// ControlClient calls the control process that runs beside an entry.
type ControlClient interface {
	Sync(ctx context.Context, r control.EntryReport) (control.EntryUpdate, error)
}

// Syncer exchanges state between an entry and its control process: it reports the entry's
// bills, outcomes and load, and applies the configuration, replicas and members that it gets.
// While the control process can't be reached, the entry goes on with the state that it has.
type Syncer struct {
	control     ControlClient
	view        *entry.CurrentView
	router      *entry.Router
	biller      *biller.Biller
	incarnation string
	log         func(event string, fields ...any)

	mu sync.Mutex
	// lastViewUpdate is the last update that included replicas and members.
	lastViewUpdate control.EntryUpdate
	// disconnected is set while exchanges fail, so that the loss is logged once.
	disconnected bool
	// controlSettled is set once the control process has reported that it is settled. It is
	// never reset, so that an entry stays ready when its control process restarts.
	controlSettled bool
}

// NewSyncer returns a syncer for the entry's incarnation.
func NewSyncer(c ControlClient, v *entry.CurrentView, r *entry.Router, b *biller.Biller, incarnation string, log func(string, ...any)) *Syncer {
	return &Syncer{control: c, view: v, router: r, biller: b, incarnation: incarnation, log: log}
}

// syncTimeout bounds one exchange.
const syncTimeout = 2 * time.Second

// Run exchanges state at the interval until ctx ends. stopping reports whether the entry is
// stopping; onSynced is called after each successful exchange.
func (l *Syncer) Run(ctx context.Context, interval time.Duration, stopping func() bool, onSynced func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		if l.Sync(ctx, stopping()) {
			onSynced()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Sync exchanges state once and reports whether that succeeded.
func (l *Syncer) Sync(ctx context.Context, stopping bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	u, err := l.control.Sync(callCtx, control.EntryReport{
		Incarnation: l.incarnation, Revision: l.revision(), View: l.lastViewUpdate.View, ControlIncarnation: l.lastViewUpdate.ControlIncarnation,
		Ledger: l.biller.Ledger(), LastUnheldSeq: l.biller.LastUnheldSeq(), Evidence: l.router.Evidence(), InFlight: l.router.InFlight(), Stopping: stopping,
	})
	if err != nil {
		if !l.disconnected {
			l.log("control_lost", "error", err, "revision", l.revision())
		}
		l.disconnected = true
		return false
	}
	if l.disconnected {
		l.disconnected = false
		l.log("control_back")
	}
	l.controlSettled = l.controlSettled || u.Ready
	l.applyUpdate(u)
	return true
}

// Ready reports whether the entry can answer and bill requests.
func (l *Syncer) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controlSettled && l.view.Get().IsReady()
}

// revision returns the revision of the configuration in force; 0 if there is none.
func (l *Syncer) revision() uint64 {
	if a := l.view.Get().Active; a != nil {
		return a.Revision()
	}
	return 0
}

// applyUpdate puts the update in force. A configuration that can't be used is logged, and the
// one before it stays in force.
func (l *Syncer) applyUpdate(u control.EntryUpdate) {
	a := l.view.Get().Active
	if len(u.Document) > 0 {
		if n, err := decodeAndActivate(u.Document); err != nil {
			l.log("config_unusable", "error", err)
		} else {
			a = n
			l.log("config_in_force", "revision", a.Revision())
		}
	}
	if !u.HasView {
		l.view.Put(l.view.Get().WithActive(a))
		return
	}
	l.view.Put(entry.NewView(a, u.Replicas, u.Members, u.Tripped))
	l.lastViewUpdate = u
}

// decodeAndActivate returns the configuration in an encoded document, or the first error that
// prevents its use.
func decodeAndActivate(b []byte) (*config.Compiled, error) {
	d, err := codec.DecodeDocument(b)
	if err != nil {
		return nil, err
	}
	a, x := config.Compile(d)
	if len(x) > 0 {
		return nil, x[0]
	}
	return a, nil
}
