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

// Role is what a key of the administration API may do.
type Role string

// The roles. A viewer reads its team's part, an operator changes it, and a
// platform key does both for all teams and rotates the session keys.
const (
	Viewer   Role = "viewer"
	Operator Role = "operator"
	Platform Role = "platform"
)

// Admin is a person or program with a key.
type Admin struct {
	Name    string
	Team    string
	Role    Role
	KeyHash string
}

// sees reports whether the admin may read the team's part.
func (a Admin) sees(team string) bool {
	return a.Role == Platform || a.Team == team
}

// changes reports whether the admin may change the team's part.
func (a Admin) changes(team string) bool {
	return a.Role == Platform || a.Role == Operator && a.Team == team
}

type adminKey struct{}

// AdminHandler serves the administration API to the holders of keys.
func AdminHandler(n *control.Node, admins []Admin) http.Handler {
	m := http.NewServeMux()
	m.Handle(fieldvalev1connect.NewAdminHandler(adminServer{n}, connect.WithReadMaxBytes(maxPeerMessage)))
	return authenticate(admins, m)
}

func authenticate(admins []Admin, h http.Handler) http.Handler {
	by := map[string]Admin{}
	for _, a := range admins {
		by[a.KeyHash] = a
	}
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		k, ok := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
		a, known := by[catalog.HashKey(k)]
		if !ok || !known {
			http.Error(w, "administration key is missing or wrong", http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, q.WithContext(context.WithValue(q.Context(), adminKey{}, a)))
	})
}

// adminServer serves operators.
type adminServer struct {
	node *control.Node
}

func who(ctx context.Context) Admin {
	a, _ := ctx.Value(adminKey{}).(Admin)
	return a
}

func denied(a Admin, what, team string) error {
	return connect.NewError(connect.CodePermissionDenied, errors.Newf("%s (%s of team %q) may not %s team %q", a.Name, a.Role, a.Team, what, team))
}

// inForceWait is how long an answer to a change waits for all instances.
const inForceWait = 3 * time.Second

// inForcePoll is between looks at who has a change in force.
const inForcePoll = 50 * time.Millisecond

func (s adminServer) Change(ctx context.Context, q *fieldvalev1.ChangeRequest) (*fieldvalev1.ChangeResponse, error) {
	a := who(ctx)
	if !a.changes(q.Team) || q.Action == string(audit.RotateKeys) && a.Role != Platform {
		return nil, denied(a, "change", q.Team)
	}
	c, err := s.changeFromWire(a, q)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	r, err := s.node.Change(ctx, c)
	if err != nil {
		return nil, changeError(err)
	}
	w := &fieldvalev1.ChangeResponse{Revision: r.Revision, RepeatedChange: r.Repeated}
	w.InForce, w.NotInForce = s.awaitInForce(ctx, r.Revision)
	return w, nil
}

func changeError(err error) error {
	switch {
	case errors.Is(err, config.ErrConflict):
		return connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrUnknown), errors.Is(err, control.ErrStoreOlder):
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewError(connect.CodeInvalidArgument, err)
}

func (s adminServer) changeFromWire(a Admin, q *fieldvalev1.ChangeRequest) (config.Change, error) {
	c := config.Change{ID: q.Id, Team: q.Team, Who: a.Name, Why: q.Why, At: time.Now(), Action: audit.Action(q.Action), Base: q.Base}
	if q.Id == "" {
		return c, errors.New("a change needs an id")
	}
	if q.AnyBase {
		c.Base = config.AnyBase
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
	case audit.StartRoll:
		c.Rollout, err = rolloutFromWire(q)
	case audit.HaltRoll:
		var v version.ID
		v, err = version.Parse(q.Version)
		c.Rollout = rollout.Rollout{To: v}
	case audit.RotateKeys:
		c.Key = session.NewKey()
	default:
		err = errors.Newf("action %q is not one that operators may ask for", q.Action)
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

// awaitInForce waits until the entries of all live instances have the
// revision, or inForceWait has passed, and returns who has it and who not.
func (s adminServer) awaitInForce(ctx context.Context, revision uint64) (have, lack []string) {
	d := time.Now().Add(inForceWait)
	for {
		have, lack = s.inForce(revision)
		if len(lack) == 0 || !time.Now().Before(d) || ctx.Err() != nil {
			return have, lack
		}
		time.Sleep(inForcePoll)
	}
}

func (s adminServer) inForce(revision uint64) (have, lack []string) {
	for _, h := range s.node.Instances() {
		if h.EntryRevision >= revision {
			have = append(have, h.ID)
			continue
		}
		lack = append(lack, h.ID)
	}
	return have, lack
}

func (s adminServer) GetPolicy(ctx context.Context, q *fieldvalev1.GetPolicyRequest) (*fieldvalev1.GetPolicyResponse, error) {
	if a := who(ctx); !a.sees(q.Team) {
		return nil, denied(a, "read", q.Team)
	}
	if q.Revision != 0 {
		return s.oldPolicy(ctx, q)
	}
	d, _ := s.node.Document()
	p := d.Part(q.Team)
	w := &fieldvalev1.GetPolicyResponse{Team: q.Team, Revision: p.Revision, DocumentRevision: d.Revision, Files: p.Source.Files, Withdrawn: versionTexts(p.Withdrawn)}
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

func (s adminServer) oldPolicy(ctx context.Context, q *fieldvalev1.GetPolicyRequest) (*fieldvalev1.GetPolicyResponse, error) {
	e, f, err := s.node.PolicyAt(ctx, q.Revision)
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	if e.Team != q.Team || e.Action != audit.Accept {
		return nil, connect.NewError(connect.CodeNotFound, errors.Newf("revision %d accepted no policy of team %s", q.Revision, q.Team))
	}
	return &fieldvalev1.GetPolicyResponse{Team: e.Team, Revision: e.Revision, Files: f}, nil
}

func (s adminServer) Status(context.Context, *fieldvalev1.StatusRequest) (*fieldvalev1.StatusResponse, error) {
	d, _ := s.node.Document()
	w := &fieldvalev1.StatusResponse{Revision: d.Revision}
	for _, h := range s.node.Instances() {
		w.Instances = append(w.Instances, &fieldvalev1.InstanceStatus{
			Id: h.ID, DataCentre: h.DataCentre, Revision: h.Revision, EntryRevision: h.EntryRevision,
			StoreOk: h.StoreOK, EntryOk: h.EntryOK, HeardMillisAgo: time.Since(h.At).Milliseconds(),
			Alarms: h.Alarms, Stopping: h.Stopping,
		})
		for _, a := range h.Alarms {
			w.Alarms = append(w.Alarms, h.ID+": "+a)
		}
	}
	for _, r := range s.node.Replicas() {
		w.Replicas = append(w.Replicas, &fieldvalev1.ReplicaStatus{
			Id: r.ID, DataCentre: r.DataCentre, Kind: string(r.Kind), Service: r.Service, Versions: versionTexts(r.Versions),
			Leaving: r.Draining, Running: int32(r.Load.Running), Waiting: int32(r.Load.Waiting),
		})
	}
	return w, nil
}

func (s adminServer) Audit(ctx context.Context, q *fieldvalev1.AuditRequest) (*fieldvalev1.AuditResponse, error) {
	a := who(ctx)
	if !a.sees(q.Team) {
		return nil, denied(a, "read", q.Team)
	}
	l, err := s.node.Audit(ctx, q.Team, int(q.Limit))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	w := &fieldvalev1.AuditResponse{}
	for _, e := range l {
		w.Entries = append(w.Entries, &fieldvalev1.AuditEntry{
			Revision: e.Revision, ChangeId: e.ChangeID, Team: e.Team, Who: e.Who, At: e.At.UTC().Format(time.RFC3339),
			Action: string(e.Action), From: e.From, To: e.To, Why: e.Why,
		})
	}
	return w, nil
}

func (s adminServer) Bills(ctx context.Context, q *fieldvalev1.BillsRequest) (*fieldvalev1.BillsResponse, error) {
	a := who(ctx)
	if !a.sees(q.Team) {
		return nil, denied(a, "read", q.Team)
	}
	m, err := s.node.Bills(ctx, q.Team)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	w := &fieldvalev1.BillsResponse{}
	for l, x := range m {
		w.Lines = append(w.Lines, lineToWire(l, x))
	}
	return w, nil
}
