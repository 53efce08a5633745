package main

import "time"

// Three of the six replicas crash, one at a time. Each is back at its address after downTime.
const (
	crashes    = 3
	crashEvery = 5 * time.Second
	downTime   = 4500 * time.Millisecond
)

// playCrash: replicas whose answers end with their connection are killed while streams are under way. ORDER: a stream
// that ends as complete must have its last piece.
func playCrash(e *env) (bool, error) {
	if err := e.startStreams(); err != nil {
		return false, err
	}
	return e.playStreams("", 18*time.Second, 5*time.Second, func() error {
		if !e.trouble {
			return nil
		}
		for _, r := range e.replicas[:crashes] {
			next := time.Now().Add(crashEvery)
			r.kill()
			e.say("replica %s was killed", r.ID)
			time.Sleep(downTime)
			if _, err := e.startReplica(r.service, r.zone, r.behaviour); err != nil {
				return err
			}
			e.say("replica %s is back", r.ID)
			time.Sleep(time.Until(next))
		}
		return nil
	})
}
