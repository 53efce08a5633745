// Package prompt describes what a request gives a language model to read, as
// far as placement needs it: its size and the parts that others share.
package prompt

// Prompt is one request's prompt. The zero value is no prompt.
type Prompt struct {
	// Model is what the client asked for; AnyModel leaves the choice to the
	// router.
	Model string
	// In and MaxOut are tokens: those of the prompt, and the most to be made.
	In     int
	MaxOut int
	// Parts make up the prompt in order. The last one is the request's own
	// or its session's; those before it are shared with other requests.
	Parts []Part
}

// Part is a piece of a prompt that a replica may have kept from before.
type Part struct {
	ID     string
	Tokens int
}

// AnyModel as a prompt's model leaves the choice to the router.
const AnyModel = "*"

// IsNone reports whether there is no prompt.
func (p Prompt) IsNone() bool { return p.Model == "" && p.In == 0 && len(p.Parts) == 0 }

// Shared returns the parts that others share, in order. One is kept only with
// all before it, so the deepest one names them all.
func (p Prompt) Shared() []Part {
	return p.Parts[:max(0, len(p.Parts)-1)]
}

// SharedTokens is the size of the shared parts.
func (p Prompt) SharedTokens() int {
	n := 0
	for _, x := range p.Shared() {
		n += x.Tokens
	}
	return n
}
