// Package handover passes an instance's state on to other instances over HTTP: changes
// that are too large for datagrams, and the whole to those that start.
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
)

const (
	// path is where the state is, and paramAfter the revision after which changes are
	// asked for, below 0 for the whole.
	path       = "/state"
	paramAfter = "after"
	// stallAfter is how long an instance may send nothing before another one is asked:
	// longer than one may be held until the state is known there.
	stallAfter = 2500 * time.Millisecond
	// maxBody bounds what is fetched, in bytes.
	maxBody = 32 << 20
	// writeWithin bounds the sending of one answer: one that is cut off must not keep
	// others from theirs.
	writeWithin = 5 * time.Second
)

// Source writes what an instance gets that fetches the changes after a revision.
type Source interface {
	Serve(ctx context.Context, after int64, write func([]byte) error) error
}

// Serve answers other instances at l until the listener is closed.
func Serve(l net.Listener, s Source) error {
	h := &http.Server{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answer(w, r, s) }),
		ReadTimeout: stallAfter, WriteTimeout: writeWithin, IdleTimeout: stallAfter,
	}
	return errors.Wrap(h.Serve(l), "handover.Serve")
}

func answer(w http.ResponseWriter, r *http.Request, s Source) {
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

// Client fetches other instances' state.
type Client struct {
	pool *exchange.Pool
}

// NewClient returns a client that goes by the clock.
func NewClient(clock func() time.Time) *Client { return &Client{pool: exchange.New(clock)} }

// Fetch implements relay.Transfer.
func (c *Client) Fetch(ctx context.Context, addr string, after int64) ([]byte, error) {
	x, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := time.AfterFunc(stallAfter, cancel)
	defer stall.Stop()
	q := &exchange.Request{Method: http.MethodGet, Target: path + "?" + paramAfter + "=" + strconv.FormatInt(after, 10), Host: addr, Header: http.Header{}}
	r, err := c.pool.Do(x, addr, q)
	if err != nil {
		return nil, errors.Wrap(err, "handover.Fetch")
	}
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(progress{r, stall}, maxBody))
	if err != nil {
		return nil, errors.Wrap(err, "handover.Fetch")
	}
	if r.Status != http.StatusOK {
		return nil, errors.Newf("handover.Fetch: %s answered %d", addr, r.Status)
	}
	return b, nil
}

// progress puts the time-out off with each piece that comes.
type progress struct {
	r     io.Reader
	stall *time.Timer
}

// Read implements io.Reader.
func (p progress) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.stall.Reset(stallAfter)
	}
	return n, err
}
