package entry

import (
	"context"
	"sync"
	"time"

	"fieldvale/ring"
	"fieldvale/rollout"
	"fieldvale/version"
)

// ratingFloor is the rating below which an answer is evidence against its
// version, whatever quality the policy asks for.
const ratingFloor = 0.3

// maxRatings bounds the answers waiting to be rated.
const maxRatings = 256

const ratingTimeout = 2 * time.Second

// evidence counts good and bad outcomes by version. An answer counts as good
// or bad once: by its rating where there is one, else by having come whole.
type evidence struct {
	mu       sync.Mutex
	outcomes map[version.ID]rollout.Outcomes
	rater    Rater
	queue    *ring.Ring[ratingJob]
}

type ratingJob struct {
	version version.ID
	request []byte
	answer  []byte
}

func newEvidence(r Rater) *evidence {
	return &evidence{outcomes: map[version.ID]rollout.Outcomes{}, rater: r, queue: ring.New[ratingJob](maxRatings)}
}

func (e *evidence) good(v version.ID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outcomes[v] = e.outcomes[v].WithGood(1)
}

func (e *evidence) bad(v version.ID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outcomes[v] = e.outcomes[v].WithBad(1)
}

func (e *evidence) rated(v version.ID, rating float64) {
	if rating < ratingFloor {
		e.bad(v)
		return
	}
	e.good(v)
}

// later has an answer rated after the caller got it. One that finds no room
// counts as good, as an unrated answer does.
func (e *evidence) queueRating(v version.ID, request, answer []byte) {
	if !e.queue.Offer(ratingJob{v, request, answer}) {
		e.good(v)
	}
}

// run is the duty that rates.
func (e *evidence) run(ctx context.Context) error {
	for {
		j, err := e.queue.Take(ctx)
		if err != nil {
			return nil
		}
		x, cancel := context.WithTimeout(ctx, ratingTimeout)
		f, err := e.rater.Rate(x, j.request, j.answer)
		cancel()
		if err != nil {
			e.good(j.version)
			continue
		}
		e.rated(j.version, f)
	}
}

// all returns the counts.
func (e *evidence) all() map[version.ID]rollout.Outcomes {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := make(map[version.ID]rollout.Outcomes, len(e.outcomes))
	for k, v := range e.outcomes {
		r[k] = v
	}
	return r
}
