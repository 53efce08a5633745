// Package handover transfers an instance's state to other instances over HTTP: changes that
// are too large for datagrams, and a snapshot to instances that start.
package handover

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/exchange"
	"fieldvale/adapter/socket"
	"fieldvale/connlimit"
)

const (
	// path is the URL path of the state. The query parameter paramAfter is the revision
	// after which changes are requested, below 0 for a snapshot.
	path       = "/state"
	paramAfter = "after"
	// stallTimeout is how long a fetch may receive no bytes before it is given up, so that
	// another instance can be tried. It is longer than an instance may hold a request until
	// it has the state.
	stallTimeout = 2500 * time.Millisecond
	// maxBody bounds the fetched state, in bytes.
	maxBody = 32 << 20
	// writeTimeout bounds the sending of one response, so that an unreachable instance
	// does not keep others from being served.
	writeTimeout = 5 * time.Second
)

// Source writes the changes after a revision for another instance that fetches them.
type Source interface {
	Serve(ctx context.Context, after int64, write func([]byte) error) error
}

// Serve serves the state of s to other instances until the listener is closed, on connections within the limits. Their
// CONNECT requests are passed to tunnels; if it is nil, they are refused.
func Serve(l net.Listener, limits *connlimit.Limiter, s Source, tunnels http.Handler) error {
	h := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodConnect && tunnels != nil {
				tunnels.ServeHTTP(w, r)
				return
			}
			serveState(w, r, s)
		}),
		ReadTimeout: stallTimeout, WriteTimeout: writeTimeout, IdleTimeout: stallTimeout,
	}
	return errors.Wrap(socket.ServeLimited(l, limits, h), "handover: serve")
}

// serveState handles one request for the state of s.
func serveState(w http.ResponseWriter, r *http.Request, s Source) {
	after, err := strconv.ParseInt(r.URL.Query().Get(paramAfter), 10, 64)
	if r.URL.Path != path || err != nil {
		http.Error(w, "no such state", http.StatusNotFound)
		return
	}
	err = s.Serve(r.Context(), after, func(b []byte) error {
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		_, err := w.Write(b)
		return errors.Wrap(err, "handover: write")
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// Client fetches the state of other instances.
type Client struct {
	pool *exchange.Pool
}

// NewClient returns a client that uses the clock for the expiry of idle connections.
func NewClient(clock func() time.Time) *Client { return &Client{pool: exchange.New(clock)} }

// Fetch implements relay.Fetcher.
func (c *Client) Fetch(ctx context.Context, addr string, after int64) ([]byte, error) {
	x, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := time.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	q := &exchange.Request{Method: http.MethodGet, Target: path + "?" + paramAfter + "=" + strconv.FormatInt(after, 10), Host: addr, Header: http.Header{}}
	r, err := c.pool.Do(x, addr, q)
	if err != nil {
		return nil, errors.Wrap(err, "handover: fetch")
	}
	defer r.Close()
	if r.Length() < 0 || r.Length() > maxBody {
		return nil, errors.Newf("handover: fetch from %s: got a state of length %d, want one from 0 to %d bytes", addr, r.Length(), maxBody)
	}
	b, err := io.ReadAll(progressReader{r, stall})
	if err != nil {
		return nil, errors.Wrap(err, "handover: read the state")
	}
	if r.Status != http.StatusOK {
		return nil, errors.Newf("handover: fetch from %s: got status %d, want 200", addr, r.Status)
	}
	return b, nil
}

// progressReader restarts the stall timer whenever bytes are received.
type progressReader struct {
	r     io.Reader
	stall *time.Timer
}

// Read implements io.Reader.
func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.stall.Reset(stallTimeout)
	}
	return n, err
}
