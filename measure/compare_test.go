package measure_test

import (
	"os"
	"strings"
	"testing"

	"fieldvale/measure"
)

// Ways are compared on the days that both were played on; a difference within its
// spread is none.
func TestCompare(t *testing.T) {
	f, err := os.Open("testdata/trials.csv")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	l, err := measure.ReadTrials(f)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := measure.WriteComparison(&b, measure.Compare(l)); err != nil {
		t.Fatal(err)
	}
	want := `| decision | way | days | mean | difference | spread | |
|---|---|---|---|---|---|---|
| where | stands | 2 | 0.7500 | +0.0000 | 0.0000 | stands |
| where | wide | 2 | 0.7700 | +0.0200 | 0.0141 | other |
| who | stands | 1 | 0.8000 | +0.0000 | 0.0000 | stands |
| who | narrow | 1 | 0.7900 | -0.0100 | 0.0000 | other |
`
	if b.String() != want {
		t.Errorf("\n%s\nwant\n%s", &b, want)
	}
	d := t.TempDir()
	if err := measure.PlotComparison(measure.Compare(l), d); err != nil {
		t.Fatal(err)
	}
	if i, err := os.Stat(d + "/ways.svg"); err != nil || i.Size() == 0 {
		t.Error("no plot was written: ", err)
	}
}

func TestBadTrialsAreRefused(t *testing.T) {
	for _, x := range []string{"", "a,b,c,d\n", "decision,way,day,figure\na,b,c,much\n", "decision,way,day,figure\na,b\n"} {
		if l, err := measure.ReadTrials(strings.NewReader(x)); err == nil {
			t.Errorf("%q was read as %v", x, l)
		}
	}
}
