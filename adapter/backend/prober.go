package backend

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"

	"fieldvale/entry"
	"fieldvale/pool"
)

// Prober implements entry.Prober over TCP.
type Prober struct{}

var _ entry.Prober = Prober{}

// HasCrashed implements entry.Prober. It reports whether the replica's address refuses TCP
// connections, which means that no process listens there.
func (Prober) HasCrashed(ctx context.Context, r *pool.Replica) bool {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", r.Addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}
