// Package socket opens the TCP listeners of processes. A listener can be reserved before its
// address is written into settings, so that no other process takes the port between its choice
// and its use.
package socket

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// reserved has the reserved listeners by address.
var reserved sync.Map

const (
	// minPort and maxPort bound the ports that are reserved. They are below those that the system gives to
	// outgoing connections, so that a listener can be closed and opened again.
	minPort = 12000
	maxPort = 32000
	// reserveAttempts is the number of ports that are tried.
	reserveAttempts = 100
)

// Reserve opens a listener on a free port of the loopback address and keeps it for the first
// Open of its address in this process.
func Reserve() (addr string, err error) {
	return reserve(func() int { return minPort + rand.IntN(maxPort-minPort) })
}

// reserve reserves one of the ports that next returns.
func reserve(next func() int) (addr string, err error) {
	for range reserveAttempts {
		var l net.Listener
		a := net.JoinHostPort("127.0.0.1", strconv.Itoa(next()))
		if l, err = net.Listen("tcp", a); err != nil {
			continue
		}
		if err = checkUDP(a); err != nil {
			_ = l.Close()
			continue
		}
		reserved.Store(a, l)
		return a, nil
	}
	return "", errors.Wrap(err, "socket: reserve a port")
}

// checkUDP reports an error if another process receives datagrams at the address. It may have closed its TCP
// listener for a moment.
func checkUDP(addr string) error {
	c, err := net.ListenPacket("udp", addr)
	if err != nil {
		return err
	}
	return c.Close()
}

// Open returns the reserved listener of the address, or else a new one.
func Open(addr string) (net.Listener, error) {
	if l, ok := reserved.LoadAndDelete(addr); ok {
		return l.(net.Listener), nil
	}
	l, err := net.Listen("tcp", addr)
	return l, errors.Wrap(err, "socket: listen")
}

// Release closes the reserved listener of the address unless Open has returned it.
func Release(addr string) {
	if l, ok := reserved.LoadAndDelete(addr); ok {
		_ = l.(net.Listener).Close()
	}
}

// maxCounted bounds the number of descriptors that MaxDescriptors returns, where the system sets no limit.
const maxCounted = 1 << 20

// MaxDescriptors returns how many file descriptors the process may open; 0 if that can't be read.
func MaxDescriptors() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0
	}
	return int(min(l.Cur, maxCounted))
}
