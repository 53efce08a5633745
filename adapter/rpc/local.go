package rpc

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"fieldvale/claim"
	"fieldvale/control"
	"fieldvale/entry"
	fieldvalev1 "fieldvale/gen/fieldvale/v1"
	"fieldvale/gen/fieldvale/v1/fieldvalev1connect"
	"fieldvale/store"
)

// localServer implements the Local service of a control process for the entry on the same
// host.
type localServer struct {
	node *control.Node
}

// Sync takes the entry's report and returns the changes that the entry does not have yet.
func (s localServer) Sync(_ context.Context, q *fieldvalev1.SyncRequest) (*fieldvalev1.SyncResponse, error) {
	l, err := ledgerFromWire(q.Ledger)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	r := control.EntryReport{
		Incarnation: q.Incarnation, Revision: q.Revision, View: q.ViewVersion, ControlIncarnation: q.Control,
		Ledger: l, LastUnheldSeq: q.AloneUpto, Evidence: evidenceFromWire(q.Evidence), InFlight: map[string]int{}, Stopping: q.Stopping,
	}
	for _, x := range q.LocalLoads {
		r.InFlight[x.Replica] = int(x.Running)
	}
	return updateToWire(s.node.Sync(r)), nil
}

func updateToWire(u control.EntryUpdate) *fieldvalev1.SyncResponse {
	w := &fieldvalev1.SyncResponse{Control: u.ControlIncarnation, Document: u.Document, ViewVersion: u.View, Settled: u.Ready}
	if !u.HasView {
		return w
	}
	w.View = &fieldvalev1.View{Tripped: versionStrings(u.Tripped), StoreOk: u.StoreOK}
	for _, r := range u.Replicas {
		w.View.Replicas = append(w.View.Replicas, replicaToWire(r))
	}
	for _, m := range u.Members {
		w.View.Members = append(w.View.Members, memberToWire(m))
	}
	return w
}

// Claim claims an idempotency key for the entry. Any failure is returned as Unavailable.
func (s localServer) Claim(ctx context.Context, q *fieldvalev1.ClaimRequest) (*fieldvalev1.ClaimResponse, error) {
	c := claim.Claim{Customer: q.Customer, Key: q.Key, Nonce: q.Nonce, Holder: s.node.Self.ID, Deadline: timeFromWire(q.Deadline), State: claim.Held}
	v, f, err := s.node.Claim(ctx, c)
	if err != nil {
		return &fieldvalev1.ClaimResponse{Unavailable: true}, nil
	}
	return &fieldvalev1.ClaimResponse{Verdict: int32(v), Status: int32(f.Status), Answer: f.Answer}, nil
}

// FinishClaim records the answer of a request that ran, or frees the key of one that didn't.
func (s localServer) FinishClaim(ctx context.Context, q *fieldvalev1.FinishClaimRequest) (*fieldvalev1.FinishClaimResponse, error) {
	c := claim.Claim{Customer: q.Customer, Key: q.Key, Nonce: q.Nonce, Holder: s.node.Self.ID, Deadline: timeFromWire(q.Deadline)}
	if q.Ran {
		c = c.WithAnswer(int(q.Status), q.Answer)
	} else {
		c = c.WithNotRun()
	}
	if err := s.node.Finish(ctx, c); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return &fieldvalev1.FinishClaimResponse{Recorded: true}, nil
}

// Local is an entry's client of the control process on the same host.
type Local struct {
	c fieldvalev1connect.LocalClient
}

var _ entry.Claims = (*Local)(nil)

// NewLocal returns a client of the control process at addr.
func NewLocal(addr, key string) *Local {
	return &Local{c: fieldvalev1connect.NewLocalClient(newKeyedClient(key), "http://"+addr)}
}

// Sync sends the entry's report and returns the changes that the entry does not have yet.
func (l *Local) Sync(ctx context.Context, r control.EntryReport) (control.EntryUpdate, error) {
	q := &fieldvalev1.SyncRequest{
		Incarnation: r.Incarnation, Revision: r.Revision, ViewVersion: r.View, Control: r.ControlIncarnation,
		Ledger: ledgerToWire(r.Ledger), AloneUpto: r.LastUnheldSeq, Evidence: evidenceToWire(r.Evidence), Stopping: r.Stopping,
	}
	for k, n := range r.InFlight {
		q.LocalLoads = append(q.LocalLoads, &fieldvalev1.LocalLoad{Replica: k, Running: int32(n)})
	}
	w, err := l.c.Sync(ctx, q)
	if err != nil {
		return control.EntryUpdate{}, errors.Wrap(err, "rpc: sync with the control process")
	}
	return updateFromWire(w), nil
}

func updateFromWire(w *fieldvalev1.SyncResponse) control.EntryUpdate {
	u := control.EntryUpdate{ControlIncarnation: w.Control, Document: w.Document, View: w.ViewVersion, HasView: w.View != nil, Ready: w.Settled}
	if !u.HasView {
		return u
	}
	u.StoreOK = w.View.StoreOk
	u.Tripped = parseVersions(w.View.Tripped)
	for _, r := range w.View.Replicas {
		u.Replicas = append(u.Replicas, replicaFromWire(r))
	}
	for _, m := range w.View.Members {
		u.Members = append(u.Members, memberFromWire(m))
	}
	return u
}

// Claim implements entry.Claims.
func (l *Local) Claim(ctx context.Context, c claim.Claim) (claim.Verdict, claim.Claim, error) {
	w, err := l.c.Claim(ctx, &fieldvalev1.ClaimRequest{Customer: c.Customer, Key: c.Key, Nonce: c.Nonce, Deadline: timeToWire(c.Deadline)})
	if err != nil {
		return claim.MayHaveRun, c, errors.Wrap(err, "rpc: claim")
	}
	if w.Unavailable {
		return claim.MayHaveRun, c, errors.Wrap(store.ErrUnavailable, "rpc: claim")
	}
	c.Status, c.Answer = int(w.Status), w.Answer
	return claim.Verdict(w.Verdict), c, nil
}

// Finish implements entry.Claims.
func (l *Local) Finish(ctx context.Context, c claim.Claim) error {
	_, err := l.c.FinishClaim(ctx, &fieldvalev1.FinishClaimRequest{
		Customer: c.Customer, Key: c.Key, Nonce: c.Nonce, Deadline: timeToWire(c.Deadline),
		Ran: c.State == claim.Ran, Status: int32(c.Status), Answer: c.Answer,
	})
	return errors.Wrap(err, "rpc: finish a claim")
}

// headerFleetKey carries the fleet's shared key, which authenticates its processes to each
// other.
const headerFleetKey = "X-Fieldvale-Fleet-Key"

// idleConnTimeout is how long an idle connection between processes is kept.
const idleConnTimeout = time.Minute

// newKeyedClient returns an HTTP client that adds the fleet's key to each request.
func newKeyedClient(key string) *http.Client {
	return &http.Client{Transport: fleetKeyTransport{key: key, next: &http.Transport{
		Protocols:       protocols(),
		IdleConnTimeout: idleConnTimeout,
	}}}
}

// protocols returns the set with HTTP/2 without TLS. HTTP/2 needs one connection to each peer,
// and its header compression reduces repeated headers to a few bytes.
func protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}

// fleetKeyTransport adds the fleet's key to each request.
type fleetKeyTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t fleetKeyTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	q = q.Clone(q.Context())
	q.Header.Set(headerFleetKey, t.key)
	return roundTrip(t.next, q)
}

// maxAnswer bounds an answer, in bytes. An instance's whole state fits into it.
const maxAnswer = 32 << 20

// roundTrip sends the request with t and bounds the answer's body.
func roundTrip(t http.RoundTripper, q *http.Request) (*http.Response, error) {
	r, err := t.RoundTrip(q)
	if err != nil {
		return nil, err
	}
	r.Body = http.MaxBytesReader(nil, r.Body, maxAnswer)
	return r, nil
}
