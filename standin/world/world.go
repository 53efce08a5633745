package world

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"fieldvale/adapter/platform"
	"fieldvale/bill"
	"fieldvale/biller"
	"fieldvale/control"
	"fieldvale/entry"
	"fieldvale/peer"
	"fieldvale/process"
	"fieldvale/rollout"
	"fieldvale/standin/kv"
)

// World is a small system with its platform and backend servers.
type World struct {
	Store   *kv.Memory
	StoreAt *Proc
	ListAt  *Proc
	// RatingAt is where answers are rated.
	RatingAt *Proc
	Times    control.Times
	// Hook is told of each step as it is about to be taken, and of the
	// process that takes it. It may be nil.
	Hook func(step string, p *Proc)
	// Log is told of each event of a node or entry; it may be nil.
	Log func(instance, event string, fields ...any)
	// ListLag is how old the platform's list is.
	ListLag time.Duration

	mu        sync.Mutex
	cuts      map[[2]string]bool
	fault     kv.Fault
	limited   bool
	storeSlow time.Duration
	instances []*Instance
	backends  []*Backend
	lists     []listed
	starts    int
}

type listed struct {
	at   time.Time
	list platform.List
}

// Instance is one entry with its control.
type Instance struct {
	ID      string
	Site    string
	Entry   *Proc
	Control *Proc
	Node    *control.Node
	Router  *entry.Router
	View    *entry.CurrentView
	Biller  *biller.Biller

	mu       sync.Mutex
	stopping bool
	inflight int
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// New returns a world with nothing in it.
func New(t control.Times) *World {
	return &World{
		Store: kv.NewMemory(), StoreAt: &Proc{Name: "store"}, ListAt: &Proc{Name: "list"}, RatingAt: &Proc{Name: "rating"},
		Times: t, cuts: map[[2]string]bool{},
	}
}

func (w *World) hook(step string, p *Proc) {
	if w.Hook != nil {
		w.Hook(step, p)
	}
}

func (w *World) log(instance, event string, f ...any) {
	if w.Log != nil {
		w.Log(instance, event, f...)
	}
}

// Cut stops what goes from one process to another, by name or by data
// centre; Mend lets it through again.
func (w *World) Cut(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{from, to}] = true
}

// Mend undoes Cut.
func (w *World) Mend(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cuts, [2]string{from, to})
}

// Any stands for all other processes in a cut.
const Any = "*"

func (w *World) isCut(from, to *Proc) bool {
	if from.Name == to.Name {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	f := []string{from.Name, "site:" + from.Site, Any}
	t := []string{to.Name, "site:" + to.Site, Any}
	if from.Site != "" && from.Site == to.Site {
		f, t = f[:1], t[:1]
	}
	for _, a := range f {
		for _, b := range t {
			if w.cuts[[2]string{a, b}] {
				return true
			}
		}
	}
	return false
}

// Start adds an instance and runs it.
func (w *World) Start(id, site string) *Instance {
	w.mu.Lock()
	w.starts++
	n := w.starts
	w.mu.Unlock()
	i := &Instance{ID: id, Site: site, Entry: &Proc{Name: id + "/entry", Site: site}, Control: &Proc{Name: id + "/control", Site: site}}
	w.startControl(i, n)
	w.startEntry(i, n)
	w.mu.Lock()
	w.instances = append(w.instances, i)
	w.mu.Unlock()
	return i
}

func (w *World) startControl(i *Instance, n int) {
	p := i.Control
	i.Node = control.New(control.Parts{
		Self: peer.Member{ID: i.ID, Addr: i.ID, DataCentre: i.Site}, Incarnation: fmt.Sprintf("%s/c%d", i.ID, n),
		Store: &storeLink{w, p}, Peers: &peerLink{w, p}, Platform: &platformLink{w, p}, Clock: time.Now, Times: w.Times,
		Rates: rollout.DefaultRates(), Log: func(event string, f ...any) { w.log(i.ID, event, f...) },
	})
	x := i.context()
	node := i.Node
	i.done.Go(func() { _ = node.Run(x) })
}

func (w *World) startEntry(i *Instance, n int) {
	p := i.Entry
	inc := fmt.Sprintf("%s/e%d", i.ID, n)
	i.View = entry.NewCurrentView()
	i.Biller = biller.New(&holdLink{w, p}, i.View.Members, i.ID, inc)
	i.Biller.Log = func(event string, f ...any) { w.log(i.ID, event, f...) }
	i.Router = entry.NewRouter(entry.Ports{
		View: i.View, Engines: &engineLink{w, p}, Services: &serviceLink{w, p}, Claims: &claimLink{w, i}, Rater: &rateLink{w, p},
		Biller: i.Biller, Clock: w.clock(p), Self: i.ID, Rand: rand.NewPCG(uint64(n), 1),
	})
	l := process.NewSyncer(&localLink{w, i}, i.View, i.Router, i.Biller, inc, func(event string, f ...any) { w.log(i.ID, event, f...) })
	x := i.context()
	i.done.Go(func() { _ = i.Router.Run(x) })
	i.done.Go(func() { l.Run(x, syncEvery, i.isStopping, func() {}) })
}

// context returns one that ends when the instance is killed.
func (i *Instance) context() context.Context {
	x, cancel := context.WithCancel(context.Background())
	o := i.cancel
	i.cancel = func() {
		cancel()
		if o != nil {
			o()
		}
	}
	return x
}

// clock tells the time to an entry; it first asks for it when the policy has
// decided on a request.
func (w *World) clock(p *Proc) func() time.Time {
	return func() time.Time {
		w.hook(StepDecide, p)
		return time.Now()
	}
}

const syncEvery = 200 * time.Millisecond

// RestartControl kills the control process and starts a new one.
func (w *World) RestartControl(i *Instance) {
	w.mu.Lock()
	w.starts++
	n := w.starts
	w.mu.Unlock()
	i.Control.Kill()
	i.mu.Lock()
	i.Control = &Proc{Name: i.ID + "/control", Site: i.Site}
	i.mu.Unlock()
	w.startControl(i, n)
}

func (i *Instance) isStopping() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.stopping
}

// node returns the control process that runs now.
func (i *Instance) node() (*control.Node, *Proc) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.Node, i.Control
}

// Kill ends both processes of the instance.
func (i *Instance) Kill() {
	i.Entry.Kill()
	i.Control.Kill()
	i.cancel()
}

// Stop is a planned stop: no new requests, those that run are answered, and
// the control hands over.
func (i *Instance) Stop(ctx context.Context) {
	i.mu.Lock()
	i.stopping = true
	i.mu.Unlock()
	for i.running() > 0 {
		time.Sleep(syncEvery)
	}
	i.Biller.Settle(ctx)
	time.Sleep(2 * syncEvery)
	n, _ := i.node()
	n.Stop(ctx)
	i.Kill()
}

func (i *Instance) running() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.inflight
}

// Ready reports whether a balancer would send requests to the entry.
func (i *Instance) Ready() bool {
	return i.Entry.Alive() && !i.isStopping() && i.View.Get().Active != nil
}

// Instances returns all instances that were started.
func (w *World) Instances() []*Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Instance(nil), w.instances...)
}

// Close ends everything that runs.
func (w *World) Close() {
	for _, b := range w.Backends() {
		b.Proc.Resume()
	}
	w.StoreAt.Resume()
	for _, i := range w.Instances() {
		i.Kill()
	}
	for _, i := range w.Instances() {
		i.done.Wait()
	}
}

// Publish puts the state of all instances and backend servers on the
// platform's list; readers see it after the lag.
func (w *World) Publish() {
	var l platform.List
	for _, i := range w.Instances() {
		if i.Control.Alive() {
			l.Members = append(l.Members, peer.Member{ID: i.ID, Addr: i.ID, DataCentre: i.Site})
		}
	}
	for _, b := range w.Backends() {
		if b.Proc.Alive() {
			l.Replicas = append(l.Replicas, b.replica())
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lists = append(w.lists, listed{time.Now(), l})
}

func (w *World) list() platform.List {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l platform.List
	for n, x := range w.lists {
		if n == 0 || time.Since(x.at) >= w.ListLag {
			l = x.list
		}
	}
	return l
}

// Billed returns the sums of all ledgers in the store.
func (w *World) Billed(ctx context.Context) map[bill.Line]bill.Amount {
	n := control.New(control.Parts{Self: peer.Member{ID: "reader"}, Store: kv.NewFake(w.Store), Clock: time.Now, Times: w.Times})
	m, err := n.Bills(ctx, "")
	if err != nil {
		return nil
	}
	return m
}

// instance returns the newest instance of that id.
func (w *World) instance(id string) *Instance {
	l := w.Instances()
	for n := len(l) - 1; n >= 0; n-- {
		if l[n].ID == id {
			return l[n]
		}
	}
	return nil
}

// Client is how a caller outside reaches an instance's entry.
type Client struct {
	W *World
	P *Proc
}

// Do calls f in the instance's entry, as one request of a caller. It fails
// with a *LinkError if the connection broke.
func Do[T any](ctx context.Context, c Client, i *Instance, f func(context.Context, *entry.Router, *entry.View) (T, error)) (T, error) {
	return invoke(ctx, c.W, c.P, i.Entry, func(context.Context) (T, error) {
		i.mu.Lock()
		i.inflight++
		i.mu.Unlock()
		defer func() {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.inflight--
		}()
		return f(ctx, i.Router, i.View.Get())
	})
}

// Admin calls f in the instance's control, as one call of an operator.
func Admin[T any](ctx context.Context, w *World, i *Instance, f func(context.Context, *control.Node) (T, error)) (T, error) {
	n, p := i.node()
	return invoke(ctx, w, &Proc{Name: "operator"}, p, func(x context.Context) (T, error) { return f(x, n) })
}
