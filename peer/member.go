package peer

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is one of fieldvale's instances.
type Member struct {
	ID string
	// Addr is the address at which its control process serves peers.
	Addr       string
	DataCentre string
	// LinkMbps is the capacity of its network link in Mbit/s, 0 if unknown.
	LinkMbps float64
}

// chords is how many partners an instance has in addition to its ring successor.
const chords = 2

// Partners returns the instances with which self starts exchanges: its successor
// on a hash ring, so that all instances are connected, and further ones chosen by
// rendezvous hashing, so that few hops separate any two instances.
func Partners(self string, m []Member) []Member {
	o := otherMembers(self, m)
	if len(o) == 0 {
		return nil
	}
	r := []Member{ringSuccessor(self, o)}
	for _, x := range Rank("partner/"+self, o) {
		if len(r) > chords {
			break
		}
		if !slices.Contains(r, x) {
			r = append(r, x)
		}
	}
	return r
}

// otherMembers returns the members other than self.
func otherMembers(self string, m []Member) []Member {
	var r []Member
	for _, x := range m {
		if x.ID != self {
			r = append(r, x)
		}
	}
	return r
}

// ringSuccessor returns the member that follows self on the hash ring.
func ringSuccessor(self string, m []Member) Member {
	h := xxhash.Sum64String(self)
	return slices.MinFunc(m, func(a, b Member) int {
		return cmp.Compare(xxhash.Sum64String(a.ID)-h, xxhash.Sum64String(b.ID)-h)
	})
}

// Rank sorts members by rendezvous hashing for the key. All instances with the same
// member list compute the same order without communication.
func Rank(key string, m []Member) []Member {
	r := slices.Clone(m)
	w := make(map[string]uint64, len(r))
	for _, x := range r {
		w[x.ID] = xxhash.Sum64String(key + "/" + x.ID)
	}
	slices.SortFunc(r, func(a, b Member) int {
		if c := cmp.Compare(w[b.ID], w[a.ID]); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	return r
}

// Position returns the index of self in the ranking for the key, or -1 if self is
// not a member.
func Position(key, self string, m []Member) int {
	return slices.IndexFunc(Rank(key, m), func(x Member) bool { return x.ID == self })
}

// holdersPerBill is how many instances hold a bill in addition to the one that
// made it.
const holdersPerBill = 2

// Holders returns the instances that must hold the bill of the request with that id,
// and the spares that are used if none of those responds. The result depends only on
// the id and the members, so that an instance to which a caller retries the request
// finds the record of the first attempt. It has one holder more than a bill needs,
// because the instance that made the bill may be among them. The first two are in
// different data centres if the members are in more than one.
func Holders(id string, m []Member) (hold, spare []Member) {
	r := separateDataCentres(Rank("bill/"+id, holderCandidates(m)))
	n := min(len(r), holdersPerBill+1)
	return r[:n], r[n:]
}

// maxHolders bounds the instances that hold bills by request id, so that not every
// instance keeps a connection to every other.
const maxHolders = 64

// holderCandidates returns the members among which holders are chosen.
func holderCandidates(m []Member) []Member {
	if len(m) <= maxHolders {
		return m
	}
	return Rank("holders", m)[:maxHolders]
}

// PartnerHolders returns the holders and spares for the bill of a request whose id self
// generated. Callers don't have the id and can't retry the request under it at
// another instance, so that self's own partners can hold the bill, to which it
// has connections. The first holder is in another data centre than self if any
// partner is.
func PartnerHolders(self, dataCentre string, m []Member) (hold, spare []Member) {
	p := Partners(self, m)
	for i, x := range p {
		if x.DataCentre != dataCentre {
			p[0], p[i] = p[i], p[0]
			break
		}
	}
	n := min(len(p), holdersPerBill)
	return p[:n], p[n:]
}

// separateDataCentres moves the first member that is in another data centre than
// the first one to the second place.
func separateDataCentres(r []Member) []Member {
	for i := 1; i < len(r); i++ {
		if r[i].DataCentre != r[0].DataCentre {
			x := r[i]
			copy(r[2:i+1], r[1:i])
			r[1] = x
			return r
		}
	}
	return r
}
