// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package golden runs tests whose cases are txtar archives under testdata. The file
// "want" of an archive holds the expected output for its other files. With -update
// the archives are rewritten with the actual output. The package is for tests only.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/tools/txtar"
)

var update = flag.Bool("update", false, "write the golden files anew")

// wantName is the name of the file that holds the expected output of a case.
const wantName = "want"

// Run runs one subtest for each testdata/*.txtar and compares the output of render
// for its files with the file "want".
func Run(t *testing.T, render func(files map[string][]byte) string) {
	t.Helper()
	names, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(names) == 0 {
		t.Fatalf("no test cases in testdata/*.txtar: %v", err)
	}
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) { runCase(t, name, render) })
	}
}

func runCase(t *testing.T, name string, render func(files map[string][]byte) string) {
	t.Helper()
	a, err := txtar.ParseFile(name)
	if err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{}
	wantIndex := -1
	for i, f := range a.Files {
		if f.Name == wantName {
			wantIndex = i
			continue
		}
		files[f.Name] = f.Data
	}
	if wantIndex < 0 {
		t.Fatalf("%s has no file %q", name, wantName)
	}
	text := render(files)
	if text != "" && text[len(text)-1] != '\n' {
		text += "\n"
	}
	if text == string(a.Files[wantIndex].Data) {
		return
	}
	if !*update {
		t.Errorf("got:\n%swant:\n%s", text, a.Files[wantIndex].Data)
		return
	}
	a.Files[wantIndex].Data = []byte(text)
	if err := os.WriteFile(name, txtar.Format(a), 0o644); err != nil {
		t.Fatal(err)
	}
}
