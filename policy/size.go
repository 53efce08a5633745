package policy

// Size is the size class of a request's prompt. A policy program gets no finer
// information on the prompt.
type Size int

// The size classes, by estimated number of prompt tokens.
const (
	Small Size = iota
	Medium
	Large
)

// Upper bounds of the classes below Large, in tokens.
const (
	smallTokens  = 256
	mediumTokens = 2048
)

// Sizes returns all classes in ascending order.
func Sizes() []Size {
	return []Size{Small, Medium, Large}
}

// SizeOf returns the class of a prompt with the given number of tokens.
func SizeOf(tokens int) Size {
	switch {
	case tokens <= smallTokens:
		return Small
	case tokens <= mediumTokens:
		return Medium
	}
	return Large
}

// ParseSize returns the class with the given name.
func ParseSize(s string) (Size, bool) {
	for _, z := range Sizes() {
		if z.String() == s {
			return z, true
		}
	}
	return Small, false
}

// String returns the name of the class in policy programs and test cases.
func (s Size) String() string {
	return [...]string{"small", "medium", "large"}[s]
}
