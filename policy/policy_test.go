package policy_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	"fieldvale/adapter/policyfile"
	"fieldvale/policy"
	"fieldvale/standin/seed"
)

var _ = seed.Fix()

// Each file in testdata is a policy directory together with the expected errors,
// one per line; a valid policy expects none.
func TestPolicies(t *testing.T) {
	l, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(l) == 0 {
		t.Fatalf("no test data: %v", err)
	}
	for _, f := range l {
		t.Run(filepath.Base(f), func(t *testing.T) {
			a, err := txtar.ParseFile(f)
			if err != nil {
				t.Fatal(err)
			}
			files := map[string]string{}
			want := ""
			for _, x := range a.Files {
				if x.Name == "want" {
					want = strings.TrimSpace(string(x.Data))
					continue
				}
				files[x.Name] = string(x.Data)
			}
			if g := strings.Join(compileErrors(files), "\n"); !matchesLines(g, want) {
				t.Errorf("got\n%s\nwant\n%s", g, want)
			}
		})
	}
}

// matchesLines reports whether got and want have the same number of lines and each
// line of got contains the corresponding line of want.
func matchesLines(got, want string) bool {
	g, w := strings.Split(got, "\n"), strings.Split(want, "\n")
	if want == "" || len(g) != len(w) {
		return got == want
	}
	for i := range w {
		if !strings.Contains(g[i], w[i]) {
			return false
		}
	}
	return true
}

func compileErrors(files map[string]string) []string {
	var r []string
	s, e := policyfile.Parse(files)
	if len(e) == 0 {
		var t *policy.Table
		if t, e = policy.Compile(s); len(e) == 0 {
			e = t.Check(s.Cases)
		}
	}
	for _, err := range e {
		r = append(r, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	return r
}

// Guards against plans that no backend server may run: whatever a program's
// functions return, a compiled table must never plan a model of which the customer
// may use no version.
func TestPlansNameAllowedModelsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allow := rapid.SampledFrom([]string{"True", "False", `model == "a"`, `customer.name == "x"`, `version == "2"`}).Draw(t, "allow")
		plan := rapid.SampledFrom([]string{`[]`, `[step("a")]`, `[step("a", accept = 0.5), step("b")]`, `[step("b")]`, `[step("a", accept = 0.5)]`}).Draw(t, "plan")
		s, e := policyfile.Parse(map[string]string{
			policyfile.CatalogFile: "[team t]\n[version a@1]\n[version b@2]\n[customer x]\nkey_sha256 = " + strings.Repeat("0", 64) + "\n[customer y]\nkey_sha256 = " + strings.Repeat("1", 64),
			policyfile.ProgramFile: "def allow(customer, model, version):\n    return " + allow + "\ndef route(customer, task, size):\n    return " + plan + "\n",
			policyfile.CasesFile:   "",
		})
		if len(e) > 0 {
			t.Fatal(e)
		}
		b, e := policy.Compile(s)
		if len(e) > 0 {
			return
		}
		for _, c := range s.Catalog.Customers {
			for _, z := range policy.Sizes() {
				for _, x := range b.Decide(c.Name, "any", z) {
					ok := false
					for _, v := range s.Catalog.Versions {
						ok = ok || v.ID.Model == x.Model && b.Allows(c.Name, v.ID)
					}
					if !ok {
						t.Fatalf("got a plan for %s with model %s, want only models of which it may use a version", c.Name, x.Model)
					}
				}
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add("[team t]\n[customer c]\n", "def allow(c, m, v):\n    return True\ndef route(c, t, s):\n    return []\n")
	f.Add("[version m@]\ncost_in = x", "while True: pass")
	f.Fuzz(func(t *testing.T, catalog, program string) {
		s, e := policyfile.Parse(map[string]string{policyfile.CatalogFile: catalog, policyfile.ProgramFile: program, policyfile.CasesFile: ""})
		if len(e) == 0 {
			_, _ = policy.Compile(s)
		}
	})
}
