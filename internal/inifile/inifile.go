// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package inifile reads INI text and keeps the position of every key, so that
// a problem can be reported with its file and line. It is not a schema: which
// sections and keys exist is decided by the packages that read the file.
package inifile

import (
	"bufio"
	"bytes"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Problem is one fault in a file, with its position.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // 1-based; 0 when the fault concerns the whole file.
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Text    string `json:"text"`
}

// String formats p as "file:line: [section] key: text".
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s: ", p.Key)
	}
	b.WriteString(p.Text)
	return b.String()
}

// Problems is a list of faults that is reported together.
type Problems []Problem

// Error joins the faults, one a line.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil when there is no fault.
func (ps Problems) Err() (err error) {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// position names one key of one section; an empty key is the section itself.
type position struct {
	section string
	key     string
}

// File is one parsed INI text. Reads of keys are recorded, so that Unknown can
// list what nobody asked for.
type File struct {
	name     string
	data     *ini.File
	lines    map[position]int // Line of the first appearance.
	read     map[position]bool
	problems Problems
}

// Parse reads text; name is used in problems only.
func Parse(name string, text []byte) (f *File, err error) {
	opts := ini.LoadOptions{
		AllowDuplicateShadowValues: false,
		IgnoreInlineComment:        true, // Policy programs may hold ';' and '#'.
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
		UnparseableSections:        nil,
	}
	data, err := ini.LoadSources(opts, text)
	if err != nil {
		return nil, Problems{{File: name, Line: badLine(text), Text: err.Error()}}
	}
	f = &File{name: name, data: data, read: map[position]bool{}}
	f.locate(text)
	return f, nil
}

// badLine finds the first line that is neither a comment, a section nor a key.
func badLine(text []byte) int {
	sc := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; sc.Scan(); n++ {
		line := strings.TrimSpace(sc.Text())
		if line == "" || line[0] == ';' || line[0] == '#' {
			continue
		}
		closed := line[0] == '[' && strings.HasSuffix(line, "]")
		pair := line[0] != '[' && strings.Index(line, "=") > 0
		if !closed && !pair {
			return n
		}
	}
	return 0
}

// locate records the line of each section and key and notes keys set twice.
func (f *File) locate(text []byte) {
	f.lines = map[position]int{}
	section := ini.DefaultSection
	sc := bufio.NewScanner(bytes.NewReader(text))
	sc.Buffer(nil, len(text)+1)
	for n := 1; sc.Scan(); n++ {
		line := strings.TrimSpace(sc.Text())
		if line == "" || line[0] == ';' || line[0] == '#' {
			continue
		}
		at := position{section: section}
		if line[0] == '[' {
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			at = position{section: section}
		} else if key, _, ok := strings.Cut(line, "="); ok {
			at.key = strings.TrimSpace(key)
		}
		if first, dup := f.lines[at]; dup {
			f.problems = append(f.problems, Problem{f.name, n, at.section, at.key,
				fmt.Sprintf("already set in line %d", first)})
			continue
		}
		f.lines[at] = n
	}
}

// Sections lists the section names in order of appearance, without the unnamed
// one when it is empty.
func (f *File) Sections() []string {
	var names []string
	for _, s := range f.data.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		names = append(names, s.Name())
	}
	return names
}

// HasSection reports whether the section is there.
func (f *File) HasSection(section string) bool { return f.data.HasSection(section) }

// AddProblem records a problem at a key; an empty key means the section.
func (f *File) AddProblem(section, key, format string, args ...any) {
	line := f.lines[position{section, key}]
	if line == 0 {
		line = f.lines[position{section: section}]
	}
	f.problems = append(f.problems, Problem{f.name, line, section, key, fmt.Sprintf(format, args...)})
}

// String reads a key, or def when it is not set.
func (f *File) String(section, key, def string) string {
	f.read[position{section, key}] = true
	s, err := f.data.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return def
	}
	return strings.TrimSpace(s.Key(key).Value())
}

// Required reads a key that must be set to something.
func (f *File) Required(section, key string) string {
	v := f.String(section, key, "")
	if v == "" {
		f.AddProblem(section, key, "must be set")
	}
	return v
}

// Words reads a key that holds words separated by spaces or commas.
func (f *File) Words(section, key string) []string {
	return strings.FieldsFunc(f.String(section, key, ""), func(r rune) bool {
		return r == ' ' || r == ',' || r == '\t'
	})
}

// Float reads a number between low and high.
func (f *File) Float(section, key string, def, low, high float64) float64 {
	v := f.String(section, key, "")
	if v == "" {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n != n {
		f.AddProblem(section, key, "%q is not a number", v)
		return def
	}
	if n < low || n > high {
		f.AddProblem(section, key, "%v is not between %v and %v", n, low, high)
		return def
	}
	return n
}

// Int reads a whole number between low and high.
func (f *File) Int(section, key string, def, low, high int) int {
	v := f.String(section, key, "")
	if v == "" {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		f.AddProblem(section, key, "%q is not a whole number", v)
		return def
	}
	if n < low || n > high {
		f.AddProblem(section, key, "%d is not between %d and %d", n, low, high)
		return def
	}
	return n
}

// Duration reads a duration such as 250ms that is not negative.
func (f *File) Duration(section, key string, def time.Duration) time.Duration {
	v := f.String(section, key, "")
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		f.AddProblem(section, key, "%q is not a duration such as 250ms", v)
		return def
	}
	return d
}

// Bool reads yes/no, true/false or 1/0.
func (f *File) Bool(section, key string, def bool) bool {
	switch v := f.String(section, key, ""); v {
	case "":
		return def
	case "yes", "true", "1":
		return true
	case "no", "false", "0":
		return false
	default:
		f.AddProblem(section, key, "%q is neither yes nor no", v)
		return def
	}
}

// Problems returns what was found so far, and every section and key that was
// never read as unknown, ordered by line.
func (f *File) Problems() Problems {
	all := append(Problems(nil), f.problems...)
	known := map[string]bool{}
	for at := range f.read {
		known[at.section] = true
	}
	for at, line := range f.lines {
		switch {
		case at.key == "" && !known[at.section]:
			all = append(all, Problem{f.name, line, at.section, "", "unknown section"})
		case at.key != "" && known[at.section] && !f.read[at]:
			all = append(all, Problem{f.name, line, at.section, at.key, "unknown key"})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Line < all[j].Line })
	return all
}

// AsProblems extracts the list of faults from err; any other error becomes one
// problem of the named file.
func AsProblems(name string, err error) Problems {
	var ps Problems
	if errors.As(err, &ps) {
		return ps
	}
	if err == nil {
		return nil
	}
	return Problems{{File: name, Text: err.Error()}}
}
