package codec_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldvale/adapter/codec"
	"fieldvale/adapter/policyfile"
	"fieldvale/audit"
	"fieldvale/bill"
	"fieldvale/claim"
	"fieldvale/config"
	"fieldvale/peer"
	"fieldvale/rollout"
	"fieldvale/session"
	"fieldvale/version"
)

var (
	noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	m1   = version.New("lingua-small", "1")
	m2   = version.New("lingua-small", "2")
)

// document returns a document with the example policy and a roll-out in progress.
func document(t testing.TB) config.Document {
	f, err := policyfile.ReadDir("../../examples/shared-memory")
	if err != nil {
		t.Fatal(err)
	}
	s, e := policyfile.Parse(f)
	if len(e) > 0 {
		t.Fatal(e)
	}
	r, err := rollout.New(m1, m2, []int{100, rollout.FullShare}, noon, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	return config.Document{
		Revision: 9, RecentChanges: []string{"a", "b"}, SessionKeys: []session.Key{{ID: "k", Secret: []byte{1}}},
		Parts: map[string]config.Part{"shared-memory": {
			Team: "shared-memory", Revision: 8, Source: s, ActiveVersions: map[string]version.ID{"lingua-small": m2},
			Withdrawn: []version.ID{m1}, Rollouts: []rollout.Rollout{r.WithNextStep()},
		}},
	}
}

// A value must be the same after encoding and decoding. A field that the codec leaves out would
// be lost in the store or on the way to another instance.
func TestRoundTrip(t *testing.T) {
	d := document(t)
	b, err := codec.EncodeDocument(d)
	if err != nil {
		t.Fatal(err)
	}
	g, err := codec.DecodeDocument(b)
	if x := cmp.Diff(d, g); err != nil || x != "" {
		t.Errorf("document: got error %v, (-want +got):\n%s", err, x)
	}
	if r, err := codec.DecodeRevision(b); err != nil || r != 9 {
		t.Errorf("got revision %d and error %v, want 9 and no error", r, err)
	}
	c := claim.New("t/c", "k", "n", "i", noon).WithAnswer(200, []byte("yes"))
	b, _ = codec.EncodeClaim(c)
	k, err := codec.DecodeClaim(b)
	if x := cmp.Diff(c, k); err != nil || x != "" {
		t.Errorf("claim: got error %v, (-want +got):\n%s", err, x)
	}
	l := bill.NewLedger("o").With(bill.Record{Owner: "o", Seq: 2, Line: bill.Line{Team: "t", Customer: "c", Version: m1}, Amount: bill.Amount{Requests: 1, Cost: 5}})
	b, _ = codec.EncodeLedger(l)
	o, err := codec.DecodeLedger(b)
	if x := cmp.Diff(l, o); err != nil || x != "" {
		t.Errorf("ledger: got error %v, (-want +got):\n%s", err, x)
	}
	e := audit.Entry{Revision: 1, ChangeID: "c", Team: "t", Actor: "w", At: noon, Action: audit.Accept, From: "f", To: "t", Reason: "y"}
	b, _ = codec.EncodeAudit(e, map[string]string{"f": "x"})
	a, f, err := codec.DecodeAudit(b)
	if x := cmp.Diff(e, a); err != nil || x != "" || f["f"] != "x" {
		t.Errorf("audit entry: got error %v, (-want +got):\n%s\nand files %v", err, x, f)
	}
	h := peer.Heartbeat{Addr: "a", DataCentre: "d", Incarnation: "i", EntryIncarnation: "e", Revision: 3, EntryRevision: 2, StoreOK: true, LedgerUpto: 4, Alarms: []string{"x"}}
	b, _ = codec.EncodeHeartbeat(h)
	j, err := codec.DecodeHeartbeat(b)
	if x := cmp.Diff(h, j); err != nil || x != "" {
		t.Errorf("heartbeat: got error %v, (-want +got):\n%s", err, x)
	}
	v, err := codec.DecodeEvidence(codec.EncodeEvidence(rollout.Outcomes{Good: 300, Bad: 2}))
	if err != nil || v != (rollout.Outcomes{Good: 300, Bad: 2}) {
		t.Errorf("evidence: got %v and error %v, want 300 good, 2 bad and no error", v, err)
	}
}

// Invalid bytes from a peer or the store must give an error and not a panic, and a document that
// decodes without an error must be usable.
func FuzzDecode(f *testing.F) {
	b, err := codec.EncodeDocument(document(f))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte(`{"parts":{"t":{"rollouts":[{"from":"a@1","to":"a@2","taken":7}]}}}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if d, err := codec.DecodeDocument(b); err == nil {
			config.Compile(d)
			d.DueSteps(noon)
		}
		_, _ = codec.DecodeClaim(b)
		_, _ = codec.DecodeLedger(b)
		_, _, _ = codec.DecodeAudit(b)
		_, _ = codec.DecodeHeartbeat(b)
		_, _ = codec.DecodeEvidence(b)
	})
}
