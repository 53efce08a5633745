package outcome

import (
	"io"
	"syscall"

	"github.com/cockroachdb/errors"
)

// IsConnectionClosed reports whether the peer, or a proxy or kernel acting for it, closed or reset
// the connection while a response was pending. No other error indicates that the peer may
// have crashed: a timeout also occurs when the network link is down.
func IsConnectionClosed(err error) bool {
	for _, c := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, c) {
			return true
		}
	}
	return false
}
