package quarantine_test

import (
	"testing"
	"time"

	"fieldvale/peer"
	"fieldvale/quarantine"
)

// Guards against datagrams that panic the node or leave it unable to decide.
func FuzzReceive(f *testing.F) {
	content := quarantine.RequestContent{Target: "/x"}.Fingerprint()
	for _, s := range []string{
		`{"e":{"c":"` + content.String() + `","w":0,"r":"r1"},"f":"n2"}`,
		`{"q":1,"a":"` + content.String() + `"}`,
		`{"q":1,"w":{"d":99,"r":{}}}`,
		`{"r":[{"c":"` + content.String() + `","r":{"s":9,"l":["r1"],"t":99999999999999,"g":-5}}],"f":"n2"}`,
		`{"r":[{"c":"x"}]}`, `{}`, ``,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		now := time.Unix(1_700_000_000, 0)
		n := quarantine.NewNode(1, quarantine.Config{Self: "n1", Net: discardTransport{}, Clock: func() time.Time { return now }, Log: func(string, ...any) {}, AnswerTimeout: time.Nanosecond})
		n.SetMembers([]peer.Member{{ID: "n1"}, {ID: "n2"}, {ID: "n3"}})
		n.Receive("n2", b)
		n.Tick()
		v := n.Check(t.Context(), content)
		if v.Decision.String() == "" || v.IsAllowed() && !v.RetryAt.IsZero() {
			t.Errorf("got verdict %+v, want a named decision, and a zero RetryAt if the request is allowed", v)
		}
	})
}

type discardTransport struct{}

func (discardTransport) Send(string, []byte) error { return nil }
