package main

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/entry"
	"fieldvale/outcome"
	"fieldvale/rollout"
)

// events logs what the router tells of, and passes bad releases on.
func (n *node) events() *entry.Hooks {
	judged := n.metrics.Counter("release_answers_total", "Attempts by release and what they count as when releases are judged.", "service", "release", "verdict")
	broken := n.metrics.Counter("attempts_failed_total", "Attempts at backend servers that came to nothing, by service and whether an answer had begun.", "service", "began")
	return &entry.Hooks{
		RequestStarted: n.began(),
		AttemptJudged:  func(service, release, verdict string) { judged.WithLabelValues(service, release, verdict).Inc() },
		AttemptFailed: func(f entry.FailedAttempt) {
			broken.WithLabelValues(f.Service, strconv.FormatBool(f.AnswerStarted)).Inc()
			n.event("attempt_failed", "request", f.Request, "content", f.Fingerprint, "replica", f.Replica, "began", f.AnswerStarted, "events", f.Events, "retry_in", retryIn(f.Err, n.clock()), "error", f.Err)
		},
		BadReleaseFound: func(r rollout.Release, t rollout.Tally, f rollout.Finding) {
			n.event("release_bad", append(seen(r, t, f), "cause", f.Cause)...)
		},
	}
}

// began counts requests that began to run, where usage is reported.
func (n *node) began() func(customer string, at time.Time) {
	if n.cloud == nil {
		return nil
	}
	return func(customer string, at time.Time) {
		if customer != "" {
			n.cloud.tally.Saw(customer, at)
		}
	}
}

// seen are the fields of what is made of a release.
func seen(r rollout.Release, t rollout.Tally, f rollout.Finding) []any {
	now, old := t.Totals()
	return []any{
		"service", r.Service, "release", r.Target, "order", r.Order, "phase", r.Phase, "origins", f.Reporters,
		"good", now.Good, "failed", now.Failed, "broken", now.Broken, "waits", now.Waits.Answered, "waited", now.Waits.Outlasted,
		"good_before", old.Good, "failed_before", old.Failed, "broken_before", old.Broken, "waits_before", old.Waits.Answered, "waited_before", old.Waits.Outlasted,
		"whose", f.BadShareLevel, "kind", f.KindLevel, "answers", f.FailureLevel, "pace", f.SlownessLevel, "doubt", f.Inconclusive,
	}
}

// seeEvery is between lines on what is made of a release under way.
const seeEvery = time.Second

// see logs what this instance makes of releases under way, where it has
// changed since the last line.
func (n *node) see() {
	for _, t := range n.router.ReleaseTrials() {
		if n.seen[t.Release.Service] == t {
			continue
		}
		n.seen[t.Release.Service] = t
		n.event("release_seen", seen(t.Release, t.Seen, t.Finding)...)
	}
}

// answered logs and counts each routed request.
func (n *node) answered() func(*entry.ForwardResult) {
	c := n.metrics.Counter("routed_total", "Routed requests by service and result.", "service", "code")
	l := n.metrics.Counter("replicas_limited_total", "Replicas that were left out for a request because they name a limit, or are cold, or may be, and got no more then, by service.", "service")
	d := n.metrics.Histogram("routed_first_seconds", "Time to the answer or to the first event.", "service")
	return func(f *entry.ForwardResult) {
		q := f.Request
		code := string(f.Code)
		if code == "" {
			code = "ok"
		}
		c.WithLabelValues(f.Service, code).Inc()
		if f.SkippedCount > 0 {
			l.WithLabelValues(f.Service).Add(float64(f.SkippedCount))
		}
		if !f.FirstByteAt.IsZero() {
			d.WithLabelValues(f.Service).Observe(f.FirstByteAt.Sub(q.ArrivedAt).Seconds())
		}
		n.quarantined(f)
		age, _ := n.lease.Age(n.clock())
		if age >= n.s.ApplyWithin {
			n.stale.WithLabelValues("routed").Inc()
		}
		n.event("routed", "request", q.ID, "content", f.Fingerprint, "route", q.Route.Name, "customer", q.Customer.Name, "session", q.Session, "config", q.Table.Version, "config_age", age,
			"service", f.Service, "replica", f.Replica, "tried", f.Tried, "left_out", f.Excluded, "release", f.Release, "model", f.Model, "confidence", f.Confidence, "dropped", f.Dropped, "doubt", f.Escalation,
			"prompt", q.Prompt.In, "most", q.Prompt.MaxOut, "limited", f.SkippedCount, "passed_over", f.Skipped, "sends", f.Sends, "runs", f.Runs, "events", f.Events, "status", f.Status, "code", code, "run", f.Outcome, "cause", causeText(f.Cause), "stopped", f.StopReason,
			"first", since(f.FirstByteAt, q.ArrivedAt), "took", f.EndedAt.Sub(q.ArrivedAt), "allowed", q.Deadline.Sub(q.ArrivedAt))
	}
}

// retryIn is for how long the replica asked not to be asked again; 0 if it did not.
func retryIn(err error, now time.Time) time.Duration {
	var o *outcome.Error
	if !errors.As(err, &o) {
		return 0
	}
	return since(o.RetryAt, now)
}

func causeText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func since(t, start time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(start)
}

// refused logs and counts each request that was not routed.
func (n *node) refused() func(id, host, path string, status int, reason string) {
	c := n.metrics.Counter("refused_total", "Requests that were not routed, by reason.", "reason")
	return func(id, host, path string, status int, reason string) {
		c.WithLabelValues(reason).Inc()
		age, _ := n.lease.Age(n.clock())
		if age >= n.s.ApplyWithin && status < http.StatusInternalServerError {
			n.stale.WithLabelValues("denied").Inc()
		}
		n.event("refused", "request", id, "host", host, "path", path, "status", status, "reason", reason, "config", n.configVersion(), "config_age", age)
	}
}
