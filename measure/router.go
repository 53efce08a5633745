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

const routerProgram = `
def allow(customer, model, version):
    return model == "m" or customer.tier != "bronze"

def route(customer, task, size):
    if task == "terminology" or customer.tier == "bronze":
        return [step("m")]
    return [step("m", accept = 0.7), step("n")]
`

func routerFiles() map[string]string {
	return map[string]string{
		policyfile.ProgramFile: routerProgram,
		policyfile.CasesFile:   "",
		policyfile.CatalogFile: "[team t]\n[version m@1]\ncost_out = 100\n[version n@1]\ncost_out = 900\n[task terminology]\n[customer c]\ntier = gold\nkey_sha256 = " + catalog.HashKey("key") + "\n",
	}
}

func routerActive() (*config.Active, error) {
	s, e := policyfile.Parse(routerFiles())
	if len(e) > 0 {
		return nil, e[0]
	}
	a, e := config.Activate(config.Document{Revision: 1, SessionKeys: []session.Key{session.NewKey()}, Parts: map[string]config.Part{"t": {Team: "t", Source: s}}})
	if len(e) > 0 {
		return nil, e[0]
	}
	return a, nil
}

// Policy compares the ways to evaluate a policy for a request.
func Policy(r *Report) error {
	a, err := routerActive()
	if err != nil {
		return err
	}
	c, _ := a.Caller("key")
	add := func(variant string, f func()) {
		b := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f()
			}
		})
		r.Add("policy", variant, "time_a_decision", float64(b.NsPerOp()), "ns")
		r.Add("policy", variant, "allocations_a_decision", float64(b.AllocsPerOp()), "count")
	}
	add("table (fieldvale)", func() { a.Decide(c, "segment", policy.Small) })
	none := func(version.ID) bool { return false }
	s := session.New("s", "c", time.Time{})
	add("table and version (fieldvale)", func() {
		p := a.Decide(c, "segment", policy.Small)
		a.Pick(c, p[0].Model, s, none)
	})
	add("starlark on each request", starlarkCall())
	add("expr on each request", exprCall())
	return nil
}

func starlarkCall() func() {
	b := starlark.StringDict{"step": starlark.NewBuiltin("step", func(_ *starlark.Thread, _ *starlark.Builtin, a starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
		return a[0], nil
	})}
	h := &starlark.Thread{}
	g, err := starlark.ExecFileOptions(&syntax.FileOptions{}, h, "p", routerProgram, b)
	if err != nil {
		panic(err)
	}
	c := starlarkstruct.FromStringDict(starlark.String("customer"), starlark.StringDict{"tier": starlark.String("gold")})
	a := starlark.Tuple{c, starlark.String("segment"), starlark.String("small")}
	return func() { _, _ = starlark.Call(h, g["route"], a, nil) }
}

func exprCall() func() {
	e := map[string]any{"task": "segment", "tier": "gold"}
	p, err := expr.Compile(`task == "terminology" || tier == "bronze" ? ["m"] : ["m", "n"]`, expr.Env(e))
	if err != nil {
		panic(err)
	}
	return func() { _, _ = expr.Run(p, e) }
}

// noHolder holds every bill at once.
type noHolder struct{}

func (noHolder) Hold(context.Context, peer.Member, bill.Record) (bill.Word, error) {
	return bill.Word{}, nil
}

func (noHolder) Release(context.Context, peer.Member, bill.Record) error { return nil }

const (
	routerTime    = 4 * time.Second
	routerClients = 16
	chatBody      = `{"model":"m","messages":[{"role":"user","content":"<1> hello"}]}`
	autoBody      = `{"model":"auto","messages":[{"role":"user","content":"<1> hello"}]}`
)

// Router measures what the entry adds to a call of an engine's stand-in.
func Router(r *Report, seed uint64) error {
	e := engine.New(engine.Settings{ID: "e", Slots: 256, Queue: 256, Models: map[string]engine.Model{"m@1": {Quality: 0.9}, "n@1": {Quality: 0.9}}})
	l, err := serve.On("127.0.0.1:0", e.Handle)
	if err != nil {
		return err
	}
	defer l.Close()
	q, err := serve.On("127.0.0.1:0", rating.New(0).Handle)
	if err != nil {
		return err
	}
	defer q.Close()
	n, err := startEntry(l.Addr, q.Addr, seed)
	if err != nil {
		return err
	}
	defer func() { _ = n.Close() }()
	direct := `{"model":"m@1","messages":[{"role":"user","content":"<1> hello"}]}`
	for _, k := range []int{1, routerClients} {
		name := map[int]string{1: "one client", routerClients: "16 clients"}[k]
		d50, dn := load("http://"+l.Addr+"/v1/chat/completions", direct, k)
		e50, en := load("http://"+n.Addr().String()+"/v1/chat/completions", chatBody, k)
		c50, cn := load("http://"+n.Addr().String()+"/v1/chat/completions", autoBody, k)
		for _, x := range []struct {
			v      string
			p50, s float64
		}{{"straight", d50, dn}, {"entry", e50, en}, {"entry with rating", c50, cn}} {
			r.Add("router", x.v+"/"+name, "latency_p50", x.p50*1e3, "ms")
			r.Add("router", x.v+"/"+name, "throughput", x.s, "requests/s")
		}
		r.Add("router", "entry/"+name, "added_latency_p50", (e50-d50)*1e3, "ms")
	}
	return nil
}

func startEntry(engineAddr, ratingAddr string, seed uint64) (net.Listener, error) {
	a, err := routerActive()
	if err != nil {
		return nil, err
	}
	v := entry.NewCurrentView()
	v.Put(entry.NewView(a, []pool.Replica{{ID: "e", Addr: engineAddr, Kind: pool.Engine, Slots: 256, Versions: []version.ID{version.New("m", "1"), version.New("n", "1")}}}, []peer.Member{{ID: "other"}}, nil))
	h := httpconn.New()
	o := entry.NewRouter(entry.Ports{
		View: v, Engines: backend.NewEngines(h), Services: backend.NewServices(h), Rater: platform.New(h, "", ratingAddr),
		Biller: biller.New(noHolder{}, v.Members, "i", "i/1"), Clock: time.Now, Self: "i", Rand: rand.NewPCG(seed, seed),
	})
	c := caller.New(o, v, time.Now, func(string, string, int, time.Duration, string, string) {})
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = c.Serve(n, nil) }()
	return n, nil
}

// load runs k clients in closed loops and returns the median latency in
// seconds and the answers a second.
func load(url, body string, k int) (float64, float64) {
	t := &http.Transport{MaxIdleConnsPerHost: k}
	c := &http.Client{Transport: t}
	defer t.CloseIdleConnections()
	var mu sync.Mutex
	var lat []float64
	var stop atomic.Bool
	time.AfterFunc(routerTime, func() { stop.Store(true) })
	var g sync.WaitGroup
	for range k {
		g.Go(func() {
			var l []float64
			for !stop.Load() {
				s := time.Now()
				q, _ := http.NewRequest("POST", url, bytes.NewBufferString(body))
				q.Header.Set("Authorization", "Bearer key")
				p, err := c.Do(q)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, p.Body)
				_ = p.Body.Close()
				if p.StatusCode == http.StatusOK {
					l = append(l, time.Since(s).Seconds())
				}
			}
			mu.Lock()
			defer mu.Unlock()
			lat = append(lat, l...)
		})
	}
	g.Wait()
	return quantile(lat, 0.5), float64(len(lat)) / routerTime.Seconds()
}
