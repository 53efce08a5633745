package main

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/exchange"
	"fieldvale/adapter/httphead"
	"fieldvale/adapter/readlimit"
	"fieldvale/answerbuffer"
	"fieldvale/entry"
	"fieldvale/outcome"
	"fieldvale/rollout"
)

// routerHooks returns hooks that log and count the router's events.
func (n *node) routerHooks() *entry.Hooks {
	judged := n.metrics.Counter("release_answers_total", "Attempts by release and what they count as when releases are judged.", "service", "release", "verdict")
	bad := n.metrics.Counter("releases_found_bad_total", "Releases that this instance found bad, by service and the state that the release was in.", "service", "state")
	broken := n.metrics.Counter("attempts_failed_total", "Attempts at backend servers that came to nothing, by service and whether an answer had begun.", "service", "began")
	unusable := n.metrics.Counter("answers_unusable_total", "Attempts whose replica sent bytes that are no answer to the request, by service and reason.", "service", "reason")
	moved := n.metrics.Counter("streams_moved_total", "Streams that were continued on another replica because they were silent or too slow, by service and reason.", "service", "reason")
	return &entry.Hooks{
		StreamMoved: func(m entry.StreamMove) {
			moved.WithLabelValues(m.Service, m.Reason.String()).Inc()
			n.logEvent("stream_moved", "request", m.Request, "service", m.Service, "from", m.From, "to", m.To, "events", m.Events, "interval", m.Interval, "silence", m.DecidedAt.Sub(m.SilentSince), "events_left", m.EventsLeft, "time_left", m.Deadline.Sub(m.DecidedAt), "reason", m.Reason)
		},
		RequestStarted: n.requestStartedHook(),
		ShareDecided:   n.shareDecidedHook(),
		ClientSlow:     n.clientSlowHook(),
		AttemptJudged:  func(service, release, verdict string) { judged.WithLabelValues(service, release, verdict).Inc() },
		AttemptFailed: func(f entry.FailedAttempt) {
			broken.WithLabelValues(f.Service, strconv.FormatBool(f.AnswerStarted)).Inc()
			if r := unusableReason(f.Err); r != "" {
				unusable.WithLabelValues(f.Service, r).Inc()
			}
			n.logEvent("attempt_failed", "request", f.Request, "content", f.Fingerprint, "parts", partList(f.SharedParts), "replica", f.Replica, "replica_crashed", f.ReplicaCrashed,
				"began", f.AnswerStarted, "began_ago", headAge(f, n.clock()), "events", f.Events, "retry_in", retryDelay(f.Err, n.clock()), "error", f.Err)
		},
		BadReleaseFound: func(r rollout.Release, t rollout.Tally, f rollout.Finding) {
			n.logEvent("release_bad", append(trialFields(r, t, f), "cause", f.Cause, "state", r.State)...)
			bad.WithLabelValues(r.Service, string(r.State)).Inc()
		},
	}
}

// requestStartedHook returns a hook that counts the requests that began to run, by
// customer, for reports of usage; nil where this instance has no duties.
func (n *node) requestStartedHook() func(customer string, at time.Time) {
	if n.dutyWorker == nil {
		return nil
	}
	return func(customer string, at time.Time) {
		if customer != "" {
			n.dutyWorker.tally.CountRequest(customer, at)
		}
	}
}

// trialFields returns the log fields of a release's trial: the counts of answers and the
// finding based on them.
func trialFields(r rollout.Release, t rollout.Tally, f rollout.Finding) []any {
	now, old := t.Totals()
	return []any{
		"service", r.Service, "release", r.Target, "order", r.Order, "phase", r.Phase, "origins", f.Reporters,
		"good", now.Good, "failed", now.Failed, "broken", now.Broken, "waits", now.Waits.Answered, "waited", now.Waits.Outlasted,
		"good_before", old.Good, "failed_before", old.Failed, "broken_before", old.Broken, "waits_before", old.Waits.Answered, "waited_before", old.Waits.Outlasted,
		"whose", f.BadShareLevel, "kind", f.KindLevel, "answers", f.FailureLevel, "pace", f.SlownessLevel, "doubt", f.Inconclusive,
	}
}

// trialLogInterval is the interval at which trials of releases are logged if they changed.
const trialLogInterval = time.Second

// logTrials logs the trials of the releases in progress that changed since they were last
// logged.
func (n *node) logTrials() {
	for _, t := range n.router.ReleaseTrials() {
		if n.loggedTrials[t.Release.Service] == t {
			continue
		}
		n.loggedTrials[t.Release.Service] = t
		n.logEvent("release_seen", trialFields(t.Release, t.Seen, t.Finding)...)
	}
}

// onRouted returns the function that logs and counts each routed request.
func (n *node) onRouted() func(*entry.ForwardResult) {
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
		n.logQuarantined(f)
		age, _ := n.lease.Age(n.clock())
		if age >= n.settings.MaxApplyDelay {
			n.staleAnswers.WithLabelValues("routed").Inc()
		}
		n.logEvent("routed", "request", q.ID, "content", f.Fingerprint, "route", q.Route.Name, "customer", q.Customer.Name, "session", q.Session, "config", q.Table.Version, "config_age", age,
			"service", f.Service, "replica", f.Replica, "tried", f.Tried, "via", f.Via, "left_out", f.Excluded, "load", f.ReportedLoad, "load_age", f.ReportedLoad.Age, "release", f.Release, "model", f.Model, "confidence", f.Confidence, "dropped", f.Dropped, "doubt", f.Escalation, "over_share", shareOutcome(f.Share), "expected", f.ExpectedFinish, "delays_others", f.DelayOfOthers,
			"prompt", q.Prompt.InputTokens, "most", q.Prompt.MaxOutputTokens, "limited", f.SkippedCount, "passed_over", f.Skipped, "sends", f.Sends, "runs", f.Runs, "events", f.Events, "status", f.Status, "code", code, "run", f.Outcome, "cause", errorText(f.Cause), "stopped", f.StopReason, "moved", f.Moves, "move_declined", f.MoveDeclined,
			"first", elapsed(f.FirstByteAt, q.ArrivedAt), "took", f.EndedAt.Sub(q.ArrivedAt), "allowed", q.Deadline.Sub(q.ArrivedAt))
	}
}

// retryDelay returns for how long the replica requested backoff in its answer; 0 if it did
// not.
func retryDelay(err error, now time.Time) time.Duration {
	var o *outcome.Error
	if !errors.As(err, &o) {
		return 0
	}
	return elapsed(o.RetryAt, now)
}

// unusableReasons are the errors of answers that are none, and their values of the label "reason".
var unusableReasons = []struct {
	err    error
	reason string
}{
	{exchange.ErrUnattributed, "no_id"},
	{exchange.ErrUnmatched, "other_id"},
	{exchange.ErrInformational, "informational"},
	{httphead.ErrContradictory, "contradictory"},
	{httphead.ErrMalformed, "malformed"},
	{exchange.ErrBrokenOff, "broken_off"},
	{readlimit.ErrExceeded, "too_long"},
	{answerbuffer.ErrTooLong, "too_long"},
	{answerbuffer.ErrNoRoom, "no_room"},
	{entry.ErrOnlyComments, "only_comments"},
}

// unusableReason returns why an attempt's answer was none; empty for other errors.
func unusableReason(err error) string {
	for _, u := range unusableReasons {
		if errors.Is(err, u.err) {
			return u.reason
		}
	}
	return ""
}

// maxLoggedParts bounds the parts of a prompt in one log line.
const maxLoggedParts = 16

// partList returns the ids of the parts of a prompt, at most maxLoggedParts, separated by commas.
func partList(ids []string) string {
	if len(ids) > maxLoggedParts {
		return strings.Join(ids[:maxLoggedParts], ",") + ",..."
	}
	return strings.Join(ids, ",")
}

// errorText returns the text of err, empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// headAge returns the time since the head of the attempt's answer arrived; 0 if it did not.
func headAge(f entry.FailedAttempt, now time.Time) time.Duration {
	if f.HeadAt.IsZero() {
		return 0
	}
	return now.Sub(f.HeadAt)
}

// elapsed returns the time from start to t; 0 if one of them is not set.
func elapsed(t, start time.Time) time.Duration {
	if t.IsZero() || start.IsZero() {
		return 0
	}
	return t.Sub(start)
}

// onRefused returns the function that logs and counts each request that was not routed.
func (n *node) onRefused() func(id, host, path string, status int, reason string) {
	c := n.metrics.Counter("refused_total", "Requests that were not routed, by reason.", "reason")
	return func(id, host, path string, status int, reason string) {
		c.WithLabelValues(reason).Inc()
		age, _ := n.lease.Age(n.clock())
		if age >= n.settings.MaxApplyDelay && status < http.StatusInternalServerError {
			n.staleAnswers.WithLabelValues("denied").Inc()
		}
		n.logEvent("refused", "request", id, "host", host, "path", path, "status", status, "reason", reason, "config", n.configVersion(), "config_age", age)
	}
}
