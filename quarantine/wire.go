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
	// Carried are the subjects of the request that the question is about, at most maxCarried.
	Carried []string    `json:"d,omitempty"`
	Answer  *wireAnswer `json:"w,omitempty"`
	Records []wireEntry `json:"r,omitempty"`
	// PartAttempt and PartRecords are Attempt and Records if they are about parts. Builds that know no
	// parts would take them for contents.
	PartAttempt *wireAttempt `json:"x,omitempty"`
	PartRecords []wireEntry  `json:"y,omitempty"`
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
	// Kind and the fields below are for parts; see AttemptResult.
	Kind        Kind   `json:"k,omitempty"`
	Label       string `json:"n,omitempty"`
	AnswerBegan bool   `json:"b,omitempty"`
	Survivals   int    `json:"s,omitempty"`
	// SentAgo is how many milliseconds ago the request was sent to the replica; 0 if unknown.
	SentAgo int64 `json:"o,omitempty"`
}

// maxCarried bounds the subjects of one question: the content and the parts of most prompts.
const maxCarried = 16

func newWireAttempt(f Fingerprint, e AttemptResult, now time.Time) *wireAttempt {
	w := &wireAttempt{
		Fingerprint: f.String(), Outcome: e.Outcome, Replica: e.Replica, OnTrial: e.OnTrial,
		Kind: e.Kind, Label: e.Label, AnswerBegan: e.AnswerBegan, Survivals: e.Survivals,
	}
	if !e.SentAt.IsZero() {
		w.SentAgo = max(1, now.Sub(e.SentAt).Milliseconds())
	}
	return w
}

// result returns the result of an attempt that the instance by reported.
func (w wireAttempt) result(by string, now time.Time) AttemptResult {
	e := AttemptResult{
		Outcome: w.Outcome, Replica: w.Replica, OnTrial: w.OnTrial, ReportedBy: by,
		Kind: w.Kind, Label: w.Label[:min(len(w.Label), maxLabel)], AnswerBegan: w.AnswerBegan,
		Survivals: min(max(0, w.Survivals), maxReportedSurvivals),
	}
	if w.SentAgo > 0 {
		e.SentAt = now.Add(-time.Duration(min(w.SentAgo, maxAge.Milliseconds())) * time.Millisecond)
	}
	return e
}

// maxReportedSurvivals bounds the survivals of one report.
const maxReportedSurvivals = 1 << 20

// fingerprintStrings returns the fingerprints in hexadecimal, at most maxCarried.
func fingerprintStrings(l []Fingerprint) []string {
	var s []string
	for _, f := range l[:min(len(l), maxCarried)] {
		s = append(s, f.String())
	}
	return s
}

// parseFingerprints parses the output of fingerprintStrings. It skips what is not a fingerprint.
func parseFingerprints(s []string) []Fingerprint {
	var l []Fingerprint
	for _, t := range s[:min(len(s), maxCarried)] {
		if f, err := ParseFingerprint(t); err == nil {
			l = append(l, f)
		}
	}
	return l
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
	// Kind and the fields below are for parts. Credit is left out, as it ends soon.
	Kind        Kind     `json:"k,omitempty"`
	Label       string   `json:"n,omitempty"`
	Bystanders  []string `json:"y,omitempty"`
	DoubtTrials int      `json:"u,omitempty"`
	// CollectLeft is the time until the part becomes suspect.
	CollectLeft int64 `json:"c,omitempty"`
}

type wireEntry struct {
	Fingerprint string     `json:"c"`
	Record      wireRecord `json:"r"`
}

func newWireRecord(r Record, now time.Time) wireRecord {
	w := wireRecord{
		Score: r.Score, Replicas: r.Replicas, TrialReplicas: r.TrialReplicas, TrialCrashes: r.TrialCrashes, TrialsWithoutResult: r.TrialsWithoutResult, ReportedBy: r.ReportedBy,
		Kind: r.Kind, Label: r.Label, Bystanders: r.Bystanders, DoubtTrials: r.DoubtTrials,
	}
	if !r.LastCrashAt.IsZero() {
		w.Age = max(0, now.Sub(r.LastCrashAt).Milliseconds())
	}
	if r.isCollecting(now) {
		w.CollectLeft = max(1, r.SuspectFrom.Sub(now).Milliseconds())
	}
	if now.Before(r.TrialUntil) {
		w.TrialLeft = r.TrialUntil.Sub(now).Milliseconds()
	}
	return w
}

// newestOf returns the last incarnations of the list, at most as many as a record of the kind has.
func newestOf(k Kind, l []string) []string {
	if k == KindPart {
		return l[max(0, len(l)-maxPartReplicas):]
	}
	return newest(l)
}

// maxAge bounds an age; records expire long before it.
const maxAge = 24 * time.Hour

func (w wireRecord) record(now time.Time) Record {
	r := Record{Score: min(maxScore, max(0, w.Score)), Replicas: newestOf(w.Kind, w.Replicas), TrialReplicas: newest(w.TrialReplicas), TrialCrashes: max(0, w.TrialCrashes), TrialsWithoutResult: max(0, w.TrialsWithoutResult), ReportedBy: w.ReportedBy}
	r.Kind, r.Label, r.Bystanders, r.DoubtTrials = w.Kind, w.Label[:min(len(w.Label), maxLabel)], newestOf(w.Kind, w.Bystanders), max(0, w.DoubtTrials)
	r.LastCrashAt = now.Add(-time.Duration(max(0, min(w.Age, maxAge.Milliseconds()))) * time.Millisecond)
	if w.CollectLeft > 0 {
		r.SuspectFrom = now.Add(time.Duration(min(collectFor.Milliseconds(), w.CollectLeft)) * time.Millisecond)
	}
	if w.TrialLeft > 0 {
		r.TrialUntil = now.Add(time.Duration(min(trialTimeout.Milliseconds(), w.TrialLeft)) * time.Millisecond)
	}
	return r
}

// encode returns the JSON of the message. It can't fail, as a message consists of numbers, booleans
// and strings.
func encode(m message) []byte {
	if m.Attempt != nil && m.Attempt.Kind == KindPart {
		m.Attempt, m.PartAttempt = nil, m.Attempt
	}
	var contents []wireEntry
	for _, e := range m.Records {
		if e.Record.Kind == KindPart {
			m.PartRecords = append(m.PartRecords, e)
			continue
		}
		contents = append(contents, e)
	}
	m.Records = contents
	b, _ := json.Marshal(m)
	return b
}

func decode(b []byte) (message, error) {
	var m message
	if err := json.Unmarshal(b, &m); err != nil {
		return m, errors.Wrap(err, "quarantine.decode")
	}
	if m.PartAttempt != nil {
		m.Attempt, m.PartAttempt = m.PartAttempt, nil
	}
	m.Records, m.PartRecords = append(m.Records, m.PartRecords...), nil
	if m.Answer != nil && (m.Answer.Decision < Allow || m.Answer.Decision > Held) {
		return m, errors.Newf("quarantine.decode: unknown decision %d", int(m.Answer.Decision))
	}
	if m.Attempt != nil && m.Attempt.Kind != KindContent && m.Attempt.Kind != KindPart {
		return m, errors.Newf("quarantine.decode: unknown kind %d", int(m.Attempt.Kind))
	}
	return m, nil
}
