// Package datagram sends and receives UDP datagrams between instances.
package datagram

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// maxDatagramSize is the size of the largest datagram that can be received, in bytes.
const maxDatagramSize = 64 << 10

// Socket is a UDP socket.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens a UDP socket at the address IP:PORT.
func Listen(addr string) (*Socket, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "datagram: parse the listen address")
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrap(err, "datagram: listen")
	}
	return &Socket{conn: c}, nil
}

// Addr returns the socket's local address.
func (s *Socket) Addr() string { return s.conn.LocalAddr().String() }

// Send sends one datagram to the address IP:PORT.
func (s *Socket) Send(addr string, b []byte) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return errors.Wrap(err, "datagram: parse the destination address")
	}
	_, err = s.conn.WriteToUDPAddrPort(b, a)
	return errors.Wrap(err, "datagram: send")
}

// Serve calls receive for each datagram until ctx is done, and then closes the socket. The bytes
// are valid only during the call.
func (s *Socket) Serve(ctx context.Context, receive func(from string, b []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	b := make([]byte, maxDatagramSize)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "datagram: receive")
		}
		if err == nil {
			receive(from.String(), b[:n])
		}
	}
}
