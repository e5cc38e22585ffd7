// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package inifile parses INI text and records the line of every key, so that problems can be
// reported with file and line. It defines no schema: the packages that read a file decide
// which sections and keys exist.
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

// Problem describes one problem in a file, with its position.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // 1-based; 0 when the problem concerns the whole file.
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

// Problems is a list of problems that are reported together.
type Problems []Problem

// Error joins the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil when the list is empty.
func (ps Problems) Err() (err error) {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// position identifies a key in a section; an empty key stands for the section itself.
type position struct {
	section string
	key     string
}

// File holds a parsed INI text. It records which keys are read, so that Problems can report
// the others as unknown.
type File struct {
	name     string
	data     *ini.File
	lines    map[position]int // Line of the first occurrence.
	read     map[position]bool
	problems Problems
}

// Parse parses text; name is the file name used in problems.
func Parse(name string, text []byte) (f *File, err error) {
	opts := ini.LoadOptions{
		AllowDuplicateShadowValues: false,
		IgnoreInlineComment:        true, // Policy programs may contain ';' and '#'.
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
		UnparseableSections:        nil,
	}
	data, err := ini.LoadSources(opts, text)
	if err != nil {
		return nil, Problems{{File: name, Line: firstInvalidLine(text), Text: err.Error()}}
	}
	f = &File{name: name, data: data, read: map[position]bool{}}
	f.indexLines(text)
	return f, nil
}

// firstInvalidLine returns the number of the first line that is neither empty, a comment, a section
// nor a key, or 0 when there is none.
func firstInvalidLine(text []byte) int {
	sc := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; sc.Scan(); n++ {
		line := strings.TrimSpace(sc.Text())
		if line == "" || line[0] == ';' || line[0] == '#' {
			continue
		}
		isSection := line[0] == '[' && strings.HasSuffix(line, "]")
		isKey := line[0] != '[' && strings.Index(line, "=") > 0
		if !isSection && !isKey {
			return n
		}
	}
	return 0
}

// indexLines records the line of each section and key, and reports duplicates as problems.
func (f *File) indexLines(text []byte) {
	f.lines = map[position]int{}
	section := ini.DefaultSection
	sc := bufio.NewScanner(bytes.NewReader(text))
	sc.Buffer(nil, len(text)+1)
	for n := 1; sc.Scan(); n++ {
		line := strings.TrimSpace(sc.Text())
		if line == "" || line[0] == ';' || line[0] == '#' {
			continue
		}
		pos := position{section: section}
		if line[0] == '[' {
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			pos = position{section: section}
		} else if key, _, ok := strings.Cut(line, "="); ok {
			pos.key = strings.TrimSpace(key)
		}
		if first, dup := f.lines[pos]; dup {
			f.problems = append(f.problems, Problem{f.name, n, pos.section, pos.key,
				fmt.Sprintf("already set in line %d", first)})
			continue
		}
		f.lines[pos] = n
	}
}

// Sections lists the section names in the order of the file. The unnamed section is left out
// when it is empty.
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

// HasSection reports whether the file contains the section.
func (f *File) HasSection(section string) bool { return f.data.HasSection(section) }

// AddProblem records a problem at a key, or at the section when key is empty or not set.
func (f *File) AddProblem(section, key, format string, args ...any) {
	line := f.lines[position{section, key}]
	if line == 0 {
		line = f.lines[position{section: section}]
	}
	f.problems = append(f.problems, Problem{f.name, line, section, key, fmt.Sprintf(format, args...)})
}

// String returns the value of a key, or def when it is not set.
func (f *File) String(section, key, def string) string {
	f.read[position{section, key}] = true
	s, err := f.data.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return def
	}
	return strings.TrimSpace(s.Key(key).Value())
}

// Required returns the value of a key that must be set and not be empty.
func (f *File) Required(section, key string) string {
	v := f.String(section, key, "")
	if v == "" {
		f.AddProblem(section, key, "must be set")
	}
	return v
}

// Words returns the values of a key that holds a list separated by spaces, tabs or commas.
func (f *File) Words(section, key string) []string {
	return strings.FieldsFunc(f.String(section, key, ""), func(r rune) bool {
		return r == ' ' || r == ',' || r == '\t'
	})
}

// Float returns a number from low to high, or def when the key is not set.
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

// Int returns an integer from low to high, or def when the key is not set.
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

// Duration returns a non-negative duration such as 250ms, or def when the key is not set.
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

// Bool returns a value written as yes/no, true/false or 1/0, or def when the key is not set.
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

// Problems returns the problems found so far, ordered by line. Sections and keys that have
// not been read are reported as unknown.
func (f *File) Problems() Problems {
	all := append(Problems(nil), f.problems...)
	known := map[string]bool{}
	for pos := range f.read {
		known[pos.section] = true
	}
	for pos, line := range f.lines {
		switch {
		case pos.key == "" && !known[pos.section]:
			all = append(all, Problem{f.name, line, pos.section, "", "unknown section"})
		case pos.key != "" && known[pos.section] && !f.read[pos]:
			all = append(all, Problem{f.name, line, pos.section, pos.key, "unknown key"})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Line < all[j].Line })
	return all
}

// AsProblems returns the list of problems in err; any other error becomes one problem of the
// named file.
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
