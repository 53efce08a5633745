package quarantine

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// message is a datagram between instances: the result of an attempt, a question with the
// fingerprint of a content, the answer to it, or a broadcast of records.
type message struct {
	Attempt    *wireAttempt `json:"e,omitempty"`
	QuestionID uint64       `json:"q,omitempty"`
	Query      string       `json:"a,omitempty"`
	Answer     *wireAnswer  `json:"w,omitempty"`
	Records    []wireEntry  `json:"r,omitempty"`
	// Relayed is true if the records were already relayed to followers.
	Relayed bool `json:"p,omitempty"`
	// From is the id of the sender.
	From string `json:"f,omitempty"`
}

type wireAttempt struct {
	Fingerprint string  `json:"c"`
	Outcome     Outcome `json:"w"`
	Replica     string  `json:"r,omitempty"`
	OnTrial     bool    `json:"t,omitempty"`
}

type wireAnswer struct {
	Decision Decision   `json:"d"`
	Record   wireRecord `json:"r"`
}

// wireRecord is a Record with ages in milliseconds in place of times, since the clocks of instances
// differ.
type wireRecord struct {
	Score               float64  `json:"s,omitempty"`
	Replicas            []string `json:"l,omitempty"`
	TrialReplicas       []string `json:"m,omitempty"`
	TrialCrashes        int      `json:"e,omitempty"`
	TrialsWithoutResult int      `json:"o,omitempty"`
	// TrialLeft is the time until the trial that is under way times out.
	TrialLeft  int64  `json:"t,omitempty"`
	Age        int64  `json:"g,omitempty"`
	ReportedBy string `json:"b,omitempty"`
}

type wireEntry struct {
	Fingerprint string     `json:"c"`
	Record      wireRecord `json:"r"`
}

func newWireRecord(r Record, now time.Time) wireRecord {
	w := wireRecord{Score: r.Score, Replicas: r.Replicas, TrialReplicas: r.TrialReplicas, TrialCrashes: r.TrialCrashes, TrialsWithoutResult: r.TrialsWithoutResult, ReportedBy: r.ReportedBy}
	if !r.LastCrashAt.IsZero() {
		w.Age = max(0, now.Sub(r.LastCrashAt).Milliseconds())
	}
	if now.Before(r.TrialUntil) {
		w.TrialLeft = r.TrialUntil.Sub(now).Milliseconds()
	}
	return w
}

// maxAge bounds an age; records expire long before it.
const maxAge = 24 * time.Hour

func (w wireRecord) record(now time.Time) Record {
	r := Record{Score: min(maxScore, max(0, w.Score)), Replicas: newest(w.Replicas), TrialReplicas: newest(w.TrialReplicas), TrialCrashes: max(0, w.TrialCrashes), TrialsWithoutResult: max(0, w.TrialsWithoutResult), ReportedBy: w.ReportedBy}
	r.LastCrashAt = now.Add(-time.Duration(max(0, min(w.Age, maxAge.Milliseconds()))) * time.Millisecond)
	if w.TrialLeft > 0 {
		r.TrialUntil = now.Add(time.Duration(min(trialTimeout.Milliseconds(), w.TrialLeft)) * time.Millisecond)
	}
	return r
}

// encode returns the JSON of the message. It can't fail, as a message consists of numbers, booleans
// and strings.
func encode(m message) []byte {
	b, _ := json.Marshal(m)
	return b
}

func decode(b []byte) (message, error) {
	var m message
	if err := json.Unmarshal(b, &m); err != nil {
		return m, errors.Wrap(err, "quarantine.decode")
	}
	if m.Answer != nil && (m.Answer.Decision < Allow || m.Answer.Decision > Held) {
		return m, errors.Newf("quarantine.decode: unknown decision %d", int(m.Answer.Decision))
	}
	return m, nil
}
