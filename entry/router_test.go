package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"fieldvale/audit"
	"fieldvale/bill"
	"fieldvale/biller"
	"fieldvale/catalog"
	"fieldvale/claim"
	"fieldvale/config"
	"fieldvale/outcome"
	"fieldvale/peer"
	"fieldvale/policy"
	"fieldvale/pool"
	"fieldvale/session"
	"fieldvale/standin/seed"
	"fieldvale/version"
)

var _ = seed.Fix()

// backendsFake answers each attempt with the next outcome of its script and records what ran.
type backendsFake struct {
	script []outcome.Kind
	ran    []version.ID
	tried  int
}

func (f *backendsFake) next(v version.ID) error {
	k := outcome.Ran
	if f.tried < len(f.script) {
		k = f.script[f.tried]
	}
	f.tried++
	if k != outcome.NotRun {
		f.ran = append(f.ran, v)
	}
	if k == outcome.Ran {
		return nil
	}
	return outcome.New(k, "test", "replica", errors.New("scripted"))
}

func (f *backendsFake) Chat(_ context.Context, _ *pool.Replica, a Attempt) (Answer, error) {
	return Answer{Text: "text", Body: []byte("text"), TokensOut: 5}, f.next(a.Version)
}

func (f *backendsFake) Stream(ctx context.Context, r *pool.Replica, a Attempt, sink func([]byte) error) (Answer, error) {
	x, err := f.Chat(ctx, r, a)
	if err == nil {
		err = sink([]byte("chunk"))
	}
	return x, err
}

func (f *backendsFake) Call(context.Context, *pool.Replica, ServiceCall) (ServiceAnswer, error) {
	return ServiceAnswer{Status: 200}, f.next(version.ID{})
}

// portsFake fakes the other ports: claims fail with claimErr, and all ratings are the same.
type portsFake struct {
	claimErr    error
	rating      float64
	billsHeld   int
	claimsFreed int
	claimsRan   int
}

func (f *portsFake) Claim(_ context.Context, c claim.Claim) (claim.Verdict, claim.Claim, error) {
	return claim.Send, c, f.claimErr
}

func (f *portsFake) Finish(_ context.Context, c claim.Claim) error {
	if c.State == claim.NotRun {
		f.claimsFreed++
		return nil
	}
	f.claimsRan++
	return nil
}

func (f *portsFake) Hold(context.Context, peer.Member, bill.Record) (bill.HoldResult, error) {
	f.billsHeld++
	return bill.HoldResult{}, nil
}

func (f *portsFake) Release(context.Context, peer.Member, bill.Record) error { return nil }

func (f *portsFake) Rate(context.Context, []byte, []byte) (float64, error) { return f.rating, nil }

const policyProgram = `
def allow(customer, model, version):
    return customer.tier == "gold" or model != "large" 
def route(customer, task, size):
    if customer.tier == "gold":
        return [step("small", accept = 0.5), step("large")]
    return [step("small")]
`

var versions = []version.ID{version.New("large", "1"), version.New("small", "1"), version.New("small", "2")}

func newTestRouter(t interface{ Fatal(...any) }, b *backendsFake, f *portsFake) (*Router, *CurrentView) {
	c := catalog.Catalog{Team: "t", Services: []catalog.Service{{Name: "desk", NonIdempotentCalls: []string{"confirm"}}, {Name: "checked", NonIdempotentCalls: []string{"confirm"}, ChecksIdempotencyKey: true}}}
	for i, tier := range []string{"gold", "bronze"} {
		c.Customers = append(c.Customers, catalog.Customer{Name: tier, Tier: tier, Share: 1, KeyHashes: []string{fmt.Sprintf("%064x", i)}})
	}
	for _, v := range versions {
		c.Versions = append(c.Versions, catalog.Version{ID: v, CostOut: 1000})
	}
	d, _, err := config.Document{}.Apply(config.Change{ID: "1", Team: "t", Action: audit.Accept, BaseRevision: config.AnyBase, Source: policy.Source{Program: policyProgram, Catalog: c}})
	if err != nil {
		t.Fatal(err)
	}
	a, e := config.Compile(d)
	if len(e) > 0 {
		t.Fatal(e)
	}
	var r []pool.Replica
	for n := range 4 {
		r = append(r, pool.Replica{ID: fmt.Sprint("e", n), Kind: pool.Engine, Slots: 4, Versions: versions}, pool.Replica{ID: fmt.Sprint("d", n), Kind: pool.Service, Service: "desk", Slots: 4}, pool.Replica{ID: fmt.Sprint("c", n), Kind: pool.Service, Service: "checked", Slots: 4})
	}
	v := NewCurrentView()
	v.Put(NewView(a, r, []peer.Member{{ID: "other", DataCentre: "x"}}, nil))
	return NewRouter(Ports{View: v, Engines: b, Services: b, Claims: f, Rater: f, Biller: biller.New(f, v.Members, "me", "me/1"), Clock: time.Now, Self: "me", Rand: rand.NewPCG(1, 1)}), v
}

func customerOf(v *CurrentView, name string) config.Caller {
	c, _ := v.Get().Active.Document().Part("t").Source.Catalog.Customer(name)
	return config.Caller{Team: "t", Customer: c}
}

func request(v *CurrentView, customer, model string) Request {
	return Request{ID: "id", Caller: customerOf(v, customer), Task: "chat", Model: model, Deadline: time.Now().Add(time.Minute), Session: session.New("s", customer, time.Now().Add(time.Hour))}
}

var kinds = rapid.SliceOfN(rapid.SampledFrom([]outcome.Kind{outcome.Unknown, outcome.NotRun, outcome.Ran}), 0, 8)

// A request runs only on versions that its customer may use, and one reported as "not run" did
// not run, whatever the backend servers do.
func TestOnlyAllowedVersionsRunAndNotRunIsCorrect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &backendsFake{script: kinds.Draw(t, "script")}
		f := &portsFake{rating: rapid.Float64Range(0, 1).Draw(t, "rating")}
		r, v := newTestRouter(t, b, f)
		c := rapid.SampledFrom([]string{"gold", "bronze"}).Draw(t, "customer")
		q := request(v, c, rapid.SampledFrom([]string{AutoModel, "", "small", "large", "large@1", "small@2", "none"}).Draw(t, "model"))
		for range rapid.IntRange(0, 2).Draw(t, "pins") {
			q.Session = q.Session.WithPin(rapid.SampledFrom(versions).Draw(t, "pin"))
		}
		var err error
		if rapid.Bool().Draw(t, "stream") {
			err = r.Stream(t.Context(), q, &nullSink{})
		} else {
			_, _, err = r.Chat(t.Context(), q)
		}
		for _, x := range b.ran {
			if c == "bronze" && x.Model == "large" {
				t.Fatalf("a bronze customer's request ran on %s", x)
			}
		}
		if err != nil && failed(err).Outcome == outcome.NotRun && len(b.ran) > 0 {
			t.Fatalf("the caller got %v, but the request ran on %v", err, b.ran)
		}
		if err == nil && f.billsHeld != 1 {
			t.Fatalf("an answered request was billed %d times, want 1", f.billsHeld)
		}
	})
}

type nullSink struct{}

func (nullSink) Head(Result) error  { return nil }
func (nullSink) Chunk([]byte) error { return nil }

// A request that may not be repeated is sent again only if it is known not to have run, and its
// claim is freed only then.
func TestOnceIsRetriedOnlyIfNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &backendsFake{script: kinds.Draw(t, "script")}
		f := &portsFake{}
		r, v := newTestRouter(t, b, f)
		_, err := r.Call(t.Context(), ServiceRequest{ID: "id", Caller: customerOf(v, "gold"), Service: "desk", Call: "confirm", IdempotencyKey: "k", Deadline: time.Now().Add(time.Minute)})
		if len(b.ran) > 1 {
			t.Fatalf("ran %d times after %v, want at most once", len(b.ran), b.script)
		}
		if f.claimsFreed > 0 && len(b.ran) > 0 {
			t.Fatalf("the claim was freed though %v may have run", b.script)
		}
		if err != nil && failed(err).Outcome == outcome.NotRun && len(b.ran) > 0 {
			t.Fatalf("the caller got %v after %v", err, b.script)
		}
	})
}

func TestOnceWithoutClaims(t *testing.T) {
	for _, c := range []struct {
		service string
		key     string
		ran     int
		code    Code
	}{
		{"desk", "k", 0, ClaimsUnavailable},
		{"desk", "", 0, IdempotencyKeyRequired},
		{"checked", "k", 1, ""},
		{"none", "k", 0, ServiceNotFound},
	} {
		b := &backendsFake{}
		r, v := newTestRouter(t, b, &portsFake{claimErr: errors.New("store unavailable")})
		_, err := r.Call(t.Context(), ServiceRequest{ID: "id", Caller: customerOf(v, "gold"), Service: c.service, Call: "confirm", IdempotencyKey: c.key, Deadline: time.Now().Add(time.Minute)})
		var f *Failure
		if errors.As(err, &f) != (c.code != "") || f != nil && (f.Code != c.code || f.Outcome != outcome.NotRun) || len(b.ran) != c.ran {
			t.Errorf("%s with key %q: ran %d times, %v; want %d and %q", c.service, c.key, len(b.ran), err, c.ran, c.code)
		}
	}
}

// The deadline passes while the process is paused after its claim: after the pause nothing is
// sent.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	b := &backendsFake{}
	f := &portsFake{}
	r, v := newTestRouter(t, b, f)
	_, err := r.Call(t.Context(), ServiceRequest{ID: "id", Caller: customerOf(v, "gold"), Service: "desk", Call: "confirm", IdempotencyKey: "k", Deadline: time.Now().Add(-time.Second)})
	if err == nil || len(b.ran) != 0 || failed(err).Outcome != outcome.NotRun {
		t.Errorf("ran %d times with error %v, want 0 and a not run error", len(b.ran), err)
	}
}

func TestCascade(t *testing.T) {
	for _, c := range []struct {
		name   string
		rating float64
		script []outcome.Kind
		want   string
		below  bool
	}{
		{"cheap is good enough", 0.9, nil, "small", false},
		{"cheap is not", 0.2, nil, "large", false},
		{"large fails, cheap is better than nothing", 0.2, []outcome.Kind{outcome.Ran, outcome.Unknown, outcome.Unknown, outcome.Unknown}, "small", true},
		{"cheap fails", 0.9, []outcome.Kind{outcome.Unknown, outcome.Unknown, outcome.Unknown, outcome.Ran}, "large", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, v := newTestRouter(t, &backendsFake{script: c.script}, &portsFake{rating: c.rating})
			_, x, err := r.Chat(t.Context(), request(v, "gold", AutoModel))
			if err != nil || x.Version.Model != c.want || x.BelowTarget != c.below {
				t.Errorf("answered by %s, below target %t, %v; want %s, %t", x.Version, x.BelowTarget, err, c.want, c.below)
			}
		})
	}
}

func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCurrentView()
		d := config.Document{}
		var high uint64
		for range rapid.IntRange(1, 20).Draw(t, "puts") {
			d.Revision = uint64(rapid.IntRange(0, 9).Draw(t, "revision"))
			a, _ := config.Compile(d)
			c.Put(NewView(a, nil, nil, nil))
			high = max(high, d.Revision)
			if g := c.Get().Active.Revision(); g != high {
				t.Fatalf("revision %d is in force, want %d", g, high)
			}
		}
	})
}

func TestIsReadyOnceEnginesHaveReported(t *testing.T) {
	a, _ := config.Compile(config.Document{Revision: 1})
	e := func(v ...version.ID) pool.Replica { return pool.Replica{Kind: pool.Engine, Versions: v} }
	for _, c := range []struct {
		name string
		view *View
		want bool
	}{
		{"no configuration", NewView(nil, []pool.Replica{e(versions[0])}, nil, nil), false},
		{"no backend server", NewView(a, nil, nil, nil), false},
		{"engines that reported nothing", NewView(a, []pool.Replica{e(), e(), {Kind: pool.Service}}, nil, nil), false},
		{"half of the engines reported", NewView(a, []pool.Replica{e(versions[0]), e()}, nil, nil), true},
		{"a plain service alone", NewView(a, []pool.Replica{{Kind: pool.Service}}, nil, nil), true},
	} {
		if g := c.view.IsReady(); g != c.want {
			t.Errorf("%s: %t, want %t", c.name, g, c.want)
		}
	}
}
