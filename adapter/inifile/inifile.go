// Package inifile parses INI files section by section. It collects all errors, each with its
// file, section and key; unknown sections and keys are errors as well.
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

// File is a parsed INI file with the errors found so far.
type File struct {
	name     string
	sections []*Section
	errs     []error
}

// Section is a section with the header [KIND NAME]; Name may be empty.
type Section struct {
	Kind    string
	Name    string
	file    *File
	section *ini.Section
	// used has the keys that were read.
	used map[string]bool
}

// Parse parses the text of the named file. Syntax errors are returned by Errors.
func Parse(name, text string) *File {
	f := &File{name: name}
	o := ini.LoadOptions{IgnoreInlineComment: true, AllowDuplicateShadowValues: false}
	i, err := ini.LoadSources(o, []byte(text))
	if err != nil {
		f.errs = append(f.errs, errors.Wrap(err, name))
		return f
	}
	for _, x := range i.Sections() {
		if x.Name() == ini.DefaultSection && len(x.Keys()) == 0 {
			continue
		}
		k, n, _ := strings.Cut(x.Name(), " ")
		f.sections = append(f.sections, &Section{Kind: k, Name: strings.TrimSpace(n), file: f, section: x, used: map[string]bool{}})
	}
	return f
}

// Each calls read for each section of the given kinds. It adds an error for each section of
// another kind and for each key that read did not use.
func (f *File) Each(kinds []string, read func(*Section)) {
	for _, s := range f.sections {
		if !slices.Contains(kinds, s.Kind) {
			f.errs = append(f.errs, errors.Newf("%s: [%s]: unknown section", f.name, s.section.Name()))
			continue
		}
		read(s)
		s.checkUnused()
	}
}

// Errors returns the errors found so far.
func (f *File) Errors() []error { return f.errs }

// AddMissingSection adds an error for a required section that is missing.
func (f *File) AddMissingSection(kind string) {
	f.errs = append(f.errs, errors.Newf("%s: [%s]: section is missing", f.name, kind))
}

// checkUnused adds an error for each key that was not read.
func (s *Section) checkUnused() {
	for _, k := range s.section.KeyStrings() {
		if !s.used[k] {
			s.AddError(k, "unknown key")
		}
	}
}

// AddError adds an error about the key's value.
func (s *Section) AddError(key, format string, a ...any) {
	s.file.errs = append(s.file.errs, errors.Newf("%s: [%s] %s: "+format, append([]any{s.file.name, s.section.Name(), key}, a...)...))
}

// Value returns the key's value; empty if the key is missing.
func (s *Section) Value(key string) string {
	s.used[key] = true
	return s.section.Key(key).String()
}

// Required returns the key's value. It adds an error if the value is missing or empty.
func (s *Section) Required(key string) string {
	t := s.Value(key)
	if t == "" {
		s.AddError(key, "is missing")
	}
	return t
}

// ValueMap returns all values by key, for a section whose keys are not fixed.
func (s *Section) ValueMap() map[string]string {
	m := map[string]string{}
	for _, k := range s.section.Keys() {
		s.used[k.Name()] = true
		m[k.Name()] = k.String()
	}
	return m
}

// Values returns the key's values, which are separated by spaces or commas.
func (s *Section) Values(key string) []string {
	return strings.Fields(strings.ReplaceAll(s.Value(key), ",", " "))
}

// Int64 returns the key's integer; 0 if the key is missing.
func (s *Section) Int64(key string) int64 {
	t := s.Value(key)
	if t == "" {
		return 0
	}
	n, err := strconv.ParseInt(t, 10, 64)
	if err != nil {
		s.AddError(key, "%q is not a whole number", t)
	}
	return n
}

// Float64 returns the key's number, or d if the key is missing.
func (s *Section) Float64(key string, d float64) float64 {
	t := s.Value(key)
	if t == "" {
		return d
	}
	f, err := strconv.ParseFloat(t, 64)
	if err != nil {
		s.AddError(key, "%q is not a number", t)
	}
	return f
}

// Bool returns the key's boolean, or d if the key is missing.
func (s *Section) Bool(key string, d bool) bool {
	t := s.Value(key)
	if t == "" {
		return d
	}
	b, err := strconv.ParseBool(t)
	if err != nil {
		s.AddError(key, "%q is not true or false", t)
	}
	return b
}

// Duration returns the key's duration, which must be above 0, or d if the key is missing.
func (s *Section) Duration(key string, d time.Duration) time.Duration {
	t := s.Value(key)
	if t == "" {
		return d
	}
	x, err := time.ParseDuration(t)
	if err != nil || x <= 0 {
		s.AddError(key, "%q is not a duration above 0, such as 1500ms", t)
	}
	return x
}

// Versions returns the key's version ids, which are separated by spaces or commas.
func (s *Section) Versions(key string) []version.ID {
	var r []version.ID
	for _, t := range s.Values(key) {
		v, err := version.Parse(t)
		if err != nil {
			s.AddError(key, "%q is not MODEL@VERSION", t)
			continue
		}
		r = append(r, v)
	}
	return r
}
