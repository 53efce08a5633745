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

// SharedKey names what the prompt shares with others, empty if it is nothing.
// A part is kept only with all before it, so the deepest one names them all.
func (p Prompt) SharedKey() string {
	if len(p.Parts) < 2 {
		return ""
	}
	return p.Parts[len(p.Parts)-2].ID
}

// SharedTokens is the size of the shared parts.
func (p Prompt) SharedTokens() int {
	n := 0
	for i := 0; i+1 < len(p.Parts); i++ {
		n += p.Parts[i].Tokens
	}
	return n
}
