// Package datagram sends and receives UDP datagrams between instances.
package datagram

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// maxDatagram is the largest datagram read, in bytes.
const maxDatagram = 64 << 10

// Socket is one UDP socket.
type Socket struct {
	c *net.UDPConn
}

// Listen opens a socket at the address.
func Listen(addr string) (*Socket, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "datagram.Listen")
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrap(err, "datagram.Listen")
	}
	return &Socket{c: c}, nil
}

// Addr is where the socket listens.
func (s *Socket) Addr() string { return s.c.LocalAddr().String() }

// Send sends one datagram.
func (s *Socket) Send(addr string, b []byte) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return errors.Wrap(err, "datagram.Send")
	}
	_, err = s.c.WriteToUDPAddrPort(b, a)
	return errors.Wrap(err, "datagram.Send")
}

// Serve hands each datagram to receive until ctx ends. The bytes are valid
// during the call.
func (s *Socket) Serve(ctx context.Context, receive func(from string, b []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.c.Close() })
	defer stop()
	b := make([]byte, maxDatagram)
	for {
		n, from, err := s.c.ReadFromUDPAddrPort(b)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "datagram.Serve")
		}
		if err == nil {
			receive(from.String(), b[:n])
		}
	}
}
