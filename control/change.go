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

// maxCommits bounds the tries of one change against other writers.
const maxCommits = 8

// ErrStoreOlder refuses changes while the store holds an older configuration
// than the instances: it is put right first.
var ErrStoreOlder = errors.New("the store holds an older configuration than the instances; it is being restored, try again")

// Changed is the result of a change.
type Changed struct {
	Revision uint64
	// Repeated says that the change had been made before.
	Repeated bool
}

// Change makes an operator's change: it is checked, written with its audit
// entry in one transaction, and in force here when Change returns. It is safe
// to repeat with the same id, also after an error.
func (n *Node) Change(ctx context.Context, c config.Change) (Changed, error) {
	if c.Action == audit.Accept {
		if err := checkPolicy(c.Source); err != nil {
			return Changed{}, err
		}
	}
	var last error
	for range maxCommits {
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
		last = errors.New("other changes kept coming first")
	}
	return Changed{}, errors.Wrapf(last, "control.Change: %s", c.Action)
}

func checkPolicy(s policy.Source) error {
	t, e := policy.Compile(s)
	if len(e) == 0 {
		e = t.Check(s.Cases)
	}
	if len(e) > 0 {
		return errors.Wrapf(e[0], "the policy is refused, %d faults, the first", len(e))
	}
	return nil
}

// tryChange makes one try. done says that its result is final.
func (n *Node) tryChange(ctx context.Context, c config.Change) (r Changed, done bool, err error) {
	x, cancel := n.call(ctx)
	defer cancel()
	p, err := n.Store.Get(x, configKey)
	if err != nil {
		return r, false, err
	}
	d, err := n.stored(p)
	if err != nil {
		return r, true, err
	}
	m, e, err := d.Apply(c)
	if err != nil {
		return r, true, err
	}
	if e == nil {
		n.sawStore(ctx, p)
		return Changed{Revision: d.Revision, Repeated: true}, true, nil
	}
	return n.commit(x, p, m, *e, c.Source.Files)
}

// stored decodes the store's document. One older than that in force is no
// base for a change: its next revision would be one that instances ignore.
func (n *Node) stored(p store.Pair) (config.Document, error) {
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

// commit writes the document with its audit entry. A lost answer is no end:
// the next try finds the change's id if the write took effect.
func (n *Node) commit(ctx context.Context, p store.Pair, d config.Document, e audit.Entry, files map[string]string) (Changed, bool, error) {
	b, err := codec.EncodeDocument(d)
	if err != nil {
		return Changed{}, true, err
	}
	a, err := codec.EncodeAudit(e, files)
	if err != nil {
		return Changed{}, true, err
	}
	w := []store.Write{{Key: configKey, Value: b}, {Key: auditKey(d.Revision), Value: a}}
	ok, err := n.Store.Commit(ctx, []store.Guard{{Key: configKey, Version: p.Version}}, w)
	if err != nil || !ok {
		return Changed{}, false, err
	}
	n.log("config_changed", "revision", d.Revision, "team", e.Team, "who", e.Who, "action", e.Action, "from", e.From, "to", e.To, "why", e.Why)
	_, err = n.adopt(b, false)
	return Changed{Revision: d.Revision}, true, err
}

func auditKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", auditPrefix, revision)
}

func revisionText(r uint64) string {
	return "revision " + strconv.FormatUint(r, 10)
}

// Audit returns at most limit entries of the trail, the newest first; of one
// team if it is named.
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

// PolicyAt returns the files that an accept put in force at the revision.
func (n *Node) PolicyAt(ctx context.Context, revision uint64) (audit.Entry, map[string]string, error) {
	x, cancel := n.call(ctx)
	defer cancel()
	p, err := n.Store.Get(x, auditKey(revision))
	if err != nil {
		return audit.Entry{}, nil, errors.Wrap(err, "control.PolicyAt")
	}
	if p.Version == 0 {
		return audit.Entry{}, nil, errors.Newf("no change made revision %d", revision)
	}
	return codec.DecodeAudit(p.Value)
}
