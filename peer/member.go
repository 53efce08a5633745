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
	// Addr is where its control process listens to peers.
	Addr       string
	DataCentre string
	// LinkMbps is what its link carries; 0 if that is not known.
	LinkMbps float64
}

// chords is how many partners an instance has beside its successor.
const chords = 2

// Partners returns the instances that self starts exchanges with: its
// successor on a ring by hash, so that all are connected, and chords chosen
// by rendezvous hashing, so that all are few steps apart.
func Partners(self string, m []Member) []Member {
	o := others(self, m)
	if len(o) == 0 {
		return nil
	}
	r := []Member{successor(self, o)}
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

func others(self string, m []Member) []Member {
	var r []Member
	for _, x := range m {
		if x.ID != self {
			r = append(r, x)
		}
	}
	return r
}

// successor returns the member that follows self on the ring of hashes.
func successor(self string, m []Member) Member {
	h := xxhash.Sum64String(self)
	return slices.MinFunc(m, func(a, b Member) int {
		return cmp.Compare(xxhash.Sum64String(a.ID)-h, xxhash.Sum64String(b.ID)-h)
	})
}

// Rank sorts members by rendezvous hashing for the key: all instances that
// know the same members agree on it without a message.
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

// Position returns self's place in the ranking for the key, from 0.
func Position(key, self string, m []Member) int {
	return slices.IndexFunc(Rank(key, m), func(x Member) bool { return x.ID == self })
}

// holders is how many instances beside the one that made it hold a bill.
const holders = 2

// Holders returns the instances that are to hold the bill of a request, and those to
// ask instead if none of them answers. They are the same whoever asks, so that a
// request id that is asked again elsewhere meets the record wherever it is: one more
// than the bill needs, for the one that made it may be among them. The first two are in
// different data centres where there are two.
func Holders(id string, m []Member) (hold, spare []Member) {
	r := spread(Rank("bill/"+id, candidates(m)))
	n := min(len(r), holders+1)
	return r[:n], r[n:]
}

// maxHolders bounds the instances among which bills are held by request id,
// so that not every instance keeps a connection to every other.
const maxHolders = 64

func candidates(m []Member) []Member {
	if len(m) <= maxHolders {
		return m
	}
	return Rank("holders", m)[:maxHolders]
}

// NearHolders returns the instances that are to hold the bill of a request
// which can't be asked again elsewhere, since only self knows its id: self's
// own partners, to which it has connections. One is in another data centre if
// any partner is; the rest are spares.
func NearHolders(self, dataCentre string, m []Member) (hold, spare []Member) {
	p := Partners(self, m)
	for i, x := range p {
		if x.DataCentre != dataCentre {
			p[0], p[i] = p[i], p[0]
			break
		}
	}
	n := min(len(p), holders)
	return p[:n], p[n:]
}

// spread moves the first member of another data centre to the second place.
func spread(r []Member) []Member {
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
