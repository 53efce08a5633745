package exchange

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// probeSettle is how long an idle connection must stay open after the probe for it to show that its server
// runs: the connections of a server that crashes end one after the other.
const probeSettle = 10 * time.Millisecond

// RefusesConnections reports whether the host is reachable and refuses TCP connections at the address,
// so that no server listens there. Concurrent calls for one address share one probe. A
// connection that the probe opens goes to the pool for the next request.
func (p *Pool) RefusesConnections(ctx context.Context, addr string) bool {
	v, _, _ := p.probes.Do(addr, func() (any, error) {
		if p.hasSettledIdle(addr) {
			return false, nil
		}
		c, err := p.getConn(ctx, addr, "")
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED), nil
		}
		p.putIdle(addr, c, defaultIdleTimeout)
		return false, nil
	})
	return v.(bool)
}

// hasSettledIdle reports whether an idle connection to the address is still open after probeSettle. Those that
// are not are closed.
func (p *Pool) hasSettledIdle(addr string) bool {
	for c := p.takeIdle(addr, ""); c != nil; c = p.takeIdle(addr, "") {
		time.Sleep(probeSettle)
		if p.mayReuse(addr, c.netConn) {
			p.putIdle(addr, c, c.expires.Sub(p.clock()))
			return true
		}
		_ = c.netConn.Close()
	}
	return false
}
