package rpc

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"fieldvale/adapter/policyfile"
	"fieldvale/audit"
	"fieldvale/catalog"
	"fieldvale/config"
	"fieldvale/control"
	fieldvalev1 "fieldvale/gen/fieldvale/v1"
	"fieldvale/gen/fieldvale/v1/fieldvalev1connect"
	"fieldvale/rollout"
	"fieldvale/session"
	"fieldvale/store"
	"fieldvale/version"
)

// Role defines what the holder of an administration key may do.
type Role string

// The roles. A viewer may read its team's part of the configuration, and an operator may also
// change it. A platform key may do both for all teams and rotate the session keys.
const (
	Viewer   Role = "viewer"
	Operator Role = "operator"
	Platform Role = "platform"
)

// Admin is a person or program with an administration key.
type Admin struct {
	Name string
	Team string
	Role Role
	// KeyHash is the hex SHA-256 sum of the key.
	KeyHash string
}

// mayRead reports whether the admin may read the team's part of the configuration.
func (a Admin) mayRead(team string) bool {
	return a.Role == Platform || a.Team == team
}

// mayChange reports whether the admin may change the team's part of the configuration.
func (a Admin) mayChange(team string) bool {
	return a.Role == Platform || a.Role == Operator && a.Team == team
}

// adminContextKey is the context key of a request's Admin.
type adminContextKey struct{}

// AdminHandler serves the administration API to the given admins.
func AdminHandler(n *control.Node, admins []Admin) http.Handler {
	m := http.NewServeMux()
	m.Handle(fieldvalev1connect.NewAdminHandler(adminServer{n}, connect.WithReadMaxBytes(maxMessage)))
	return authenticate(admins, m)
}

// authenticate passes requests with a valid administration key to h, with the Admin in their
// context, and responds with status 401 to all others.
func authenticate(admins []Admin, h http.Handler) http.Handler {
	byKeyHash := map[string]Admin{}
	for _, a := range admins {
		byKeyHash[a.KeyHash] = a
	}
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		k, ok := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
		a, known := byKeyHash[catalog.HashKey(k)]
		if !ok || !known {
			reject(w, q, "administration key is missing or wrong")
			return
		}
		serveTrusted(h, w, q.WithContext(context.WithValue(q.Context(), adminContextKey{}, a)))
	})
}

// adminServer implements the Admin service.
type adminServer struct {
	node *control.Node
}

// adminFrom returns the admin that authenticate stored in the context.
func adminFrom(ctx context.Context) Admin {
	a, _ := ctx.Value(adminContextKey{}).(Admin)
	return a
}

// permissionDenied returns the error for an admin that may not perform the action on the team.
func permissionDenied(a Admin, action, team string) error {
	return connect.NewError(connect.CodePermissionDenied, errors.Newf("%s (%s of team %q) may not %s team %q", a.Name, a.Role, a.Team, action, team))
}

// inForceTimeout bounds how long the response to a change waits until all instances have the
// change in force.
const inForceTimeout = 3 * time.Second

// inForceInterval is the pause between two checks of which instances have a change in force.
const inForceInterval = 50 * time.Millisecond

// Change applies a change and reports which instances have it in force.
func (s adminServer) Change(ctx context.Context, q *fieldvalev1.ChangeRequest) (*fieldvalev1.ChangeResponse, error) {
	a := adminFrom(ctx)
	if !a.mayChange(q.Team) || q.Action == string(audit.RotateKeys) && a.Role != Platform {
		return nil, permissionDenied(a, "change", q.Team)
	}
	c, err := s.changeFromWire(a, q)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	r, err := s.node.Change(ctx, c)
	if err != nil {
		return nil, changeError(err)
	}
	w := &fieldvalev1.ChangeResponse{Revision: r.Revision, RepeatedChange: r.AlreadyApplied}
	w.InForce, w.NotInForce = s.awaitInForce(ctx, r.Revision)
	return w, nil
}

// changeError adds the RPC code to an error of a change: Aborted on a conflict with another
// change, Unavailable if the store can't be used, else InvalidArgument.
func changeError(err error) error {
	switch {
	case errors.Is(err, config.ErrConflict):
		return connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrUnknown), errors.Is(err, control.ErrStoreOlder):
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewError(connect.CodeInvalidArgument, err)
}

// changeFromWire converts and checks a request for a change.
func (s adminServer) changeFromWire(a Admin, q *fieldvalev1.ChangeRequest) (config.Change, error) {
	c := config.Change{ID: q.Id, Team: q.Team, Who: a.Name, Why: q.Why, At: time.Now(), Action: audit.Action(q.Action), BaseRevision: q.Base}
	if q.Id == "" {
		return c, errors.New("change has no id")
	}
	if q.AnyBase {
		c.BaseRevision = config.AnyBase
	}
	var err error
	switch c.Action {
	case audit.Accept:
		c.Key = session.NewKey()
		var e []error
		if c.Source, e = policyfile.Parse(q.Files); len(e) > 0 {
			return c, e[0]
		}
	case audit.Withdraw, audit.Reinstate:
		c.Version, err = version.Parse(q.Version)
	case audit.StartRollout:
		c.Rollout, err = rolloutFromWire(q)
	case audit.HaltRollout:
		var v version.ID
		v, err = version.Parse(q.Version)
		c.Rollout = rollout.Rollout{To: v}
	case audit.RotateKeys:
		c.Key = session.NewKey()
	default:
		err = errors.Newf("action %q can't be requested through the administration API", q.Action)
	}
	return c, err
}

func rolloutFromWire(q *fieldvalev1.ChangeRequest) (rollout.Rollout, error) {
	f, err := version.Parse(q.FromVersion)
	if err != nil {
		return rollout.Rollout{}, err
	}
	t, err := version.Parse(q.Version)
	if err != nil {
		return rollout.Rollout{}, err
	}
	var s []int
	for _, x := range q.Shares {
		s = append(s, int(x))
	}
	return rollout.New(f, t, s, time.Now(), time.Duration(q.EveryMillis)*time.Millisecond)
}

// awaitInForce waits until the entries of all live instances have the revision in force, or
// until inForceTimeout. It returns the ids of the instances that have it and of those that
// don't.
func (s adminServer) awaitInForce(ctx context.Context, revision uint64) (current, behind []string) {
	d := time.Now().Add(inForceTimeout)
	for {
		current, behind = s.inForce(revision)
		if len(behind) == 0 || !time.Now().Before(d) || ctx.Err() != nil {
			return current, behind
		}
		time.Sleep(inForceInterval)
	}
}

// inForce returns the ids of the live instances whose entry has the revision, and of the
// others.
func (s adminServer) inForce(revision uint64) (current, behind []string) {
	for _, h := range s.node.Instances() {
		if h.EntryRevision >= revision {
			current = append(current, h.ID)
			continue
		}
		behind = append(behind, h.ID)
	}
	return current, behind
}

// GetPolicy returns a team's part of the configuration in force, or the policy files that the
// team had accepted at an earlier revision.
func (s adminServer) GetPolicy(ctx context.Context, q *fieldvalev1.GetPolicyRequest) (*fieldvalev1.GetPolicyResponse, error) {
	if a := adminFrom(ctx); !a.mayRead(q.Team) {
		return nil, permissionDenied(a, "read", q.Team)
	}
	if q.Revision != 0 {
		return s.policyAt(ctx, q)
	}
	d, _ := s.node.Document()
	p := d.Part(q.Team)
	w := &fieldvalev1.GetPolicyResponse{Team: q.Team, Revision: p.Revision, DocumentRevision: d.Revision, Files: p.Source.Files, Withdrawn: versionStrings(p.Withdrawn)}
	for _, r := range p.Rollouts {
		w.Rollouts = append(w.Rollouts, rolloutToWire(r))
	}
	return w, nil
}

func rolloutToWire(r rollout.Rollout) *fieldvalev1.Rollout {
	w := &fieldvalev1.Rollout{
		From: r.From.String(), To: r.To.String(), State: string(r.State),
		Share: int32(r.Share()), Taken: int32(r.StepsTaken), Steps: int32(len(r.Steps)),
	}
	if r.State == rollout.Running && r.StepsTaken < len(r.Steps) {
		w.NextDue = r.Steps[r.StepsTaken].Due.UTC().Format(time.RFC3339)
	}
	return w
}

// policyAt returns the policy files that the team's change at the revision accepted.
func (s adminServer) policyAt(ctx context.Context, q *fieldvalev1.GetPolicyRequest) (*fieldvalev1.GetPolicyResponse, error) {
	e, f, err := s.node.PolicyAt(ctx, q.Revision)
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	if e.Team != q.Team || e.Action != audit.Accept {
		return nil, connect.NewError(connect.CodeNotFound, errors.Newf("revision %d did not accept a policy of team %s", q.Revision, q.Team))
	}
	return &fieldvalev1.GetPolicyResponse{Team: e.Team, Revision: e.Revision, Files: f}, nil
}

// Status returns the state of all live instances and replicas that this instance has records
// of.
func (s adminServer) Status(context.Context, *fieldvalev1.StatusRequest) (*fieldvalev1.StatusResponse, error) {
	d, _ := s.node.Document()
	w := &fieldvalev1.StatusResponse{Revision: d.Revision}
	for _, h := range s.node.Instances() {
		w.Instances = append(w.Instances, &fieldvalev1.InstanceStatus{
			Id: h.ID, DataCentre: h.DataCentre, Revision: h.Revision, EntryRevision: h.EntryRevision,
			StoreOk: h.StoreOK, EntryOk: h.EntryOK, HeardMillisAgo: time.Since(h.SentAt).Milliseconds(),
			Alarms: h.Alarms, Stopping: h.Stopping,
		})
		for _, a := range h.Alarms {
			w.Alarms = append(w.Alarms, h.ID+": "+a)
		}
	}
	for _, r := range s.node.Replicas() {
		w.Replicas = append(w.Replicas, &fieldvalev1.ReplicaStatus{
			Id: r.ID, DataCentre: r.DataCentre, Kind: string(r.Kind), Service: r.Service, Versions: versionStrings(r.Versions),
			Leaving: r.Draining, Running: int32(r.Load.Running), Waiting: int32(r.Load.Waiting),
		})
	}
	return w, nil
}

// Audit returns the audit log's entries of a team.
func (s adminServer) Audit(ctx context.Context, q *fieldvalev1.AuditRequest) (*fieldvalev1.AuditResponse, error) {
	a := adminFrom(ctx)
	if !a.mayRead(q.Team) {
		return nil, permissionDenied(a, "read", q.Team)
	}
	l, err := s.node.Audit(ctx, q.Team, int(q.Limit))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	w := &fieldvalev1.AuditResponse{}
	for _, e := range l {
		w.Entries = append(w.Entries, &fieldvalev1.AuditEntry{
			Revision: e.Revision, ChangeId: e.ChangeID, Team: e.Team, Who: e.Actor, At: e.At.UTC().Format(time.RFC3339),
			Action: string(e.Action), From: e.From, To: e.To, Why: e.Reason,
		})
	}
	return w, nil
}

// Bills returns the sums of a team's bills.
func (s adminServer) Bills(ctx context.Context, q *fieldvalev1.BillsRequest) (*fieldvalev1.BillsResponse, error) {
	a := adminFrom(ctx)
	if !a.mayRead(q.Team) {
		return nil, permissionDenied(a, "read", q.Team)
	}
	m, err := s.node.BillTotals(ctx, q.Team)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	w := &fieldvalev1.BillsResponse{}
	for l, x := range m {
		w.Lines = append(w.Lines, lineToWire(l, x))
	}
	return w, nil
}
