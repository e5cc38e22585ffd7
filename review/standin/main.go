// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Command standin plays one case of the review: it starts the project's daemon as separate processes,
// stands in for the platform around them, and exits with 0 if the rule of the case held, 1 if it was
// broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	cases := map[string]func(c *caseRun) (broken bool, err error){"map": runMapCase, "drain": runDrainCase, "stream": runStreamCase}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(play func(c *caseRun) (broken bool, err error), root, recordFile string) (code int) {
	c, cleanup, err := newCaseRun(root, recordFile, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer cleanup()
	broken, err := play(c)
	switch {
	case err != nil:
		c.record("the case could not run: %v", err)
		return exitNotRun
	case broken:
		c.record("RESULT: the rule was broken")
		return exitBroken
	}
	c.record("RESULT: the rule held")
	return exitHeld
}
