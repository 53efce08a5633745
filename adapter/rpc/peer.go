package rpc

import (
	"context"
	"crypto/subtle"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"fieldvale/bill"
	"fieldvale/biller"
	"fieldvale/control"
	fieldvalev1 "fieldvale/gen/fieldvale/v1"
	"fieldvale/gen/fieldvale/v1/fieldvalev1connect"
	"fieldvale/peer"
)

// peerServer implements the Peer service of a control process for other instances.
type peerServer struct {
	node *control.Node
}

// Exchange merges a peer's changes and returns this instance's changes since the last exchange.
func (s peerServer) Exchange(_ context.Context, q *fieldvalev1.ExchangeRequest) (*fieldvalev1.ExchangeResponse, error) {
	r := s.node.Exchange(peer.Message{
		From: q.From, Incarnation: q.Incarnation, Since: q.Since, SinceIncarnation: q.SinceIncarnation,
		Revision: q.Revision, Items: itemsFromWire(q.Items),
	})
	return &fieldvalev1.ExchangeResponse{Incarnation: r.Incarnation, Stamp: r.Stamp, Revision: r.Revision, Items: itemsToWire(r.Items)}, nil
}

// Document returns the configuration in force if its revision is above the requested one.
func (s peerServer) Document(_ context.Context, q *fieldvalev1.DocumentRequest) (*fieldvalev1.DocumentResponse, error) {
	d, b := s.node.Document()
	if d.Revision <= q.Above {
		return &fieldvalev1.DocumentResponse{}, nil
	}
	return &fieldvalev1.DocumentResponse{Document: b}, nil
}

// Hold stores copies of a peer's bill records and deletes the released ones. For each stored
// record it returns whether another record bills the same request.
func (s peerServer) Hold(_ context.Context, q *fieldvalev1.HoldRequest) (*fieldvalev1.HoldResponse, error) {
	r, err := recordsFromWire(q.Records)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	l, err := recordsFromWire(q.Release)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	w := &fieldvalev1.HoldResponse{}
	for _, v := range s.node.HoldRecords(r, l) {
		w.Words = append(w.Words, &fieldvalev1.HoldWord{Repeat: v.Duplicate, Owner: v.Owner, Settled: v.Settled})
	}
	return w, nil
}

// Peers is a client of other instances' control processes.
type Peers struct {
	http *http.Client
}

var (
	_ control.PeerClient  = (*Peers)(nil)
	_ biller.HolderClient = (*Peers)(nil)
)

// NewPeers returns a client that authenticates to peers by the fleet's shared key.
func NewPeers(key string) *Peers {
	return &Peers{http: newKeyedClient(key)}
}

// client returns a Peer client of one instance.
func (p *Peers) client(m peer.Member) fieldvalev1connect.PeerClient {
	return fieldvalev1connect.NewPeerClient(p.http, "http://"+m.Addr)
}

// Exchange implements control.Peers.
func (p *Peers) Exchange(ctx context.Context, m peer.Member, q peer.Message) (peer.Reply, error) {
	w, err := p.client(m).Exchange(ctx, &fieldvalev1.ExchangeRequest{
		From: q.From, Incarnation: q.Incarnation, Since: q.Since, SinceIncarnation: q.SinceIncarnation,
		Revision: q.Revision, Items: itemsToWire(q.Items),
	})
	if err != nil {
		return peer.Reply{}, errors.Wrapf(err, "rpc: exchange with instance %s", m.ID)
	}
	return peer.Reply{Incarnation: w.Incarnation, Stamp: w.Stamp, Revision: w.Revision, Items: itemsFromWire(w.Items)}, nil
}

// Document implements control.Peers.
func (p *Peers) Document(ctx context.Context, m peer.Member, above uint64) ([]byte, error) {
	w, err := p.client(m).Document(ctx, &fieldvalev1.DocumentRequest{Above: above})
	if err != nil {
		return nil, errors.Wrapf(err, "rpc: fetch the document from instance %s", m.ID)
	}
	if len(w.Document) == 0 {
		return nil, nil
	}
	return w.Document, nil
}

// Hold implements biller.HolderClient.
func (p *Peers) Hold(ctx context.Context, m peer.Member, r bill.Record) (bill.HoldResult, error) {
	w, err := p.client(m).Hold(ctx, &fieldvalev1.HoldRequest{Records: []*fieldvalev1.BillRecord{recordToWire(r)}})
	if err != nil {
		return bill.HoldResult{}, errors.Wrapf(err, "rpc: hold a bill record at instance %s", m.ID)
	}
	if len(w.Words) != 1 {
		return bill.HoldResult{}, errors.Newf("rpc: hold a bill record at instance %s: got %d results, want 1", m.ID, len(w.Words))
	}
	return bill.HoldResult{Duplicate: w.Words[0].Repeat, Owner: w.Words[0].Owner, Settled: w.Words[0].Settled}, nil
}

// HandOver implements control.Peers.
func (p *Peers) HandOver(ctx context.Context, m peer.Member, r []bill.Record) error {
	q := &fieldvalev1.HoldRequest{}
	for _, x := range r {
		q.Records = append(q.Records, recordToWire(x))
	}
	_, err := p.client(m).Hold(ctx, q)
	return errors.Wrapf(err, "rpc: hand over bill records to instance %s", m.ID)
}

// Release implements biller.HolderClient.
func (p *Peers) Release(ctx context.Context, m peer.Member, r bill.Record) error {
	_, err := p.client(m).Hold(ctx, &fieldvalev1.HoldRequest{Release: []*fieldvalev1.BillRecord{recordToWire(r)}})
	return errors.Wrapf(err, "rpc: release a bill record at instance %s", m.ID)
}

// maxMessage bounds a received request message, in bytes.
const maxMessage = 4 << 20

// LocalHandler serves the Local service of a control process to the entry on the same host.
func LocalHandler(n *control.Node, key string) http.Handler {
	m := http.NewServeMux()
	m.Handle(fieldvalev1connect.NewLocalHandler(localServer{n}, connect.WithReadMaxBytes(maxMessage)))
	return requireFleetKey(key, m)
}

// PeerHandler serves the Peer service of a control process to other instances.
func PeerHandler(n *control.Node, key string) http.Handler {
	m := http.NewServeMux()
	m.Handle(fieldvalev1connect.NewPeerHandler(peerServer{n}, connect.WithReadMaxBytes(maxMessage)))
	return requireFleetKey(key, m)
}

// requireFleetKey responds with status 401 to requests without the fleet's shared key.
func requireFleetKey(key string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if subtle.ConstantTimeCompare([]byte(q.Header.Get(headerFleetKey)), []byte(key)) != 1 {
			reject(w, q, "fleet key is missing or wrong")
			return
		}
		serveTrusted(h, w, q)
	})
}
