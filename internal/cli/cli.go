// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package cli implements the command-line tool, with one file per command. Commands only read
// their arguments, call other packages and print the results.
package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes of the tool.
const (
	exitOK     = 0
	exitFailed = 1 // The command ran and found a problem.
	exitUsage  = 2 // The arguments or an input file are invalid.
)

// app holds the output streams, which all commands share.
type app struct {
	out io.Writer
	err io.Writer
}

// failedError is a problem that a command found, as opposed to an error in its input.
type failedError struct{ error }

func (e failedError) Unwrap() error { return e.error }

// markFailed marks err as a problem that a command found, for which Main returns exitFailed.
func markFailed(err error) error {
	if err == nil {
		return nil
	}
	return failedError{err}
}

// addCommands adds all commands to the parser.
func (a *app) addCommands(p *flags.Parser) (err error) {
	for _, v := range []struct {
		name  string
		short string
		data  any
	}{
		{"demo", "run two small sites in one process, break things, and check every promise", &demoCommand{app: a}},
		{"example", "write the files of a small site to a folder", &exampleCommand{app: a}},
		{"standin", "run the platform's stand-ins", &standinCommand{app: a}},
		{"check", "judge a folder of configuration as the daemon would", &checkCommand{app: a}},
		{"pack", "sign a folder of configuration as one generation", &packCommand{app: a}},
		{"policy", "say what a policy answers for given requests", &policyCommand{app: a}},
		{"soak", "run gateways and sidecars as processes under trouble, and check the promises", &soakCommand{app: a}},
		{"load", "send requests at a rate and check every answer", &loadCommand{app: a}},
		{"experiment", "measure the decisions against their naive versions", newExperimentCommand(a)},
		{"plays", "tell how callers' tries ended in reports of the users' bench", &playsCommand{app: a, in: os.Stdin}},
		{"capacity", "work out what a site of a given size costs", &capacityCommand{app: a}},
		{"status", "show what processes believe", &statusCommand{app: a}},
		{"quarantine", "show what requests and parts of prompts are held, or release one", &quarantineCommand{app: a}},
		{"audit", "show what changed, merged by time", &auditCommand{app: a}},
		{"keys", "make a site's certificates and signing key", &keysCommand{app: a}},
	} {
		if _, err := p.AddCommand(v.name, v.short, "", v.data); err != nil {
			return err
		}
	}
	return nil
}

// Main runs the tool and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	a := &app{out: stdout, err: stderr}
	p := flags.NewNamedParser("canvaspulley", flags.HelpFlag|flags.PassDoubleDash)
	if err := a.addCommands(p); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	_, err := p.ParseArgs(args)
	var fe failedError
	var help *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &help) && help.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, err)
		return exitOK
	case errors.As(err, &fe):
		fmt.Fprintln(stderr, err)
		return exitFailed
	default:
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
}

// printJSON prints v as indented JSON.
func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// writeFile writes a file of a site; only the owner can read and write private files.
func writeFile(name string, data []byte, private bool) error {
	mode := os.FileMode(0o644)
	if private {
		mode = 0o600
	}
	return os.WriteFile(name, data, mode)
}
