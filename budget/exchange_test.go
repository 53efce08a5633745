package budget

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"fieldvale/peer"
)

// network delivers datagrams between budgets when deliver is called.
type network struct {
	budgets map[string]*Budget
	queue   []datagram
	events  []string
}

type datagram struct {
	from, to string
	body     []byte
}

type port struct {
	net  *network
	self string
}

func (p port) Send(addr string, b []byte) error {
	p.net.queue = append(p.net.queue, datagram{p.self, addr, b})
	return nil
}

// deliver delivers each waiting datagram the given number of times, and the answers.
func (n *network) deliver(times int) {
	for len(n.queue) > 0 {
		d := n.queue[0]
		n.queue = n.queue[1:]
		for range times {
			n.budgets[d.to].Receive(d.from, d.body)
		}
	}
}

// pair returns a busy instance, an idle one and the instance that keeps the pool for both.
func pair(now *time.Time) (n *network, busy, idle, keeper *Budget) {
	n = &network{budgets: map[string]*Budget{}}
	for _, id := range []string{"busy", "idle", "keeper"} {
		b := New(Config{
			Limit: Limit{Ratio: 0.9, Burst: 6}, FleetSize: func() int { return 3 }, Clock: func() time.Time { return *now }, Restarted: true,
			Self: peer.Member{ID: id, Addr: id}, Process: 7, Net: port{n, id}, Log: func(e string, f ...any) { n.events = append(n.events, fmt.Sprint(e, f)) },
		})
		b.SetMembers([]peer.Member{{ID: "keeper", Addr: "keeper"}})
		n.budgets[id] = b
	}
	return n, n.budgets["busy"], n.budgets["idle"], n.budgets["keeper"]
}

// exchangeOnce has both instances send their deposits.
func (n *network) exchangeOnce(now *time.Time, times int) {
	*now = now.Add(exchangeInterval)
	n.budgets["idle"].Tick()
	n.deliver(times)
	n.budgets["busy"].Tick()
	n.deliver(times)
}

// What one instance earns beyond its capacity must serve another one that has none left, and no
// datagram that arrives twice may make it more.
func TestSurplusServesOthersOnce(t *testing.T) {
	for _, times := range []int{1, 2} {
		now := noon
		n, busy, idle, keeper := pair(&now)
		// An account that is younger than a window holds more and has no surplus yet.
		idle.RecordRequest("s")
		now = now.Add(windowLength)
		n.exchangeOnce(&now, times)
		for range 60 {
			idle.RecordRequest("s")
		}
		busy.RecordRequest("s")
		n.exchangeOnce(&now, times)
		earned := 61 * earnedPart * 0.9
		kept := idle.Accounts()["s"].Held
		pooled := keeper.exchange.pools["s"].held
		received := busy.Accounts()["s"].Held - earnedPart*0.9
		if received <= 0.5 {
			t.Errorf("each datagram %d times: the busy instance received %.2f retries, want more than 0.5", times, received)
		}
		if got := kept + pooled + received; got > earned {
			t.Errorf("each datagram %d times: got %.2f retries from %.2f earned", times, got, earned)
		}
		if limit := pooledPart * 0.9 * 61; pooled > limit {
			t.Errorf("each datagram %d times: the pool holds %.2f retries, want at most %.2f", times, pooled, limit)
		}
	}
}

// What was earned while an instance had no pool, or stood still, must not be sent later.
func TestOldSurplusIsDropped(t *testing.T) {
	now := noon
	_, _, idle, keeper := pair(&now)
	n := idle.config.Net.(port).net
	n.exchangeOnce(&now, 1)
	for range 60 {
		idle.RecordRequest("s")
	}
	now = now.Add(maxExchangeDelay + time.Millisecond)
	idle.Tick()
	n.deliver(1)
	if p := keeper.exchange.pools["s"]; p != nil && p.held > 0 {
		t.Errorf("the pool holds %.2f retries of an old surplus, want 0", p.held)
	}
}

// Grants that arrive too late, or after a restart, must not count: what they
// belong to is of an earlier window.
func TestLateGrantsAreDropped(t *testing.T) {
	now := noon
	n, busy, idle, _ := pair(&now)
	for range 60 {
		idle.RecordRequest("s")
	}
	busy.RecordRequest("s")
	now = now.Add(exchangeInterval)
	idle.Tick()
	n.deliver(1)
	busy.Tick()
	d := n.queue[0]
	n.queue = nil
	n.budgets["keeper"].Receive(d.from, d.body)
	answer := n.queue[0]
	now = now.Add(maxExchangeDelay + time.Millisecond)
	held := busy.Accounts()["s"].Held
	busy.Receive("keeper", answer.body)
	if got := busy.Accounts()["s"].Held; got != held {
		t.Errorf("a late grant raised the account from %.2f to %.2f", held, got)
	}
}

// Impossible numbers must be logged and change nothing.
func TestInvalidDepositsAreLogged(t *testing.T) {
	now := noon
	n, _, _, keeper := pair(&now)
	for i, w := range []wireDeposit{{Surplus: -1, Requests: 10}, {Surplus: 11, Requests: 10}, {Wanted: exchangeBelow + 1, Requests: 10}, {Requests: -1}} {
		b, err := encode(message{Process: 1, Number: uint64(i + 1), From: "x", Deposits: map[string]wireDeposit{"s": w}})
		if err != nil {
			t.Fatal(err)
		}
		keeper.Receive("x", b)
	}
	if len(n.events) != 4 || len(keeper.exchange.pools) != 0 {
		t.Errorf("got events %q and %d pools, want 4 events and no pool", n.events, len(keeper.exchange.pools))
	}
}

// Members in the instance's own data centre are preferred, as datagrams between data centres cost
// more.
func TestPoolIsInOwnDataCentre(t *testing.T) {
	for i := range 20 {
		b := New(Config{Self: peer.Member{ID: fmt.Sprint("n", i), DataCentre: "b"}, Clock: func() time.Time { return noon }})
		var m []peer.Member
		for j := range 9 {
			m = append(m, peer.Member{ID: fmt.Sprint("m", j), Addr: fmt.Sprint("m", j), DataCentre: string("abc"[j/3])})
		}
		b.SetMembers(m)
		if got := b.exchange.poolAddr; got < "m3" || got > "m5" {
			t.Errorf("n%d has its pool at %q, want m3 to m5", i, got)
		}
		b.SetMembers(m[:3])
		if got := b.exchange.poolAddr; got == "" {
			t.Errorf("n%d has no pool, want one of another data centre", i)
		}
	}
}

// Any datagram must leave the accounts and pools within their capacities.
func FuzzReceive(f *testing.F) {
	b, _ := json.Marshal(message{Process: 1, Number: 1, From: "x", Deposits: map[string]wireDeposit{"s": {Surplus: 1, Wanted: 1, Requests: 9}}})
	f.Add(b)
	b, _ = json.Marshal(message{Process: 7, Number: 1, Grants: map[string]float64{"s": 2}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		now := noon
		_, busy, _, _ := pair(&now)
		busy.RecordRequest("s")
		now = now.Add(exchangeInterval)
		busy.Tick()
		busy.Receive("x", b)
		if a := busy.Accounts()["s"]; !(a.Held >= 0 && a.Held <= a.Capacity) {
			t.Errorf("the account holds %g retries, want 0 to %g", a.Held, a.Capacity)
		}
		for s, p := range busy.exchange.pools {
			if c := p.capacity(now); !(p.held >= 0 && p.held <= c) {
				t.Errorf("the pool of %q holds %g retries, want 0 to %g", s, p.held, c)
			}
		}
	})
}
