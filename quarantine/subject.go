package quarantine

import "slices"

// Kind is what kind of thing a subject is.
type Kind int

// The kinds.
const (
	// KindContent is the whole content of a request. All requests with the same fingerprint ask for
	// the same.
	KindContent Kind = iota
	// KindPart is a part of prompts that different requests share.
	KindPart
)

// String returns the name of the kind for logs and the store.
func (k Kind) String() string {
	if k == KindPart {
		return "part"
	}
	return "content"
}

// ParseKind parses the output of String. An empty string is a content, as records had no kind once.
func ParseKind(t string) (Kind, bool) {
	switch t {
	case "", KindContent.String():
		return KindContent, true
	case KindPart.String():
		return KindPart, true
	}
	return KindContent, false
}

// Part is a part of a prompt that different requests of one service share.
type Part struct {
	Fingerprint Fingerprint
	// Label is the service and the id of the part, for logs and the operator.
	Label string
}

const (
	// maxParts bounds the parts of one prompt that are tracked. Of more parts, the first ones and the
	// last ones are.
	maxParts = 64
	// maxLabel bounds the length of a label, in bytes.
	maxLabel = 96
)

// NewParts returns the parts with the ids, each once, at most maxParts of them.
func NewParts(service string, ids []string) []Part {
	if n := len(ids) - maxParts; n > 0 {
		ids = slices.Concat(ids[:maxParts/2], ids[len(ids)-maxParts/2:])
	}
	l := make([]Part, 0, len(ids))
	for _, id := range ids {
		p := newPart(service, id)
		if !slices.Contains(l, p) {
			l = append(l, p)
		}
	}
	return l
}

func newPart(service, id string) Part {
	label := service + "/" + id
	return Part{
		Fingerprint: RequestContent{Method: KindPart.String(), Host: service, Target: id}.Fingerprint(),
		Label:       label[:min(len(label), maxLabel)],
	}
}

// Subjects are what one request carries that may crash replicas.
type Subjects struct {
	// Content returns the fingerprint of the content. It is called only if it is needed.
	Content func() Fingerprint
	// Parts are the parts of the prompt that other requests share.
	Parts []Part
}

// carried returns the fingerprints of all subjects.
func (s Subjects) carried() []Fingerprint {
	l := []Fingerprint{s.Content()}
	for _, p := range s.Parts {
		l = append(l, p.Fingerprint)
	}
	return l
}
