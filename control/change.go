package control

import (
	"context"
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/codec"
	"fieldvale/audit"
	"fieldvale/config"
	"fieldvale/policy"
	"fieldvale/store"
)

// maxCommitAttempts bounds the attempts to commit one change against concurrent writers.
const maxCommitAttempts = 8

// ErrStoreOlder is returned for changes while the store holds an older
// configuration than the instances, which first write theirs back.
var ErrStoreOlder = errors.New("the store holds an older configuration than the instances; it is being restored, try again")

// ChangeResult is the result of a configuration change.
type ChangeResult struct {
	Revision uint64
	// AlreadyApplied reports that the configuration already had the change.
	AlreadyApplied bool
}

// Change validates a configuration change, writes it and its audit entry to the
// store in one transaction, and puts the result in force on this instance before
// it returns. It is safe to retry with the same change id, also after an error.
func (n *Node) Change(ctx context.Context, c config.Change) (ChangeResult, error) {
	if c.Action == audit.Accept {
		if err := checkPolicy(c.Source); err != nil {
			return ChangeResult{}, err
		}
	}
	var last error
	for range maxCommitAttempts {
		r, done, err := n.tryChange(ctx, c)
		if done {
			return r, err
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	if last == nil {
		last = errors.New("concurrent changes were committed first in every attempt")
	}
	return ChangeResult{}, errors.Wrapf(last, "control.Change: %s", c.Action)
}

// checkPolicy compiles the policy and runs its test cases.
func checkPolicy(s policy.Source) error {
	t, e := policy.Compile(s)
	if len(e) == 0 {
		e = t.Check(s.Cases)
	}
	if len(e) > 0 {
		return errors.Wrapf(e[0], "the policy has %d faults, the first is", len(e))
	}
	return nil
}

// tryChange makes one attempt to commit the change. done reports that the result
// is final and must not be retried.
func (n *Node) tryChange(ctx context.Context, c config.Change) (r ChangeResult, done bool, err error) {
	x, cancel := n.call(ctx)
	defer cancel()
	p, err := n.Store.Get(x, configKey)
	if err != nil {
		return r, false, err
	}
	d, err := n.decodeStored(p)
	if err != nil {
		return r, true, err
	}
	m, e, err := d.Apply(c)
	if err != nil {
		return r, true, err
	}
	if e == nil {
		n.handleStoredDocument(ctx, p)
		return ChangeResult{Revision: d.Revision, AlreadyApplied: true}, true, nil
	}
	return n.commit(x, p, m, *e, c.Source.Files)
}

// decodeStored decodes the decodeStored document. It refuses one older than the document in
// force as the base of a change: instances would ignore its next revision,
// which is not above theirs.
func (n *Node) decodeStored(p store.Pair) (config.Document, error) {
	var d config.Document
	if p.Version != 0 {
		o, err := codec.DecodeDocument(p.Value)
		if err != nil {
			return d, err
		}
		d = o
	}
	n.mu.Lock()
	h := n.doc.Revision
	n.mu.Unlock()
	if d.Revision < h {
		return d, ErrStoreOlder
	}
	return d, nil
}

// commit writes the document with its audit entry. After a lost response the
// caller retries: the next attempt finds the change's id in the stored document
// if the write took effect.
func (n *Node) commit(ctx context.Context, p store.Pair, d config.Document, e audit.Entry, files map[string]string) (ChangeResult, bool, error) {
	b, err := codec.EncodeDocument(d)
	if err != nil {
		return ChangeResult{}, true, err
	}
	a, err := codec.EncodeAudit(e, files)
	if err != nil {
		return ChangeResult{}, true, err
	}
	w := []store.Write{{Key: configKey, Value: b}, {Key: auditKey(d.Revision), Value: a}}
	ok, err := n.Store.Commit(ctx, []store.Guard{{Key: configKey, Version: p.Version}}, w)
	if err != nil || !ok {
		return ChangeResult{}, false, err
	}
	n.log("config_changed", "revision", d.Revision, "team", e.Team, "who", e.Actor, "action", e.Action, "from", e.From, "to", e.To, "why", e.Reason)
	_, err = n.adopt(b, false)
	return ChangeResult{Revision: d.Revision}, true, err
}

func auditKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", auditPrefix, revision)
}

func revisionText(r uint64) string {
	return "revision " + strconv.FormatUint(r, 10)
}

// Audit returns at most limit entries of the audit trail, the newest first. If a
// team is given, it returns only that team's entries and those of no team.
func (n *Node) Audit(ctx context.Context, team string, limit int) ([]audit.Entry, error) {
	x, cancel := n.call(ctx)
	defer cancel()
	p, err := n.Store.List(x, auditPrefix, limit)
	if err != nil {
		return nil, errors.Wrap(err, "control.Audit")
	}
	var r []audit.Entry
	for _, y := range p {
		e, _, err := codec.DecodeAudit(y.Value)
		if err != nil {
			return nil, errors.Wrap(err, "control.Audit")
		}
		if team == "" || e.Team == team || e.Team == "" {
			r = append(r, e)
		}
	}
	return r, nil
}

// PolicyAt returns the audit entry of the revision and the policy files that the
// change put in force.
func (n *Node) PolicyAt(ctx context.Context, revision uint64) (audit.Entry, map[string]string, error) {
	x, cancel := n.call(ctx)
	defer cancel()
	p, err := n.Store.Get(x, auditKey(revision))
	if err != nil {
		return audit.Entry{}, nil, errors.Wrap(err, "control.PolicyAt")
	}
	if p.Version == 0 {
		return audit.Entry{}, nil, errors.Newf("the audit trail has no entry for revision %d", revision)
	}
	return codec.DecodeAudit(p.Value)
}
