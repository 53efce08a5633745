package quarantine

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// message is what instances say to each other: what came of an attempt, a question with
// its answer, or records that others should know.
type message struct {
	Event    *wireEvent  `json:"e,omitempty"`
	Question uint64      `json:"q,omitempty"`
	Ask      string      `json:"a,omitempty"`
	Answer   *wireAnswer `json:"w,omitempty"`
	Records  []wireEntry `json:"r,omitempty"`
	// Passed says that the records were passed on already.
	Passed bool `json:"p,omitempty"`
	// From is the instance that tells.
	From string `json:"f,omitempty"`
}

type wireEvent struct {
	Content string  `json:"c"`
	What    Outcome `json:"w"`
	Replica string  `json:"r,omitempty"`
	OnTrial bool    `json:"t,omitempty"`
}

type wireAnswer struct {
	Decision Decision   `json:"d"`
	Record   wireRecord `json:"r"`
}

// wireRecord is a record with ages in place of moments, in milliseconds: clocks of
// instances differ.
type wireRecord struct {
	Score         float64  `json:"s,omitempty"`
	Replicas      []string `json:"l,omitempty"`
	TrialReplicas []string `json:"m,omitempty"`
	TrialsEnded   int      `json:"e,omitempty"`
	TrialsOpen    int      `json:"o,omitempty"`
	// Trial is for how much longer one is under way.
	Trial int64  `json:"t,omitempty"`
	Age   int64  `json:"g,omitempty"`
	By    string `json:"b,omitempty"`
}

type wireEntry struct {
	Content string     `json:"c"`
	Record  wireRecord `json:"r"`
}

func newWireRecord(r Record, now time.Time) wireRecord {
	w := wireRecord{Score: r.Score, Replicas: r.Replicas, TrialReplicas: r.TrialReplicas, TrialsEnded: r.TrialCrashes, TrialsOpen: r.TrialsWithoutResult, By: r.ReportedBy}
	if !r.LastCrashAt.IsZero() {
		w.Age = max(0, now.Sub(r.LastCrashAt).Milliseconds())
	}
	if now.Before(r.TrialUntil) {
		w.Trial = r.TrialUntil.Sub(now).Milliseconds()
	}
	return w
}

// oldest bounds an age: records are over long before.
const oldest = 24 * time.Hour

func (w wireRecord) record(now time.Time) Record {
	r := Record{Score: min(mostCounted, max(0, w.Score)), Replicas: last(w.Replicas), TrialReplicas: last(w.TrialReplicas), TrialCrashes: max(0, w.TrialsEnded), TrialsWithoutResult: max(0, w.TrialsOpen), ReportedBy: w.By}
	r.LastCrashAt = now.Add(-time.Duration(max(0, min(w.Age, oldest.Milliseconds()))) * time.Millisecond)
	if w.Trial > 0 {
		r.TrialUntil = now.Add(time.Duration(min(trialFor.Milliseconds(), w.Trial)) * time.Millisecond)
	}
	return r
}

// encode can't fail: a message has numbers and texts only.
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
		return m, errors.Newf("quarantine.decode: decision %d", int(m.Answer.Decision))
	}
	return m, nil
}
