package policy

// Size is the class of a request's length, the finest measure of the prompt
// that a policy program sees.
type Size int

// The size classes, by estimated prompt tokens.
const (
	Small Size = iota
	Medium
	Large
)

// Upper bounds in tokens of the classes below Large.
const (
	smallTokens  = 256
	mediumTokens = 2048
)

// Sizes lists the classes in order.
func Sizes() []Size {
	return []Size{Small, Medium, Large}
}

// SizeOf returns the class of a prompt of that many tokens.
func SizeOf(tokens int) Size {
	switch {
	case tokens <= smallTokens:
		return Small
	case tokens <= mediumTokens:
		return Medium
	}
	return Large
}

// ParseSize returns the class of that name.
func ParseSize(s string) (Size, bool) {
	for _, z := range Sizes() {
		if z.String() == s {
			return z, true
		}
	}
	return Small, false
}

// String returns the name that programs and test cases use.
func (s Size) String() string {
	return [...]string{"small", "medium", "large"}[s]
}
