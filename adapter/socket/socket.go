// Package socket opens the sockets that processes listen on. A socket can
// be reserved before its address is written into settings, so that nobody
// takes the port between the choice and the use.
package socket

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

var reserved sync.Map

// Reserve opens a socket on a free port of the loopback address and keeps it
// for the first Open of its address in this process.
func Reserve() (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "socket.Reserve")
	}
	a := l.Addr().String()
	reserved.Store(a, l)
	return a, nil
}

// Open returns the reserved socket of the address, or a new one.
func Open(addr string) (net.Listener, error) {
	if l, ok := reserved.LoadAndDelete(addr); ok {
		return l.(net.Listener), nil
	}
	l, err := net.Listen("tcp", addr)
	return l, errors.Wrap(err, "socket.Open")
}

// Release closes the socket of the address if nobody opened it.
func Release(addr string) {
	if l, ok := reserved.LoadAndDelete(addr); ok {
		_ = l.(net.Listener).Close()
	}
}
