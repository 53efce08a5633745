// Package inifile reads INI texts section by section and gathers every fault
// with its file, section and key, unknown ones included.
package inifile

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"fieldvale/version"
)

// File is one text while it is read.
type File struct {
	name     string
	sections []*Section
	e        []error
}

// Section is one section "kind name".
type Section struct {
	Kind string
	Name string
	file *File
	s    *ini.Section
	used map[string]bool
}

// Parse reads the text. Faults of the syntax are found by Errors.
func Parse(name, text string) *File {
	f := &File{name: name}
	o := ini.LoadOptions{IgnoreInlineComment: true, AllowDuplicateShadowValues: false}
	i, err := ini.LoadSources(o, []byte(text))
	if err != nil {
		f.e = append(f.e, errors.Wrap(err, name))
		return f
	}
	for _, x := range i.Sections() {
		if x.Name() == ini.DefaultSection && len(x.Keys()) == 0 {
			continue
		}
		k, n, _ := strings.Cut(x.Name(), " ")
		f.sections = append(f.sections, &Section{Kind: k, Name: strings.TrimSpace(n), file: f, s: x, used: map[string]bool{}})
	}
	return f
}

// Each calls read for each section of one of the kinds; a section of another
// kind, and each key that read did not ask for, is a fault.
func (f *File) Each(kinds []string, read func(*Section)) {
	for _, s := range f.sections {
		if !slices.Contains(kinds, s.Kind) {
			f.e = append(f.e, errors.Newf("%s: [%s]: unknown section", f.name, s.s.Name()))
			continue
		}
		read(s)
		s.unknown()
	}
}

// Errors returns the faults found.
func (f *File) Errors() []error { return f.e }

// Missing adds a fault for a section that must be there.
func (f *File) Missing(kind string) {
	f.e = append(f.e, errors.Newf("%s: [%s]: section is missing", f.name, kind))
}

func (s *Section) unknown() {
	for _, k := range s.s.KeyStrings() {
		if !s.used[k] {
			s.Fail(k, "unknown key")
		}
	}
}

// Fail adds a fault of the key.
func (s *Section) Fail(key, format string, a ...any) {
	s.file.e = append(s.file.e, errors.Newf("%s: [%s] %s: "+format, append([]any{s.file.name, s.s.Name(), key}, a...)...))
}

// Text returns the key's value, empty if it is not there.
func (s *Section) Text(key string) string {
	s.used[key] = true
	return s.s.Key(key).String()
}

// Need returns the key's value, which must be there.
func (s *Section) Need(key string) string {
	t := s.Text(key)
	if t == "" {
		s.Fail(key, "is missing")
	}
	return t
}

// All returns all keys with their values, for a section whose keys are names.
func (s *Section) All() map[string]string {
	m := map[string]string{}
	for _, k := range s.s.Keys() {
		s.used[k.Name()] = true
		m[k.Name()] = k.String()
	}
	return m
}

// List returns the values that blanks or commas part.
func (s *Section) List(key string) []string {
	return strings.Fields(strings.ReplaceAll(s.Text(key), ",", " "))
}

// Number returns a whole number, 0 if the key is not there.
func (s *Section) Number(key string) int64 {
	t := s.Text(key)
	if t == "" {
		return 0
	}
	n, err := strconv.ParseInt(t, 10, 64)
	if err != nil {
		s.Fail(key, "%q is not a whole number", t)
	}
	return n
}

// Fraction returns a number, or d if the key is not there.
func (s *Section) Fraction(key string, d float64) float64 {
	t := s.Text(key)
	if t == "" {
		return d
	}
	f, err := strconv.ParseFloat(t, 64)
	if err != nil {
		s.Fail(key, "%q is not a number", t)
	}
	return f
}

// Truth returns true or false, or d if the key is not there.
func (s *Section) Truth(key string, d bool) bool {
	t := s.Text(key)
	if t == "" {
		return d
	}
	b, err := strconv.ParseBool(t)
	if err != nil {
		s.Fail(key, "%q is not true or false", t)
	}
	return b
}

// Span returns a span of time above 0, or d if the key is not there.
func (s *Section) Span(key string, d time.Duration) time.Duration {
	t := s.Text(key)
	if t == "" {
		return d
	}
	x, err := time.ParseDuration(t)
	if err != nil || x <= 0 {
		s.Fail(key, "%q is not a span of time such as 1500ms", t)
	}
	return x
}

// Versions returns the MODEL@VERSION ids that blanks or commas part.
func (s *Section) Versions(key string) []version.ID {
	var r []version.ID
	for _, t := range s.List(key) {
		v, err := version.Parse(t)
		if err != nil {
			s.Fail(key, "%q is not MODEL@VERSION", t)
			continue
		}
		r = append(r, v)
	}
	return r
}
