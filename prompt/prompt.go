// Package prompt describes the prompt of a request as far as the choice of a replica
// needs it: its size, and its parts that other requests share.
package prompt

// Prompt is the prompt of one request. The zero value means that there is none.
type Prompt struct {
	// Model is the model that the client requested. With AnyModel, the router chooses
	// one.
	Model string
	// InputTokens is the number of tokens of the prompt.
	InputTokens int
	// MaxOutputTokens is the maximum number of tokens to generate.
	MaxOutputTokens int
	// EstimatedOutputTokens is the client's estimate of the number of tokens to
	// generate; 0 if it gave none.
	EstimatedOutputTokens int
	// Parts are the consecutive parts of the prompt. The last one belongs to the request
	// or its session; those before it are shared with other requests.
	Parts []Part
}

// Part is a part of a prompt that a replica may have in its cache from an earlier
// request.
type Part struct {
	ID     string
	Tokens int
}

// AnyModel is the model of a prompt for which the router chooses the model.
const AnyModel = "*"

// IsZero reports whether the request has no prompt.
func (p Prompt) IsZero() bool { return p.Model == "" && p.InputTokens == 0 && len(p.Parts) == 0 }

// SharedParts returns the parts that are shared with other requests, in order. A replica
// caches a part only together with all parts before it, so the last shared part
// identifies the whole shared prefix.
func (p Prompt) SharedParts() []Part {
	return p.Parts[:max(0, len(p.Parts)-1)]
}

// SharedPartIDs returns the ids of the parts that are shared with other requests, in order.
func (p Prompt) SharedPartIDs() []string {
	var l []string
	for _, x := range p.SharedParts() {
		l = append(l, x.ID)
	}
	return l
}

// SharedTokens returns the number of tokens of the shared parts.
func (p Prompt) SharedTokens() int {
	n := 0
	for _, x := range p.SharedParts() {
		n += x.Tokens
	}
	return n
}
