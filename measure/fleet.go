package measure

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"fieldvale/adapter/httpconn"
	"fieldvale/adapter/platform"
	"fieldvale/adapter/policyfile"
	"fieldvale/adapter/rpc"
	"fieldvale/audit"
	"fieldvale/bill"
	"fieldvale/catalog"
	"fieldvale/config"
	"fieldvale/control"
	"fieldvale/peer"
	"fieldvale/pool"
	"fieldvale/rollout"
	"fieldvale/session"
	"fieldvale/standin/engine"
	"fieldvale/standin/kv"
	"fieldvale/version"
)

// countingListener counts the bytes of all its connections, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.bytes}, nil
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// fleet is many real nodes in one process, which talk over loopback by the
// real exchange code, with a store in memory and engines that are asked for
// their load over loopback too.
type fleet struct {
	nodes   []*control.Node
	stores  []*kv.Fake
	list    *platform.List
	leaving atomic.Pointer[string]
	peers   atomic.Int64
	loads   atomic.Int64
	holds   atomic.Int64
	// named says that requests have ids of their callers.
	named   atomic.Bool
	stop    context.CancelFunc
	done    sync.WaitGroup
	servers []*http.Server
	engines []net.Listener
}

const (
	fleetKey = "measure-fleet-key"
	// fleetEngines are the replicas that one instance knows; a large fleet
	// gets fewer, for its connections must fit into one process.
	fleetEngines = 24
	fewEngines   = 4
	dataCentres  = 9
	// billRate is the requests a second of one instance at the target.
	billRate = 10
)

// fleetPlatform is the platform as the nodes of a fleet see it: the real way
// to the engines, and a list in memory.
type fleetPlatform struct {
	*platform.Platform
	f *fleet
}

func (p fleetPlatform) Instances(context.Context) (platform.List, error) { return *p.f.list, nil }

func (p fleetPlatform) Load(ctx context.Context, r pool.Replica) (platform.Report, error) {
	o, err := p.Platform.Load(ctx, r)
	if l := p.f.leaving.Load(); l != nil && *l == r.ID {
		o.Leaving = true
	}
	return o, err
}

// newFleet starts n nodes.
func newFleet(n int) (*fleet, error) {
	x, cancel := context.WithCancel(context.Background())
	f := &fleet{list: &platform.List{}, stop: cancel}
	if err := f.startEngines(n); err != nil {
		return nil, err
	}
	m := kv.NewMemory()
	var lis []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		lis = append(lis, countingListener{l, &f.peers})
		f.list.Members = append(f.list.Members, peer.Member{ID: fmt.Sprintf("i%03d", i), Addr: l.Addr().String(), DataCentre: fmt.Sprint("dc", i%dataCentres)})
	}
	for i, p := range f.list.Members {
		s := kv.NewFake(m)
		o := control.New(control.Parts{
			Self: p, Incarnation: p.ID + "/1", Store: s, Peers: rpc.NewPeers(fleetKey),
			Platform: fleetPlatform{platform.New(httpconn.New(), "", ""), f}, Clock: time.Now, Times: control.DefaultTimes(), Rates: rollout.DefaultRates(),
		})
		v := rpc.NewServer(rpc.PeerHandler(o, fleetKey))
		f.nodes, f.stores, f.servers = append(f.nodes, o), append(f.stores, s), append(f.servers, v)
		go func() { _ = v.Serve(lis[i]) }()
		f.done.Go(func() { _ = o.Run(x) })
	}
	return f, nil
}

func (f *fleet) startEngines(nodes int) error {
	k := fleetEngines
	if nodes > namedMost {
		k = fewEngines
	}
	for i := range k {
		e := engine.New(engine.Settings{ID: fmt.Sprint("e", i), Slots: 8, Models: map[string]engine.Model{"m@1": {}, "m@2": {}, "n@1": {}}})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s := &fasthttp.Server{Handler: e.Handle}
		go func() { _ = s.Serve(countingListener{l, &f.loads}) }()
		f.engines = append(f.engines, l)
		f.list.Replicas = append(f.list.Replicas, pool.Replica{ID: fmt.Sprint("e", i), Addr: l.Addr().String(), Kind: pool.Engine, Slots: 8})
	}
	return nil
}

func (f *fleet) close() {
	f.stop()
	f.done.Wait()
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, l := range f.engines {
		_ = l.Close()
	}
}

// entries plays the entries' part: each swaps with its node and has bills
// held as often as at the target.
func (f *fleet) entries(ctx context.Context, g *sync.WaitGroup) {
	p := rpc.NewPeers(fleetKey)
	for i, n := range f.nodes {
		g.Go(func() {
			e := bill.NewLedger(fmt.Sprint("e", i))
			u := control.Update{}
			t := time.NewTicker(time.Second / billRate)
			defer t.Stop()
			for k := uint64(1); ctx.Err() == nil; k++ {
				r := bill.Record{RequestID: fmt.Sprint(i, "/", k), Owner: e.Owner, Seq: k, Line: bill.Line{Team: "t", Customer: fmt.Sprint("c", k%10), Version: version.New("m", "1")}, Add: bill.Amount{Requests: 1}}
				h, _ := peer.NearHolders(n.Self.ID, n.Self.DataCentre, f.list.Members)
				if f.named.Load() {
					h, _ = peer.Holders(r.RequestID, f.list.Members)
				}
				for _, m := range h {
					if _, err := p.Hold(ctx, m, r); err == nil {
						f.holds.Add(1)
					}
				}
				e = e.With(r)
				if k%2 == 0 {
					x := n.Sync(control.Report{Incarnation: e.Owner, Revision: fleetRevision, View: u.View, Control: u.Control, Ledger: e})
					if x.Fresh {
						u = x
					}
				}
				select {
				case <-t.C:
				case <-ctx.Done():
				}
			}
		})
	}
}

func processorSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}

func (f *fleet) storeCalls() (reads, writes int) {
	for _, s := range f.stores {
		reads += s.Calls("get") + s.Calls("list") + s.Calls("wait")
		writes += s.Calls("commit") + s.Calls("create")
	}
	return reads, writes
}

func fleetChange(n int) config.Change {
	files := map[string]string{
		policyfile.CatalogFile: "[team t]\n[version m@1]\n[version m@2]\n[customer c]\nkey_sha256 = " + catalog.HashKey("k") + "\n",
		policyfile.ProgramFile: fmt.Sprintf("# %d\ndef allow(customer, model, version):\n    return True\ndef route(customer, task, size):\n    return [step(\"m\")]\n", n),
		policyfile.CasesFile:   "",
	}
	s, _ := policyfile.Parse(files)
	return config.Change{ID: fmt.Sprint("c", n), Team: "t", Who: "measure", Why: "measure", At: time.Now(), Action: audit.Accept, Base: config.AnyBase, Source: s, Key: session.NewKey()}
}

// fleetRevision is higher than any that is measured: no entry takes documents.
const fleetRevision = 1 << 40

// Sizes of fleets that are measured.
var fleetSizes = []int{7, 35, 100, 350}

const (
	// namedMost is the largest fleet that is measured with ids of callers:
	// its connections must fit into one process.
	namedMost    = 100
	settleFleet  = 10 * time.Second
	measureFleet = 8 * time.Second
	// beats, by instance, is somewhat longer than heartbeats are apart, so
	// that each instance is measured with one.
	beats        = 72 * time.Millisecond
	spreadRounds = 5
	spreadLimit  = 15 * time.Second
)

// Fleet measures the control's cost and the spread of changes by size.
func Fleet(r *Report, sizes []int) error {
	if len(sizes) == 0 {
		sizes = fleetSizes
	}
	for _, n := range sizes {
		if err := fleetRun(r, n); err != nil {
			return err
		}
	}
	return nil
}

func fleetRun(r *Report, n int) error {
	f, err := newFleet(n)
	if err != nil {
		return err
	}
	defer f.close()
	v := fmt.Sprint(n)
	if _, err := f.nodes[0].Change(context.Background(), fleetChange(0)); err != nil {
		return err
	}
	time.Sleep(settleFleet)
	f.steady(r, v, "control-idle")
	x, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	f.entries(x, &g)
	time.Sleep(2 * time.Second)
	f.steady(r, v, "control")
	if n <= namedMost {
		f.named.Store(true)
		time.Sleep(2 * time.Second)
		f.steady(r, v, "control-named-ids")
		f.named.Store(false)
	}
	// All nodes share one machine here: the players of entries would take the
	// processor from what is measured next.
	cancel()
	g.Wait()
	f.spread(r, v)
	f.leave(r, v)
	return nil
}

// steady measures a fleet in which nothing is changed. The processor time is
// that of the whole measuring process: stand-ins and players of entries too.
func (f *fleet) steady(r *Report, v, item string) {
	h0 := f.holds.Load()
	p0, l0, c0 := f.peers.Load(), f.loads.Load(), processorSeconds()
	r0, w0 := f.storeCalls()
	t := time.Now()
	time.Sleep(max(measureFleet, time.Duration(len(f.nodes))*beats))
	s, n := time.Since(t).Seconds(), float64(len(f.nodes))
	p1, l1, c1 := f.peers.Load(), f.loads.Load(), processorSeconds()
	r1, w1 := f.storeCalls()
	r.Add(item, v, "processor_of_a_core", (c1-c0)/s/n*100, "percent")
	r.Add(item, v, "peer_traffic", 2*float64(p1-p0)/s/n/1000, "kB/s")
	r.Add(item, v, "load_traffic", float64(l1-l0)/s/n/1000, "kB/s")
	r.Add(item, v, "store_reads_of_fleet", float64(r1-r0)/s, "calls/s")
	r.Add(item, v, "store_writes_of_fleet", float64(w1-w0)/s, "calls/s")
	r.Add(item, v, "bills_held", float64(f.holds.Load()-h0)/s/n, "records/s")
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	r.Add(item, v, "heap_of_a_node", float64(m.HeapAlloc)/n/1e6, "MB")
	h := 0
	for _, x := range f.nodes {
		h += len(x.Members())
	}
	r.Add(item, v, "members_known", float64(h)/n, "count")
}

// spread measures the time until a change is in force on all nodes.
func (f *fleet) spread(r *Report, v string) {
	var all []float64
	worst := 0.0
	for k := range spreadRounds {
		t := time.Now()
		c, err := f.nodes[k%len(f.nodes)].Change(context.Background(), fleetChange(k+1))
		if err != nil {
			continue
		}
		l := f.await(t, func(n *control.Node) bool { d, _ := n.Document(); return d.Revision >= c.Revision })
		all = append(all, l...)
		worst = max(worst, quantile(l, 1))
	}
	r.Add("spread", v, "in_force_p50", quantile(all, 0.5), "s")
	r.Add("spread", v, "in_force_p99", quantile(all, 0.99), "s")
	r.Add("spread", v, "in_force_last", worst, "s")
}

// await returns, for each node, the time until f holds for it.
func (f *fleet) await(t time.Time, ok func(*control.Node) bool) []float64 {
	l := make([]float64, len(f.nodes))
	left := len(l)
	for left > 0 && time.Since(t) < spreadLimit {
		for i, n := range f.nodes {
			if l[i] == 0 && ok(n) {
				l[i] = time.Since(t).Seconds()
				left--
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	for i := range l {
		if l[i] == 0 {
			l[i] = spreadLimit.Seconds()
		}
	}
	return l
}

// leave measures the time until no node would send new work to a backend
// server that says that it leaves.
func (f *fleet) leave(r *Report, v string) {
	id := f.list.Replicas[0].ID
	t := time.Now()
	f.leaving.Store(&id)
	l := f.await(t, func(n *control.Node) bool {
		for _, x := range n.Replicas() {
			if x.ID == id {
				return x.Draining
			}
		}
		return false
	})
	r.Add("leaving", v, "known_p50", quantile(l, 0.5), "s")
	r.Add("leaving", v, "known_last", quantile(l, 1), "s")
}
