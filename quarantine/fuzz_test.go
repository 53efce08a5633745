package quarantine_test

import (
	"testing"
	"time"

	"fieldvale/peer"
	"fieldvale/quarantine"
)

// Whatever comes as a datagram, an instance goes on deciding.
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
		n := quarantine.NewNode(1, quarantine.Config{Self: "n1", Net: nowhere{}, Clock: func() time.Time { return now }, Log: func(string, ...any) {}, AnswerWithin: time.Nanosecond})
		n.SetMembers([]peer.Member{{ID: "n1"}, {ID: "n2"}, {ID: "n3"}})
		n.Receive("n2", b)
		n.Tick()
		v := n.Ask(t.Context(), content)
		if v.Decision.String() == "" || v.IsAllowed() && !v.RetryAt.IsZero() {
			t.Errorf("%+v", v)
		}
	})
}

type nowhere struct{}

func (nowhere) Send(string, []byte) error { return nil }
