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

// World is a system of instances with its platform, store and backend servers.
type World struct {
	Store *kv.Memory
	// StoreProc, ListProc and RatingProc are the processes of the store, of the
	// platform's instance list and of the rating service.
	StoreProc  *Proc
	ListProc   *Proc
	RatingProc *Proc
	Times      control.Times
	// OnStep, if not nil, is called before each step, with the process that
	// takes it.
	OnStep func(step string, p *Proc)
	// Log, if not nil, receives the log events of all nodes and entries.
	Log func(instance, event string, fields ...any)
	// ListDelay is the delay until readers see a new version of the platform's
	// list.
	ListDelay time.Duration

	mu            sync.Mutex
	partitions    map[[2]string]bool
	storeFault    kv.Fault
	storeLimited  bool
	storeDelay    time.Duration
	instances     []*Instance
	backends      []*Backend
	listVersions  []listVersion
	processStarts int
}

// listVersion is one published version of the platform's list.
type listVersion struct {
	publishedAt time.Time
	list        platform.InstanceList
}

// Instance is one instance: its entry process and its control process.
type Instance struct {
	ID         string
	DataCentre string
	Entry      *Proc
	Control    *Proc
	Node       *control.Node
	Router     *entry.Router
	View       *entry.CurrentView
	Biller     *biller.Biller

	mu       sync.Mutex
	stopping bool
	inflight int
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// New returns a world without instances and backend servers.
func New(t control.Times) *World {
	return &World{
		Store: kv.NewMemory(), StoreProc: &Proc{Name: "store"}, ListProc: &Proc{Name: "list"}, RatingProc: &Proc{Name: "rating"},
		Times: t, partitions: map[[2]string]bool{},
	}
}

// step calls OnStep.
func (w *World) step(step string, p *Proc) {
	if w.OnStep != nil {
		w.OnStep(step, p)
	}
}

func (w *World) log(instance, event string, f ...any) {
	if w.Log != nil {
		w.Log(instance, event, f...)
	}
}

// Partition drops all messages from one process to another until Heal. Each
// argument is a process name, "site:" and a data centre, or AnyProcess.
func (w *World) Partition(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitions[[2]string{from, to}] = true
}

// Heal ends a partition made by Partition with the same arguments.
func (w *World) Heal(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.partitions, [2]string{from, to})
}

// AnyProcess matches all other processes in a partition.
const AnyProcess = "*"

// isPartitioned reports whether messages from one process to another are dropped.
// Partitions by data centre and by AnyProcess do not affect two processes of the
// same data centre.
func (w *World) isPartitioned(from, to *Proc) bool {
	if from.Name == to.Name {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	f := []string{from.Name, "site:" + from.DataCentre, AnyProcess}
	t := []string{to.Name, "site:" + to.DataCentre, AnyProcess}
	if from.DataCentre != "" && from.DataCentre == to.DataCentre {
		f, t = f[:1], t[:1]
	}
	for _, a := range f {
		for _, b := range t {
			if w.partitions[[2]string{a, b}] {
				return true
			}
		}
	}
	return false
}

// Start adds an instance and starts its entry and control.
func (w *World) Start(id, dataCentre string) *Instance {
	w.mu.Lock()
	w.processStarts++
	n := w.processStarts
	w.mu.Unlock()
	i := &Instance{ID: id, DataCentre: dataCentre, Entry: &Proc{Name: id + "/entry", DataCentre: dataCentre}, Control: &Proc{Name: id + "/control", DataCentre: dataCentre}}
	w.startControl(i, n)
	w.startEntry(i, n)
	w.mu.Lock()
	w.instances = append(w.instances, i)
	w.mu.Unlock()
	return i
}

// startControl starts a node in the instance's control process; n makes its
// incarnation unique.
func (w *World) startControl(i *Instance, n int) {
	p := i.Control
	i.Node = control.New(control.Options{
		Self: peer.Member{ID: i.ID, Addr: i.ID, DataCentre: i.DataCentre}, Incarnation: fmt.Sprintf("%s/c%d", i.ID, n),
		Store: &storeClient{w, p}, Peers: &peerClient{w, p}, Platform: &platformClient{w, p}, Clock: time.Now, Times: w.Times,
		Rates: rollout.DefaultRates(), Log: func(event string, f ...any) { w.log(i.ID, event, f...) },
	})
	x := i.newContext()
	node := i.Node
	i.done.Go(func() { _ = node.Run(x) })
}

// startEntry starts a router in the instance's entry process; n makes its
// incarnation unique and seeds its random numbers.
func (w *World) startEntry(i *Instance, n int) {
	p := i.Entry
	inc := fmt.Sprintf("%s/e%d", i.ID, n)
	i.View = entry.NewCurrentView()
	i.Biller = biller.New(&billClient{w, p}, i.View.Members, i.ID, inc)
	i.Biller.Log = func(event string, f ...any) { w.log(i.ID, event, f...) }
	i.Router = entry.NewRouter(entry.Ports{
		View: i.View, Engines: &engineClient{w, p}, Services: &serviceClient{w, p}, Claims: &claimClient{w, i}, Rater: &ratingClient{w, p},
		Biller: i.Biller, Clock: w.clock(p), Self: i.ID, Rand: rand.NewPCG(uint64(n), 1),
	})
	l := process.NewSyncer(&controlClient{w, i}, i.View, i.Router, i.Biller, inc, func(event string, f ...any) { w.log(i.ID, event, f...) })
	x := i.newContext()
	i.done.Go(func() { _ = i.Router.Run(x) })
	i.done.Go(func() { l.Run(x, syncInterval, i.isStopping, func() {}) })
}

// newContext returns a context that ends when the instance is killed.
func (i *Instance) newContext() context.Context {
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

// clock returns the clock of an entry. Each reading reports StepDecide, since the
// router first reads its clock when the policy has decided on a request.
func (w *World) clock(p *Proc) func() time.Time {
	return func() time.Time {
		w.step(StepDecide, p)
		return time.Now()
	}
}

// syncInterval is the interval between the syncs of an entry with its control.
const syncInterval = 200 * time.Millisecond

// RestartControl kills the instance's control process and starts a new one.
func (w *World) RestartControl(i *Instance) {
	w.mu.Lock()
	w.processStarts++
	n := w.processStarts
	w.mu.Unlock()
	i.Control.Kill()
	i.mu.Lock()
	i.Control = &Proc{Name: i.ID + "/control", DataCentre: i.DataCentre}
	i.mu.Unlock()
	w.startControl(i, n)
}

func (i *Instance) isStopping() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.stopping
}

// currentNode returns the node and the control process that are in use now.
func (i *Instance) currentNode() (*control.Node, *Proc) {
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

// Stop shuts the instance down gracefully: it gets no new requests, completes
// those in progress, and its control hands its bill records over to peers.
func (i *Instance) Stop(ctx context.Context) {
	i.mu.Lock()
	i.stopping = true
	i.mu.Unlock()
	for i.inflightRequests() > 0 {
		time.Sleep(syncInterval)
	}
	i.Biller.SettlePending(ctx)
	time.Sleep(2 * syncInterval)
	n, _ := i.currentNode()
	n.Stop(ctx)
	i.Kill()
}

func (i *Instance) inflightRequests() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.inflight
}

// Ready reports whether a load balancer would send requests to the entry.
func (i *Instance) Ready() bool {
	return i.Entry.Alive() && !i.isStopping() && i.View.Get().Active != nil
}

// Instances returns all instances that were started, in this order.
func (w *World) Instances() []*Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Instance(nil), w.instances...)
}

// Close kills all instances and waits for their goroutines.
func (w *World) Close() {
	for _, b := range w.Backends() {
		b.Proc.Resume()
	}
	w.StoreProc.Resume()
	for _, i := range w.Instances() {
		i.Kill()
	}
	for _, i := range w.Instances() {
		i.done.Wait()
	}
}

// PublishList publishes a version of the platform's list with all instances and
// backend servers that run; readers see it after ListDelay.
func (w *World) PublishList() {
	var l platform.InstanceList
	for _, i := range w.Instances() {
		if i.Control.Alive() {
			l.Members = append(l.Members, peer.Member{ID: i.ID, Addr: i.ID, DataCentre: i.DataCentre})
		}
	}
	for _, b := range w.Backends() {
		if b.Proc.Alive() {
			l.Replicas = append(l.Replicas, b.replica())
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listVersions = append(w.listVersions, listVersion{time.Now(), l})
}

// visibleList returns the newest version that is at least ListDelay old. The first
// version is visible at once.
func (w *World) visibleList() platform.InstanceList {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l platform.InstanceList
	for n, x := range w.listVersions {
		if n == 0 || time.Since(x.publishedAt) >= w.ListDelay {
			l = x.list
		}
	}
	return l
}

// Billed returns the sums of all ledgers in the store, or nil if they cannot be
// read.
func (w *World) Billed(ctx context.Context) map[bill.Line]bill.Amount {
	n := control.New(control.Options{Self: peer.Member{ID: "reader"}, Store: kv.NewFake(w.Store), Clock: time.Now, Times: w.Times})
	m, err := n.BillTotals(ctx, "")
	if err != nil {
		return nil
	}
	return m
}

// latestInstance returns the instance with that ID that was started last, or nil.
func (w *World) latestInstance(id string) *Instance {
	l := w.Instances()
	for n := len(l) - 1; n >= 0; n-- {
		if l[n].ID == id {
			return l[n]
		}
	}
	return nil
}

// Client is a process outside the system that calls entries.
type Client struct {
	W *World
	P *Proc
}

// CallEntry calls f in the instance's entry process, as one request of a client. It
// fails with a *CallError if the connection fails.
func CallEntry[T any](ctx context.Context, c Client, i *Instance, f func(context.Context, *entry.Router, *entry.View) (T, error)) (T, error) {
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

// CallControl calls f in the instance's control process, as one call of an operator.
// It fails with a *CallError if the connection fails.
func CallControl[T any](ctx context.Context, w *World, i *Instance, f func(context.Context, *control.Node) (T, error)) (T, error) {
	n, p := i.currentNode()
	return invoke(ctx, w, &Proc{Name: "operator"}, p, func(x context.Context) (T, error) { return f(x, n) })
}
