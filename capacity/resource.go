package capacity

// Resource is something that an instance has a bounded amount of.
type Resource int

// The resources.
const (
	None Resource = iota
	// LinkIn and LinkOut are the directions of the instance's network link, by the bytes that passed
	// it; Link is both of them, by the time that connections take to open.
	LinkIn
	LinkOut
	Link
	Processor
	Descriptors
	Memory
)

// String returns the resource's name in logs and metrics.
func (r Resource) String() string {
	switch r {
	case LinkIn:
		return "link_in"
	case LinkOut:
		return "link_out"
	case Link:
		return "link"
	case Processor:
		return "processor"
	case Descriptors:
		return "descriptors"
	case Memory:
		return "memory"
	}
	return "none"
}
