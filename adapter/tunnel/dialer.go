package tunnel

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/exchange"
	"fieldvale/adapter/httphead"
	"fieldvale/peer"
	"fieldvale/reach"
)

const (
	// slowDial is how long a connection may take before the other way is tried beside it. Connections
	// within a region take a few milliseconds.
	slowDial = 150 * time.Millisecond
	// attemptTimeout bounds one attempt to connect, by either way.
	attemptTimeout = exchange.DialTimeout
)

// Dialer connects to servers directly, or through another instance where this one's own links don't
// reach them. It implements exchange.Dialer. Its fields must be set before the first connection.
type Dialer struct {
	Tracker *reach.Tracker
	Helpers *reach.Helpers
	// MayHelp returns which instances may be asked for a connection to the server.
	MayHelp func(addr string) func(peer.Member) bool
	// Direct connects over this instance's own links.
	Direct exchange.Dialer
	// Tunneled is called for each attempt to connect through another instance.
	Tunneled func(via string, err error)
	// Spare receives a direct connection that was opened beside one that was used.
	Spare func(addr string, c net.Conn)
}

// errNoHelper reports that there is no other instance to connect through.
var errNoHelper = errors.New("tunnel: no other instance is known")

// dialed is the result of an attempt to connect.
type dialed struct {
	conn net.Conn
	err  error
	way  reach.Way
}

// Dial implements exchange.Dialer. It tries the way that the tracker expects to work, and the other
// one beside it once the first has failed or is slow.
func (d *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	p := d.Tracker.Plan(addr)
	if p.Probe {
		go d.probe(addr)
	}
	if p.IsUnreachable {
		return nil, errors.Wrap(errUnreached, "tunnel: dial")
	}
	r := &race{d: d, ctx: ctx, addr: addr, plan: p, mayUseOther: p.MayUseOther, results: make(chan dialed, 2)}
	return r.run()
}

// IsUsable reports whether an idle connection to the server may be used. One whose way is no longer the
// one to use may not: a direct one may hang, and one through another instance costs that instance. Nor may
// one through an instance that may no longer be asked.
func (d *Dialer) IsUsable(addr string, c net.Conn) bool {
	w, probe := d.Tracker.Reuse(addr)
	if probe {
		go d.probe(addr)
	}
	t, isIndirect := c.(*Conn)
	if !isIndirect {
		return w == reach.Direct
	}
	m, ok := d.Helpers.Member(t.instance)
	return w == reach.Indirect && ok && d.MayHelp(addr)(m)
}

// race is one connection that is tried by both ways.
type race struct {
	d    *Dialer
	ctx  context.Context
	addr string
	plan reach.Plan
	// mayUseOther is set while the other way is not tried yet and may be.
	mayUseOther bool
	// results receives the result of each attempt; pending is how many are still to come.
	results chan dialed
	pending int
	failed  error
}

// run returns the first connection that comes up.
func (r *race) run() (net.Conn, error) {
	r.start(r.plan.First)
	slow := time.NewTimer(slowDial)
	defer slow.Stop()
	for r.pending > 0 {
		select {
		case x := <-r.results:
			r.pending--
			if x.err == nil {
				r.recordConnected(x)
				return x.conn, nil
			}
			r.recordFailed(x)
		case <-slow.C:
			r.startOther()
		case <-r.ctx.Done():
			go r.d.collect(r.addr, r.pending, r.results)
			return nil, errors.CombineErrors(errors.Wrap(r.ctx.Err(), "tunnel: dial"), r.failed)
		}
	}
	return nil, r.failed
}

func (r *race) start(w reach.Way) {
	r.pending++
	go r.d.try(r.ctx, r.addr, w, r.results)
}

// startOther tries the other way, once.
func (r *race) startOther() {
	if r.mayUseOther {
		r.mayUseOther = false
		r.start(1 - r.plan.First)
	}
}

// recordFailed tries the other way after a failure, unless the server itself seems to be down.
func (r *race) recordFailed(x dialed) {
	r.failed = errors.CombineErrors(r.failed, x.err)
	if x.way == reach.Direct && r.plan.First == reach.Direct && !r.d.Tracker.IsSuspect(r.addr) {
		return
	}
	r.startOther()
}

// recordConnected records which way worked and, if the direct one is still tried, that it was slow.
func (r *race) recordConnected(x dialed) {
	if r.pending > 0 && x.way == reach.Indirect && r.plan.First == reach.Direct {
		r.d.Tracker.Failed(r.addr, reach.Direct)
	}
	r.d.Tracker.Connected(r.addr, x.way)
	go r.d.collect(r.addr, r.pending, r.results)
}

// collect receives the results of attempts that are not waited for. A direct connection is kept for
// the next request.
func (d *Dialer) collect(addr string, pending int, results <-chan dialed) {
	for range pending {
		r := <-results
		switch {
		case r.err != nil:
		case r.way == reach.Direct:
			d.Tracker.Connected(addr, reach.Direct)
			d.Spare(addr, r.conn)
		default:
			_ = r.conn.Close()
		}
	}
}

// probe tries the direct way in the background.
func (d *Dialer) probe(addr string) {
	results := make(chan dialed, 1)
	d.try(context.Background(), addr, reach.Direct, results)
	d.collect(addr, 1, results)
}

// try makes one attempt to connect and sends its result. It goes on when the request ends, since its
// result shows whether the way works.
func (d *Dialer) try(ctx context.Context, addr string, w reach.Way, results chan<- dialed) {
	x, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
	defer cancel()
	r := dialed{way: w}
	if w == reach.Direct {
		r.conn, r.err = d.Direct.Dial(x, addr)
	} else {
		r.conn, r.err = d.dialIndirect(x, addr)
	}
	if r.err != nil && (w == reach.Direct || errors.Is(r.err, errUnreached)) {
		d.Tracker.Failed(addr, w)
	}
	results <- r
}

// maxParallel bounds the instances that are asked at a time for one connection.
const maxParallel = 3

// dialIndirect asks other instances for a tunnel, each next one once the one before has refused or is
// slow, and returns the first that is opened.
func (d *Dialer) dialIndirect(ctx context.Context, addr string) (net.Conn, error) {
	l := d.Helpers.Choose(d.MayHelp(addr))
	if len(l) == 0 {
		return nil, errNoHelper
	}
	results := make(chan tunneled, len(l))
	slow := time.NewTicker(slowDial)
	defer slow.Stop()
	asked := map[string]bool{}
	pending := 0
	startNext := func() {
		if len(l) == 0 || pending >= maxParallel {
			return
		}
		m := l[0]
		l, asked[m.ID] = l[1:], true
		pending++
		go func() { results <- d.openTunnel(ctx, m, addr) }()
	}
	startNext()
	var failed error
	for pending > 0 {
		select {
		case r := <-results:
			pending--
			if r.err == nil {
				delete(asked, r.instance)
				d.refusedAll(asked)
				go closeUnused(pending, results)
				return r.conn, nil
			}
			failed = errors.CombineErrors(r.err, failed)
			startNext()
		case <-slow.C:
			startNext()
		}
	}
	return nil, failed
}

// refusedAll records that none of the instances reached the server, while another one did.
func (d *Dialer) refusedAll(instances map[string]bool) {
	for id := range instances {
		d.Helpers.Refused(id)
	}
}

// closeUnused closes the tunnels that were opened beside the one that is used.
func closeUnused(pending int, results <-chan tunneled) {
	for range pending {
		if r := <-results; r.err == nil {
			_ = r.conn.Close()
		}
	}
}

// tunneled is the result of asking one instance for a tunnel.
type tunneled struct {
	instance string
	conn     net.Conn
	err      error
}

// openTunnel asks one instance for a tunnel to the server.
func (d *Dialer) openTunnel(ctx context.Context, m peer.Member, addr string) tunneled {
	c, err := d.handshake(ctx, m, addr)
	d.Tunneled(m.ID, err)
	return tunneled{m.ID, c, errors.Wrapf(err, "tunnel: through %s", m.ID)}
}

// errRefused reports that the other instance takes no more tunnels, or is cut off from the server
// itself. errUnreached reports that no instance that was asked could connect to the server.
var (
	errRefused   = errors.New("refused")
	errUnreached = errors.New("the server was not reached")
)

// handshake connects to the instance and asks it for the tunnel.
func (d *Dialer) handshake(ctx context.Context, m peer.Member, addr string) (net.Conn, error) {
	c, err := exchange.DialDirect(ctx, m.Addr)
	if err != nil {
		d.Helpers.Refused(m.ID)
		return nil, err
	}
	if t, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(t)
	}
	r := bufio.NewReaderSize(c, readBuffer)
	status, err := connect(c, r, addr)
	if err == nil && status == http.StatusOK {
		setNoDeadline(c)
		d.Helpers.Opened(m.ID)
		return newConn(c, r, m.ID, func() { d.Helpers.Closed(m.ID) }), nil
	}
	_ = c.Close()
	if err == nil && status == http.StatusBadGateway {
		return nil, errUnreached
	}
	d.Helpers.Refused(m.ID)
	if err == nil {
		err = errors.Wrapf(errRefused, "status %d", status)
	}
	return nil, err
}

// connect sends the request for the tunnel and returns the status of the answer. Its head fits into r's buffer.
func connect(c net.Conn, r *bufio.Reader, addr string) (int, error) {
	if _, err := c.Write([]byte("CONNECT " + addr + " HTTP/1.1\r\nHost: " + addr + "\r\n\r\n")); err != nil {
		return 0, errors.Wrap(err, "ask")
	}
	b, err := httphead.Peek(r)
	if err != nil {
		return 0, errors.Wrap(err, "read the answer")
	}
	if _, err := httphead.Check(b); err != nil {
		return 0, errors.Wrap(err, "read the answer")
	}
	p, err := http.ReadResponse(r, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return 0, errors.Wrap(err, "read the answer")
	}
	return p.StatusCode, nil
}
