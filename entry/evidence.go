package entry

import (
	"context"
	"sync"
	"time"

	"fieldvale/ring"
	"fieldvale/rollout"
	"fieldvale/version"
)

// ratingFloor is the rating below which an answer counts against its version, whatever quality
// the policy demands.
const ratingFloor = 0.3

// maxRatings bounds the queue of answers to be rated.
const maxRatings = 256

const ratingTimeout = 2 * time.Second

// evidence counts good and bad answers by version. Each answer counts once: by its rating if it
// has one, otherwise as good if it arrived completely.
type evidence struct {
	mu       sync.Mutex
	outcomes map[version.ID]rollout.Outcomes
	rater    Rater
	queue    *ring.Queue[ratingJob]
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

// queueRating queues an answer for rating after it was delivered. If the queue is full it counts
// as good, like an unrated answer.
func (e *evidence) queueRating(v version.ID, request, answer []byte) {
	if !e.queue.TryPut(ratingJob{v, request, answer}) {
		e.good(v)
	}
}

// run rates queued answers until ctx ends.
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

// all returns a copy of the counts.
func (e *evidence) all() map[version.ID]rollout.Outcomes {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := make(map[version.ID]rollout.Outcomes, len(e.outcomes))
	for k, v := range e.outcomes {
		r[k] = v
	}
	return r
}
