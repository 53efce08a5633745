package socket

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrNotDelivered reports that a peer has not acknowledged all bytes that were sent.
var ErrNotDelivered = errors.New("socket: the peer has not acknowledged all bytes")

// deliveryInterval is the interval at which WaitDelivered looks at a connection.
const deliveryInterval = time.Millisecond

// WaitDelivered waits until the peer has acknowledged all bytes that were written to the connection. It returns the
// error of the connection, which no read or write may report once the peer has ended its side, or ErrNotDelivered at
// the deadline. It returns nil where the operating system doesn't say.
func WaitDelivered(c net.Conn, deadline time.Time) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	r, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	for {
		left, err := unacknowledged(r)
		if err != nil || left == 0 {
			return err
		}
		if !time.Now().Before(deadline) {
			return errors.Wrapf(ErrNotDelivered, "%d bytes are left", left)
		}
		time.Sleep(deliveryInterval)
	}
}

// unacknowledged returns the number of bytes that the peer has not acknowledged, 0 if it is not known, or the pending
// error of the connection.
func unacknowledged(c syscall.RawConn) (left int, err error) {
	e := c.Control(func(fd uintptr) {
		n, outqErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		code, sockErr := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		switch {
		case sockErr == nil && code != 0:
			err = syscall.Errno(code)
		case outqErr == nil:
			left = n
		}
	})
	if e != nil {
		return 0, errors.Wrap(e, "socket: look at the connection")
	}
	return left, err
}
