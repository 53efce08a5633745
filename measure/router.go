package measure

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/expr-lang/expr"
	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"
	"go.starlark.net/syntax"

	"fieldvale/adapter/backend"
	"fieldvale/adapter/caller"
	"fieldvale/adapter/httpconn"
	"fieldvale/adapter/platform"
	"fieldvale/adapter/policyfile"
	"fieldvale/bill"
	"fieldvale/biller"
	"fieldvale/catalog"
	"fieldvale/config"
	"fieldvale/connlimit"
	"fieldvale/entry"
	"fieldvale/peer"
	"fieldvale/policy"
	"fieldvale/pool"
	"fieldvale/session"
	"fieldvale/standin/engine"
	"fieldvale/standin/rating"
	"fieldvale/standin/serve"
	"fieldvale/version"
)

// benchProgram is the policy program for which evaluation is measured.
const benchProgram = `
def allow(customer, model, version):
    return model == "m" or customer.tier != "bronze"

def route(customer, task, size):
    if task == "terminology" or customer.tier == "bronze":
        return [step("m")]
    return [step("m", accept = 0.7), step("n")]
`

// benchPolicyFiles returns the files of a policy with benchProgram.
func benchPolicyFiles() map[string]string {
	return map[string]string{
		policyfile.ProgramFile: benchProgram,
		policyfile.CasesFile:   "",
		policyfile.CatalogFile: "[team t]\n[version m@1]\ncost_out = 100\n[version n@1]\ncost_out = 900\n[task terminology]\n[customer c]\ntier = gold\nkey_sha256 = " + catalog.HashKey("key") + "\n",
	}
}

// newActiveConfig compiles the policy and returns a configuration with it in force.
func newActiveConfig() (*config.Compiled, error) {
	source, faults := policyfile.Parse(benchPolicyFiles())
	if len(faults) > 0 {
		return nil, faults[0]
	}
	active, faults := config.Compile(config.Document{Revision: 1, SessionKeys: []session.Key{session.NewKey()}, Parts: map[string]config.Part{"t": {Team: "t", Source: source}}})
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return active, nil
}

// Policy measures the time and the allocations of a routing decision: by the
// compiled table, and as baselines by Starlark or expr on each request.
func Policy(r *Report) error {
	active, err := newActiveConfig()
	if err != nil {
		return err
	}
	customer, _ := active.Caller("key")
	add := func(variant string, f func()) {
		result := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f()
			}
		})
		r.Add("policy", variant, "time_a_decision", float64(result.NsPerOp()), "ns")
		r.Add("policy", variant, "allocations_a_decision", float64(result.AllocsPerOp()), "count")
	}
	add("table (fieldvale)", func() { active.Decide(customer, "segment", policy.Small) })
	noneWithdrawn := func(version.ID) bool { return false }
	currentSession := session.New("s", "c", time.Time{})
	add("table and version (fieldvale)", func() {
		steps := active.Decide(customer, "segment", policy.Small)
		active.PickVersion(customer, steps[0].Model, currentSession, noneWithdrawn)
	})
	add("starlark on each request", newStarlarkCall())
	add("expr on each request", newExprCall())
	return nil
}

// newStarlarkCall returns a function that evaluates the policy's route function.
func newStarlarkCall() func() {
	builtins := starlark.StringDict{"step": starlark.NewBuiltin("step", func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
		return args[0], nil
	})}
	thread := &starlark.Thread{}
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{}, thread, "p", benchProgram, builtins)
	if err != nil {
		panic(err)
	}
	customer := starlarkstruct.FromStringDict(starlark.String("customer"), starlark.StringDict{"tier": starlark.String("gold")})
	args := starlark.Tuple{customer, starlark.String("segment"), starlark.String("small")}
	return func() { _, _ = starlark.Call(thread, globals["route"], args, nil) }
}

// newExprCall returns a function that evaluates the same rule as an expr program.
func newExprCall() func() {
	env := map[string]any{"task": "segment", "tier": "gold"}
	program, err := expr.Compile(`task == "terminology" || tier == "bronze" ? ["m"] : ["m", "n"]`, expr.Env(env))
	if err != nil {
		panic(err)
	}
	return func() { _, _ = expr.Run(program, env) }
}

// instantHolder accepts every bill without a call to another instance.
type instantHolder struct{}

func (instantHolder) Hold(context.Context, peer.Member, bill.Record) (bill.HoldResult, error) {
	return bill.HoldResult{}, nil
}

func (instantHolder) Release(context.Context, peer.Member, bill.Record) error { return nil }

const (
	// loadTime is the time for which clients send requests in each measurement.
	loadTime    = 4 * time.Second
	manyClients = 16
	chatBody    = `{"model":"m","messages":[{"role":"user","content":"<1> hello"}]}`
	autoBody    = `{"model":"auto","messages":[{"role":"user","content":"<1> hello"}]}`
)

// Router measures latency and throughput of calls to a stand-in of an engine:
// direct, through the entry, and through the entry with a rating of the answer.
func Router(r *Report, seed uint64) error {
	modelEngine := engine.New(engine.Settings{ID: "e", Slots: 256, QueueSize: 256, Models: map[string]engine.Model{"m@1": {Quality: 0.9}, "n@1": {Quality: 0.9}}})
	engineServer, err := serve.Listen("127.0.0.1:0", modelEngine.Handle)
	if err != nil {
		return err
	}
	defer engineServer.Close()
	ratingServer, err := serve.Listen("127.0.0.1:0", rating.New(0).Handle)
	if err != nil {
		return err
	}
	defer ratingServer.Close()
	listener, err := startEntry(engineServer.Addr, ratingServer.Addr, seed)
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	direct := `{"model":"m@1","messages":[{"role":"user","content":"<1> hello"}]}`
	for _, clients := range []int{1, manyClients} {
		name := map[int]string{1: "one client", manyClients: "16 clients"}[clients]
		directP50, directRate := runClients("http://"+engineServer.Addr+"/v1/chat/completions", direct, clients)
		entryP50, entryRate := runClients("http://"+listener.Addr().String()+"/v1/chat/completions", chatBody, clients)
		ratedP50, ratedRate := runClients("http://"+listener.Addr().String()+"/v1/chat/completions", autoBody, clients)
		for _, call := range []struct {
			variant   string
			p50, rate float64
		}{{"straight", directP50, directRate}, {"entry", entryP50, entryRate}, {"entry with rating", ratedP50, ratedRate}} {
			r.Add("router", call.variant+"/"+name, "latency_p50", call.p50*1e3, "ms")
			r.Add("router", call.variant+"/"+name, "throughput", call.rate, "requests/s")
		}
		r.Add("router", "entry/"+name, "added_latency_p50", (entryP50-directP50)*1e3, "ms")
	}
	return nil
}

// startEntry starts an entry for one engine and returns its listener.
func startEntry(engineAddr, ratingAddr string, seed uint64) (net.Listener, error) {
	active, err := newActiveConfig()
	if err != nil {
		return nil, err
	}
	view := entry.NewCurrentView()
	view.Put(entry.NewView(active, []pool.Replica{{ID: "e", Addr: engineAddr, Kind: pool.Engine, Slots: 256, Versions: []version.ID{version.New("m", "1"), version.New("n", "1")}}}, []peer.Member{{ID: "other"}}, nil))
	client := httpconn.New()
	router := entry.NewRouter(entry.Ports{
		View: view, Engines: backend.NewEngines(client), Services: backend.NewServices(client), Rater: platform.New(client, "", ratingAddr),
		Biller: biller.New(instantHolder{}, view.Members, "i", "i/1"), Clock: time.Now, Self: "i", Rand: rand.NewPCG(seed, seed),
	})
	server := caller.New(router, view, time.Now, func(string, string, int, time.Duration, string, string) {}, connlimit.New(time.Now, connlimit.Limits{}, nil, nil))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = server.Serve(listener, nil) }()
	return listener, nil
}

// runClients runs concurrent clients, each of which sends its next request after the previous
// answer. It returns the median latency in seconds and the answers per second.
func runClients(url, body string, clients int) (float64, float64) {
	transport := &http.Transport{MaxIdleConnsPerHost: clients}
	client := &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	var mu sync.Mutex
	var latencies []float64
	var stop atomic.Bool
	time.AfterFunc(loadTime, func() { stop.Store(true) })
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			var own []float64
			for !stop.Load() {
				start := time.Now()
				request, _ := http.NewRequest("POST", url, bytes.NewBufferString(body))
				request.Header.Set("Authorization", "Bearer key")
				response, err := client.Do(request)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					own = append(own, time.Since(start).Seconds())
				}
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, own...)
		})
	}
	group.Wait()
	return quantile(latencies, 0.5), float64(len(latencies)) / loadTime.Seconds()
}
