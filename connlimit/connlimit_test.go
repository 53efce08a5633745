package connlimit_test

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"fieldvale/connlimit"
)

// headTimeout is the time for a head in all tests.
const headTimeout = 5 * time.Second

// script is a limiter with named connections and a clock that the steps set.
type script struct {
	t       *testing.T
	now     time.Time
	limiter *connlimit.Limiter
	conns   map[string]*connlimit.Conn
	// interrupted counts the calls that interrupted each connection.
	interrupted map[string]int
}

func newScript(t *testing.T) *script {
	return &script{t: t, now: start, conns: map[string]*connlimit.Conn{}, interrupted: map[string]int{}}
}

var start = time.Unix(1_700_000_000, 0)

// newLimiter returns a limiter with that clock.
func newLimiter(clock func() time.Time, l connlimit.Limits) *connlimit.Limiter {
	return connlimit.New(clock, l, func(connlimit.Interruption) {}, func() time.Duration { return headTimeout })
}

// Guards against memory that is not bounded or not freed, and against interrupting what must go on.
func TestScripts(t *testing.T) {
	f, err := os.Open("testdata/limits.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var p *script
	n := 0
	for s := bufio.NewScanner(f); s.Scan(); {
		n++
		w := strings.Fields(s.Text())
		switch {
		case len(w) == 0 || w[0] == "#":
		case w[0] == "script:":
			p = newScript(t)
		case w[0] == "limits":
			p.limiter = newLimiter(func() time.Time { return p.now }, parseLimits(t, w[1:]))
		default:
			if err := p.step(w); err != nil {
				t.Errorf("testdata/limits.txt:%d: %s: %v", n, s.Text(), err)
			}
		}
	}
}

func parseLimits(t *testing.T, settings []string) connlimit.Limits {
	var l connlimit.Limits
	for _, s := range settings {
		k, v, _ := strings.Cut(s, "=")
		n, err := strconv.Atoi(v)
		switch {
		case err == nil && k == "connections":
			l.Connections = n
		case err == nil && k == "bytes":
			l.Bytes = int64(n)
		default:
			t.Fatalf("%q is not a limit", s)
		}
	}
	return l
}

// step performs one step. The error says what else happened than the step states.
func (p *script) step(w []string) error {
	d, err := time.ParseDuration(w[0])
	if err != nil {
		return err
	}
	p.now = start.Add(d)
	switch w[1] {
	case "sweep":
		p.limiter.Sweep()
		return nil
	case "relieve":
		p.limiter.Relieve(number(w[2]))
		return nil
	case "usage":
		want := connlimit.Usage{Connections: number(w[2]), Bytes: int64(number(w[3]))}
		if g := p.limiter.Usage(); g != want {
			return fmt.Errorf("got %+v", g)
		}
		return nil
	case "open":
		return p.open(w[2], w[3:])
	}
	return p.stepOf(p.conns[w[2]], w[1], w[2:])
}

func number(t string) int {
	n, err := strconv.Atoi(t)
	if err != nil {
		panic(err)
	}
	return n
}

func (p *script) open(name string, want []string) error {
	c, err := p.limiter.Open(func(connlimit.Phase) { p.interrupted[name]++ })
	if err == nil {
		p.conns[name] = c
	}
	return check(err, want)
}

// stepOf performs a step of one connection. w are its name and arguments.
func (p *script) stepOf(c *connlimit.Conn, verb string, w []string) error {
	switch verb {
	case "receive":
		lines := 0
		if len(w) > 3 && w[2] == "lines" {
			lines = number(w[3])
			w = append(w[:2:2], w[4:]...)
		}
		b := strings.Repeat("x", number(w[1])-lines) + strings.Repeat("\n", lines)
		return check(c.Received([]byte(b)), w[2:])
	case "body":
		d, err := time.ParseDuration(w[1])
		if err != nil {
			return err
		}
		return check(c.BeginBody(p.now.Add(d)), nil)
	case "reserve":
		return check(c.Reserve(int64(number(w[1]))), w[2:])
	case "end":
		return check(c.EndBody(), w[1:])
	case "trust":
		return check(c.Trust(), nil)
	case "reset":
		c.Reset()
	case "close":
		c.Close()
	case "alive":
		if p.interrupted[w[0]] > 0 {
			return fmt.Errorf("it was interrupted: %v", c.Err())
		}
	case "gone":
		if p.interrupted[w[0]] != 1 {
			return fmt.Errorf("it was interrupted %d times", p.interrupted[w[0]])
		}
		return check(c.Err(), w[1:])
	default:
		return fmt.Errorf("%q is not a step", verb)
	}
	return nil
}

// check returns an error unless err is the wanted one.
func check(err error, want []string) error {
	w, got := strings.Join(want, " "), ""
	switch {
	case errors.Is(err, connlimit.ErrNoRoom):
		got = "no_room"
	case errors.Is(err, connlimit.ErrTooSlow):
		got = "too_slow"
	case err != nil:
		return err
	}
	if got != w {
		return fmt.Errorf("got %q, want %q", got, w)
	}
	return nil
}

func ExampleLimiter() {
	now := time.Unix(1_700_000_000, 0)
	l := newLimiter(func() time.Time { return now }, connlimit.Limits{Connections: 1})
	a, _ := l.Open(func(p connlimit.Phase) { fmt.Println("interrupted:", p) })
	now = now.Add(time.Second)
	_, err := l.Open(func(connlimit.Phase) {})
	fmt.Println(err, a.Err())
	// Output:
	// interrupted: idle
	// <nil> no room for the connection or its request
}

// Guards against limits that are exceeded, and against memory that stays reserved, whatever clients do.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := connlimit.Limits{Connections: rapid.IntRange(1, 20).Draw(t, "connections"), Bytes: rapid.Int64Range(connlimit.ConnectionBytes, 2<<20).Draw(t, "bytes")}
		now := start
		l := newLimiter(func() time.Time { return now }, m)
		var open []*connlimit.Conn
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if c, err := l.Open(func(connlimit.Phase) {}); err == nil {
				open = append(open, c)
			}
			if len(open) > 0 {
				act(t, l, rapid.SampledFrom(open).Draw(t, "connection"), now)
			}
			if u := l.Usage(); u.Connections > m.Connections || u.Bytes > m.Bytes {
				t.Fatalf("got %+v, want at most %+v", u, m)
			}
		}
		for _, c := range open {
			c.Close()
		}
		if u := l.Usage(); u != (connlimit.Usage{}) {
			t.Fatalf("got %+v after all connections were closed, want none", u)
		}
	})
}

// act does one of the things that a connection may do. Errors are the limits' work.
func act(t *rapid.T, l *connlimit.Limiter, c *connlimit.Conn, now time.Time) {
	switch rapid.IntRange(0, 7).Draw(t, "action") {
	case 0, 1:
		_ = c.Received(make([]byte, rapid.IntRange(1, 5000).Draw(t, "received")))
	case 2:
		_ = c.BeginBody(now.Add(time.Minute))
	case 3, 4:
		_ = c.Reserve(rapid.Int64Range(1, 1<<20).Draw(t, "reserved"))
	case 5:
		_ = c.EndBody()
	case 6:
		c.Reset()
	case 7:
		l.Sweep()
	}
}
