package exchange

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"
)

// RefusesConnections reports whether the host is reachable and refuses TCP connections at the address,
// so that no server listens there. Concurrent calls for one address share one probe. A
// connection that the probe opens goes to the pool for the next request.
func (p *Pool) RefusesConnections(ctx context.Context, addr string) bool {
	v, _, _ := p.probes.Do(addr, func() (any, error) {
		c, err := p.getConn(ctx, addr)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED), nil
		}
		p.putIdle(addr, c, defaultIdleTimeout)
		return false, nil
	})
	return v.(bool)
}
