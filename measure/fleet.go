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

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// countingConn adds the bytes that it reads and writes to a shared counter.
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

// fleet runs many real nodes, the control parts of instances, in one process. They
// exchange messages over loopback with the real code, share an in-memory store, and
// poll the engines' load over loopback too.
type fleet struct {
	nodes  []*control.Node
	stores []*kv.Fake
	list   *platform.InstanceList
	// drainingID is the id of the engine that reports that it is draining.
	drainingID atomic.Pointer[string]
	peerBytes  atomic.Int64
	loadBytes  atomic.Int64
	heldBills  atomic.Int64
	// useCallerIDs makes callers choose the request ids, so that each bill is held by the
	// instances that peer.Holders returns instead of by those near its entry.
	useCallerIDs atomic.Bool
	stop         context.CancelFunc
	done         sync.WaitGroup
	servers      []*http.Server
	engines      []net.Listener
}

const (
	fleetKey = "measure-fleet-key"
	// engineCount is the number of replicas that each instance polls. A large fleet
	// has fewer, because all of its connections must fit into one process.
	engineCount           = 24
	largeFleetEngineCount = 4
	dataCentres           = 9
	// billsPerSecond is the number of requests per second of one instance at the
	// target load.
	billsPerSecond = 10
)

// fleetPlatform is the platform that a fleet's nodes use: it calls the engines with
// the real code and reads the instance list from memory.
type fleetPlatform struct {
	*platform.Client
	f *fleet
}

func (p fleetPlatform) Instances(context.Context) (platform.InstanceList, error) {
	return *p.f.list, nil
}

// Load returns the engine's load, marked as leaving if the engine is the one in
// drainingID.
func (p fleetPlatform) Load(ctx context.Context, r pool.Replica) (platform.EngineReport, error) {
	o, err := p.Client.Load(ctx, r)
	if l := p.f.drainingID.Load(); l != nil && *l == r.ID {
		o.Draining = true
	}
	return o, err
}

// newFleet starts a fleet of n nodes with its engines.
func newFleet(n int) (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{list: &platform.InstanceList{}, stop: cancel}
	if err := f.startEngines(n); err != nil {
		return nil, err
	}
	store := kv.NewMemory()
	var listeners []net.Listener
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, countingListener{listener, &f.peerBytes})
		f.list.Members = append(f.list.Members, peer.Member{ID: fmt.Sprintf("i%03d", i), Addr: listener.Addr().String(), DataCentre: fmt.Sprint("dc", i%dataCentres)})
	}
	for i, member := range f.list.Members {
		fake := kv.NewFake(store)
		node := control.New(control.Options{
			Self: member, Incarnation: member.ID + "/1", Store: fake, Peers: rpc.NewPeers(fleetKey),
			Platform: fleetPlatform{platform.New(httpconn.New(), "", ""), f}, Clock: time.Now, Times: control.DefaultTimes(), Rates: rollout.DefaultRates(),
		})
		server := rpc.NewServer(rpc.PeerHandler(node, fleetKey))
		f.nodes, f.stores, f.servers = append(f.nodes, node), append(f.stores, fake), append(f.servers, server)
		go func() { _ = server.Serve(listeners[i]) }()
		f.done.Go(func() { _ = node.Run(ctx) })
	}
	return f, nil
}

// startEngines starts the engines for a fleet of that many nodes.
func (f *fleet) startEngines(nodes int) error {
	count := engineCount
	if nodes > maxFleetWithCallerIDs {
		count = largeFleetEngineCount
	}
	for i := range count {
		modelEngine := engine.New(engine.Settings{ID: fmt.Sprint("e", i), Slots: 8, Models: map[string]engine.Model{"m@1": {}, "m@2": {}, "n@1": {}}})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		server := &fasthttp.Server{Handler: modelEngine.Handle}
		go func() { _ = server.Serve(countingListener{listener, &f.loadBytes}) }()
		f.engines = append(f.engines, listener)
		f.list.Replicas = append(f.list.Replicas, pool.Replica{ID: fmt.Sprint("e", i), Addr: listener.Addr().String(), Kind: pool.Engine, Slots: 8})
	}
	return nil
}

// close stops the nodes and closes all listeners.
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

// runEntries simulates the entries until ctx ends: each synchronizes with its node
// and has bills held at the rate of the target load.
func (f *fleet) runEntries(ctx context.Context, group *sync.WaitGroup) {
	peers := rpc.NewPeers(fleetKey)
	for i, n := range f.nodes {
		group.Go(func() {
			ledger := bill.NewLedger(fmt.Sprint("e", i))
			update := control.EntryUpdate{}
			ticker := time.NewTicker(time.Second / billsPerSecond)
			defer ticker.Stop()
			for seq := uint64(1); ctx.Err() == nil; seq++ {
				record := bill.Record{RequestID: fmt.Sprint(i, "/", seq), Owner: ledger.Owner, Seq: seq, Line: bill.Line{Team: "t", Customer: fmt.Sprint("c", seq%10), Version: version.New("m", "1")}, Amount: bill.Amount{Requests: 1}}
				holders, _ := peer.PartnerHolders(n.Self.ID, n.Self.DataCentre, f.list.Members)
				if f.useCallerIDs.Load() {
					holders, _ = peer.Holders(record.RequestID, f.list.Members)
				}
				for _, member := range holders {
					if _, err := peers.Hold(ctx, member, record); err == nil {
						f.heldBills.Add(1)
					}
				}
				ledger = ledger.With(record)
				if seq%2 == 0 {
					received := n.Sync(control.EntryReport{Incarnation: ledger.Owner, Revision: futureRevision, View: update.View, ControlIncarnation: update.ControlIncarnation, Ledger: ledger})
					if received.HasView {
						update = received
					}
				}
				select {
				case <-ticker.C:
				case <-ctx.Done():
				}
			}
		})
	}
}

// cpuSeconds returns the processor time that this process has used.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Sec+usage.Stime.Sec) + float64(usage.Utime.Usec+usage.Stime.Usec)/1e6
}

// storeCalls returns the number of all nodes' calls to the store.
func (f *fleet) storeCalls() (reads, writes int) {
	for _, s := range f.stores {
		reads += s.Calls("get") + s.Calls("list") + s.Calls("wait")
		writes += s.Calls("commit") + s.Calls("create")
	}
	return reads, writes
}

// fleetChange returns the change that accepts policy number n; each number gives
// different files.
func fleetChange(n int) config.Change {
	files := map[string]string{
		policyfile.CatalogFile: "[team t]\n[version m@1]\n[version m@2]\n[customer c]\nkey_sha256 = " + catalog.HashKey("k") + "\n",
		policyfile.ProgramFile: fmt.Sprintf("# %d\ndef allow(customer, model, version):\n    return True\ndef route(customer, task, size):\n    return [step(\"m\")]\n", n),
		policyfile.CasesFile:   "",
	}
	source, _ := policyfile.Parse(files)
	return config.Change{ID: fmt.Sprint("c", n), Team: "t", Who: "measure", Why: "measure", At: time.Now(), Action: audit.Accept, BaseRevision: config.AnyBase, Source: source, Key: session.NewKey()}
}

// futureRevision is the configuration revision that the simulated entries report. It
// is higher than any real one, so that no node sends them the configuration.
const futureRevision = 1 << 40

// fleetSizes lists the default sizes, in nodes.
var fleetSizes = []int{7, 35, 100, 350}

const (
	// maxFleetWithCallerIDs is the largest fleet that is measured with ids that callers
	// choose, because all of its connections must fit into one process.
	maxFleetWithCallerIDs = 100
	settleTime            = 10 * time.Second
	measureTime           = 8 * time.Second
	// heartbeatSpacing is the measuring time per node. It is slightly longer than the
	// time by which a node's heartbeat interval grows with each node of the fleet, so
	// that a measurement includes a heartbeat of each node.
	heartbeatSpacing = 72 * time.Millisecond
	spreadRounds     = 5
	spreadTimeout    = 15 * time.Second
)

// Fleet measures, for each size of fleet, the cost of the control processes and the
// time in which changes reach all nodes.
func Fleet(r *Report, sizes []int) error {
	if len(sizes) == 0 {
		sizes = fleetSizes
	}
	for _, n := range sizes {
		if err := measureFleetSize(r, n); err != nil {
			return err
		}
	}
	return nil
}

// measureFleetSize runs all measurements on a fleet of n nodes.
func measureFleetSize(r *Report, n int) error {
	f, err := newFleet(n)
	if err != nil {
		return err
	}
	defer f.close()
	variant := fmt.Sprint(n)
	if _, err := f.nodes[0].Change(context.Background(), fleetChange(0)); err != nil {
		return err
	}
	time.Sleep(settleTime)
	f.measureSteady(r, variant, "control-idle")
	ctx, cancel := context.WithCancel(context.Background())
	var entries sync.WaitGroup
	f.runEntries(ctx, &entries)
	time.Sleep(2 * time.Second)
	f.measureSteady(r, variant, "control")
	if n <= maxFleetWithCallerIDs {
		f.useCallerIDs.Store(true)
		time.Sleep(2 * time.Second)
		f.measureSteady(r, variant, "control-named-ids")
		f.useCallerIDs.Store(false)
	}
	// All nodes share one machine: the simulated entries would use processor time that
	// the next measurements need.
	cancel()
	entries.Wait()
	f.measureSpread(r, variant)
	f.measureDraining(r, variant)
	return nil
}

// measureSteady measures a fleet without configuration changes. The processor time
// is that of the whole process, which includes stand-ins and simulated entries. Peer
// traffic is counted at the listening end only and doubled, because both ends of a
// connection are nodes.
func (f *fleet) measureSteady(r *Report, variant, item string) {
	bills0 := f.heldBills.Load()
	peer0, load0, cpu0 := f.peerBytes.Load(), f.loadBytes.Load(), cpuSeconds()
	reads0, writes0 := f.storeCalls()
	start := time.Now()
	time.Sleep(max(measureTime, time.Duration(len(f.nodes))*heartbeatSpacing))
	elapsed, n := time.Since(start).Seconds(), float64(len(f.nodes))
	peer1, load1, cpu1 := f.peerBytes.Load(), f.loadBytes.Load(), cpuSeconds()
	reads1, writes1 := f.storeCalls()
	r.Add(item, variant, "processor_of_a_core", (cpu1-cpu0)/elapsed/n*100, "percent")
	r.Add(item, variant, "peer_traffic", 2*float64(peer1-peer0)/elapsed/n/1000, "kB/s")
	r.Add(item, variant, "load_traffic", float64(load1-load0)/elapsed/n/1000, "kB/s")
	r.Add(item, variant, "store_reads_of_fleet", float64(reads1-reads0)/elapsed, "calls/s")
	r.Add(item, variant, "store_writes_of_fleet", float64(writes1-writes0)/elapsed, "calls/s")
	r.Add(item, variant, "bills_held", float64(f.heldBills.Load()-bills0)/elapsed/n, "records/s")
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	r.Add(item, variant, "heap_of_a_node", float64(stats.HeapAlloc)/n/1e6, "MB")
	members := 0
	for _, node := range f.nodes {
		members += len(node.Members())
	}
	r.Add(item, variant, "members_known", float64(members)/n, "count")
}

// measureSpread measures the time until a change is in force on all nodes.
func (f *fleet) measureSpread(r *Report, variant string) {
	var all []float64
	worst := 0.0
	for round := range spreadRounds {
		start := time.Now()
		change, err := f.nodes[round%len(f.nodes)].Change(context.Background(), fleetChange(round+1))
		if err != nil {
			continue
		}
		times := f.awaitAll(start, func(n *control.Node) bool { document, _ := n.Document(); return document.Revision >= change.Revision })
		all = append(all, times...)
		worst = max(worst, quantile(times, 1))
	}
	r.Add("spread", variant, "in_force_p50", quantile(all, 0.5), "s")
	r.Add("spread", variant, "in_force_p99", quantile(all, 0.99), "s")
	r.Add("spread", variant, "in_force_last", worst, "s")
}

// awaitAll returns for each node the seconds from start until ok reports true for
// it, or spreadTimeout if it does not within that time.
func (f *fleet) awaitAll(start time.Time, ok func(*control.Node) bool) []float64 {
	times := make([]float64, len(f.nodes))
	left := len(times)
	for left > 0 && time.Since(start) < spreadTimeout {
		for i, n := range f.nodes {
			if times[i] == 0 && ok(n) {
				times[i] = time.Since(start).Seconds()
				left--
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	for i := range times {
		if times[i] == 0 {
			times[i] = spreadTimeout.Seconds()
		}
	}
	return times
}

// measureDraining measures the time until no node would send new work to a backend
// server that reports that it is draining.
func (f *fleet) measureDraining(r *Report, variant string) {
	id := f.list.Replicas[0].ID
	start := time.Now()
	f.drainingID.Store(&id)
	times := f.awaitAll(start, func(n *control.Node) bool {
		for _, replica := range n.Replicas() {
			if replica.ID == id {
				return replica.Draining
			}
		}
		return false
	})
	r.Add("leaving", variant, "known_p50", quantile(times, 0.5), "s")
	r.Add("leaving", variant, "known_last", quantile(times, 1), "s")
}
