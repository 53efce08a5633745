// Package codec encodes and decodes domain values for the platform's store and for peers. The
// types here have the JSON tags, so that domain types need none.
package codec

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/policyfile"
	"fieldvale/config"
	"fieldvale/rollout"
	"fieldvale/session"
	"fieldvale/store"
	"fieldvale/version"
)

type wireDocument struct {
	Revision uint64              `json:"revision"`
	Recent   []string            `json:"recent"`
	Keys     []wireKey           `json:"session_keys"`
	Parts    map[string]wirePart `json:"parts"`
}

type wireKey struct {
	ID     string `json:"id"`
	Secret []byte `json:"secret"`
}

type wirePart struct {
	Revision  uint64            `json:"revision"`
	Files     map[string]string `json:"files"`
	Active    map[string]string `json:"active,omitempty"`
	Withdrawn []string          `json:"withdrawn,omitempty"`
	Rollouts  []wireRollout     `json:"rollouts,omitempty"`
}

type wireRollout struct {
	From  string     `json:"from"`
	To    string     `json:"to"`
	State string     `json:"state"`
	Taken int        `json:"taken"`
	Steps []wireStep `json:"steps"`
}

type wireStep struct {
	Share int       `json:"share"`
	Due   time.Time `json:"due"`
}

// EncodeDocument encodes a document as JSON. It returns an error if the result is larger than
// a value of the store may be.
func EncodeDocument(d config.Document) ([]byte, error) {
	w := wireDocument{Revision: d.Revision, Recent: d.RecentChanges, Parts: map[string]wirePart{}}
	for _, k := range d.SessionKeys {
		w.Keys = append(w.Keys, wireKey{ID: k.ID, Secret: k.Secret})
	}
	for t, p := range d.Parts {
		w.Parts[t] = partToWire(p)
	}
	b, err := json.Marshal(w)
	if err != nil {
		return nil, errors.Wrap(err, "codec: encode document")
	}
	if len(b) > store.MaxValue {
		return nil, errors.Newf("codec: encode document: the configuration of all teams has %d bytes, more than the %d that the store accepts", len(b), store.MaxValue)
	}
	return b, nil
}

func partToWire(p config.Part) wirePart {
	w := wirePart{Revision: p.Revision, Files: p.Source.Files, Withdrawn: versionsToWire(p.Withdrawn), Active: map[string]string{}}
	for m, v := range p.ActiveVersions {
		w.Active[m] = v.String()
	}
	for _, r := range p.Rollouts {
		w.Rollouts = append(w.Rollouts, rolloutToWire(r))
	}
	return w
}

func rolloutToWire(r rollout.Rollout) wireRollout {
	w := wireRollout{From: r.From.String(), To: r.To.String(), State: string(r.State), Taken: r.StepsTaken}
	for _, s := range r.Steps {
		w.Steps = append(w.Steps, wireStep{Share: s.Share, Due: s.Due})
	}
	return w
}

func versionsToWire(v []version.ID) []string {
	r := make([]string, len(v))
	for i, x := range v {
		r[i] = x.String()
	}
	return r
}

// DecodeRevision decodes only the revision of an encoded document. It is cheaper than
// DecodeDocument for a reader that may not need the other fields.
func DecodeRevision(b []byte) (uint64, error) {
	var w struct {
		Revision uint64 `json:"revision"`
	}
	err := json.Unmarshal(b, &w)
	return w.Revision, errors.Wrap(err, "codec: decode the revision of a document")
}

// DecodeDocument is the inverse of EncodeDocument.
func DecodeDocument(b []byte) (config.Document, error) {
	var w wireDocument
	if err := json.Unmarshal(b, &w); err != nil {
		return config.Document{}, errors.Wrap(err, "codec: decode document")
	}
	d := config.Document{Revision: w.Revision, RecentChanges: w.Recent, Parts: map[string]config.Part{}}
	for _, k := range w.Keys {
		d.SessionKeys = append(d.SessionKeys, session.Key{ID: k.ID, Secret: k.Secret})
	}
	for t, p := range w.Parts {
		x, err := partFromWire(t, p)
		if err != nil {
			return config.Document{}, errors.Wrapf(err, "codec: decode document: part of team %s", t)
		}
		d.Parts[t] = x
	}
	return d, nil
}

func partFromWire(team string, w wirePart) (config.Part, error) {
	s, e := policyfile.Parse(w.Files)
	if len(e) > 0 {
		return config.Part{}, e[0]
	}
	p := config.Part{Team: team, Revision: w.Revision, Source: s, ActiveVersions: map[string]version.ID{}}
	for m, t := range w.Active {
		v, err := version.Parse(t)
		if err != nil {
			return p, err
		}
		p.ActiveVersions[m] = v
	}
	for _, t := range w.Withdrawn {
		v, err := version.Parse(t)
		if err != nil {
			return p, err
		}
		p.Withdrawn = append(p.Withdrawn, v)
	}
	for _, r := range w.Rollouts {
		x, err := rolloutFromWire(r)
		if err != nil {
			return p, err
		}
		p.Rollouts = append(p.Rollouts, x)
	}
	return p, nil
}

// rolloutFromWire converts a roll-out and checks that its number of steps taken is valid.
func rolloutFromWire(w wireRollout) (rollout.Rollout, error) {
	f, err := version.Parse(w.From)
	if err != nil {
		return rollout.Rollout{}, err
	}
	t, err := version.Parse(w.To)
	if err != nil {
		return rollout.Rollout{}, err
	}
	r := rollout.Rollout{From: f, To: t, State: rollout.State(w.State), StepsTaken: w.Taken}
	for _, s := range w.Steps {
		r.Steps = append(r.Steps, rollout.Step{Share: s.Share, Due: s.Due})
	}
	if len(r.Steps) == 0 || r.StepsTaken < 0 || r.StepsTaken > len(r.Steps) {
		return r, errors.Newf("roll-out to %s: %d of %d steps taken, want at least one step and no more taken than there are", t, r.StepsTaken, len(r.Steps))
	}
	return r, nil
}
