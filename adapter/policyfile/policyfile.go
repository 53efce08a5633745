// Package policyfile reads and parses the files of a policy directory: policy.star, catalog.ini
// and cases.ini.
package policyfile

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/inifile"
	"fieldvale/catalog"
	"fieldvale/policy"
	"fieldvale/version"
)

// The files of a policy directory.
const (
	ProgramFile = "policy.star"
	CatalogFile = "catalog.ini"
	CasesFile   = "cases.ini"
)

// maxFileSize bounds the size of one policy file, in bytes. With it, the policies of a dozen
// teams fit into one value of the store.
const maxFileSize = 64 << 10

// ReadDir returns the contents of the policy files in dir by file name.
func ReadDir(dir string) (map[string]string, error) {
	f := map[string]string{}
	for _, n := range []string{ProgramFile, CatalogFile, CasesFile} {
		b, err := os.ReadFile(filepath.Join(dir, n))
		if err != nil {
			return nil, errors.Wrap(err, "policyfile: read a policy file")
		}
		f[n] = string(b)
	}
	return f, nil
}

// Parse parses the contents of policy files by file name. It returns all errors, each with the
// file and the key.
func Parse(f map[string]string) (policy.Source, []error) {
	s := policy.Source{Program: f[ProgramFile], Files: f}
	for n, t := range f {
		if !slices.Contains([]string{ProgramFile, CatalogFile, CasesFile}, n) {
			return s, []error{errors.Newf("%s: not a file of a policy", n)}
		}
		if len(t) > maxFileSize {
			return s, []error{errors.Newf("%s: is larger than %d bytes", n, maxFileSize)}
		}
	}
	c, e := parseCatalog(f[CatalogFile])
	s.Catalog = c
	k, x := parseCases(f[CasesFile])
	s.Cases = k
	return s, append(e, x...)
}

func parseCatalog(text string) (catalog.Catalog, []error) {
	var c catalog.Catalog
	f := inifile.Parse(CatalogFile, text)
	f.Each([]string{"team", "customer", "version", "task", "service"}, func(s *inifile.Section) {
		switch s.Kind {
		case "team":
			c.Team = s.Name
		case "customer":
			c.Customers = append(c.Customers, readCustomer(s))
		case "version":
			c.Versions = append(c.Versions, readVersion(s))
		case "task":
			c.Tasks = append(c.Tasks, catalog.Task{Name: s.Name, Allowance: s.Duration("allowance", catalog.DefaultAllowance)})
		case "service":
			c.Services = append(c.Services, catalog.Service{Name: s.Name, NonIdempotentCalls: s.Values("once"), ChecksIdempotencyKey: s.Bool("checks_key", false)})
		}
	})
	slices.SortFunc(c.Customers, func(a, b catalog.Customer) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Versions, func(a, b catalog.Version) int { return strings.Compare(a.ID.String(), b.ID.String()) })
	e := f.Errors()
	for _, err := range c.Validate() {
		e = append(e, errors.Wrap(err, CatalogFile))
	}
	return c, e
}

func readCustomer(s *inifile.Section) catalog.Customer {
	return catalog.Customer{
		Name:      s.Name,
		Tier:      s.Value("tier"),
		KeyHashes: s.Values("key_sha256"),
		Share:     int(s.Int64("share")),
	}.Defaults()
}

func readVersion(s *inifile.Section) catalog.Version {
	v, err := version.Parse(s.Name)
	if err != nil {
		s.AddError("name", "%q is not MODEL@VERSION", s.Name)
	}
	return catalog.Version{ID: v, CostIn: s.Int64("cost_in"), CostOut: s.Int64("cost_out"), Default: s.Bool("default", false)}
}

func parseCases(text string) ([]policy.Case, []error) {
	var c []policy.Case
	f := inifile.Parse(CasesFile, text)
	f.Each([]string{"case"}, func(s *inifile.Section) {
		c = append(c, readCase(s))
	})
	return c, f.Errors()
}

func readCase(s *inifile.Section) policy.Case {
	z, ok := policy.ParseSize(s.Value("size"))
	if t := s.Value("size"); !ok && t != "" {
		s.AddError("size", "%q is not small, medium or large", t)
	}
	return policy.Case{
		Name:     s.Name,
		Customer: s.Value("customer"),
		Task:     s.Value("task"),
		Size:     z,
		Want:     s.Value("want"),
		Allow:    s.Versions("allow"),
		Deny:     s.Versions("deny"),
	}
}
