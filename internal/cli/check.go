// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/canvaspulley/canvaspulley/internal/inifile"
	"github.com/canvaspulley/canvaspulley/internal/published"
)

// readFolder reads the INI files of a configuration folder; keys are paths relative to it.
func readFolder(dir string) (values map[string][]byte, err error) {
	values = map[string][]byte{}
	err = filepath.WalkDir(dir, func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(name, ".ini") {
			return err
		}
		key, err := filepath.Rel(dir, name)
		if err != nil {
			return err
		}
		values[filepath.ToSlash(key)], err = os.ReadFile(name)
		return err
	})
	return values, err
}

// checkCommand validates a folder as the daemon validates a generation.
type checkCommand struct {
	app  *app
	JSON bool `long:"json" description:"print the faults as JSON"`
	Args struct {
		Dir string `positional-arg-name:"DIR"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints all problems; it fails when there is one.
func (v *checkCommand) Execute([]string) (err error) {
	values, err := readFolder(v.Args.Dir)
	if err != nil {
		return err
	}
	c, err := published.New(published.Version{}, values)
	ps := inifile.AsProblems(v.Args.Dir, err)
	if v.JSON {
		if ps == nil {
			ps = inifile.Problems{}
		}
		if err := v.app.printJSON(ps); err != nil {
			return err
		}
		return ps.Err()
	}
	if len(ps) > 0 {
		return ps
	}
	fmt.Fprintf(v.app.out, "good: %d values, %d customers, %d groups and services\n",
		len(values), len(c.Customers()), len(c.Services()))
	return nil
}
