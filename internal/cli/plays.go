// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/platform/plays"
)

// playsCommand summarizes the users' reports on days that they simulate on their test bench. A play is
// one simulation of a day.
type playsCommand struct {
	app     *app
	in      io.Reader
	Journal string `long:"journal" default:"journal" description:"folder of the bench's journal, for seeds that a report leaves out"`
	Unread  bool   `long:"unread" description:"print only the days of which no report tells how tries ended, as the bench's run takes them"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"- for standard input"`
	} `positional-args:"yes"`
}

// Execute prints how attempts ended, from all reports that can be read; it fails when a report cannot be
// read or names a violated rule, or when a connection was cut before an answer on a day without faults that
// kill gateways or close their connections.
func (v *playsCommand) Execute([]string) (err error) {
	var list []*plays.Play
	var readErrs error
	for _, name := range v.Args.Files {
		l, err := v.read(name)
		list, readErrs = append(list, l...), errors.Join(readErrs, err)
	}
	if v.Unread {
		for _, p := range withoutOutcomes(list) {
			fmt.Fprintln(v.app.out, p.Day())
		}
		return readErrs
	}
	failing := v.print(list)
	if readErrs != nil {
		return readErrs
	}
	if failing > 0 {
		return markFailed(errors.Newf("%d plays with connections cut before an answer, or rules broken", failing))
	}
	return nil
}

func (v *playsCommand) read(name string) (list []*plays.Play, err error) {
	r := v.in
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }() // The file is only read.
		r = f
	}
	return plays.Read(name, r, plays.NewJournal(v.Journal))
}

// print prints the outcomes of each play that reports them, the totals and the problems; it returns the
// number of plays with a problem for which the command fails.
func (v *playsCommand) print(list []*plays.Play) (failing int) {
	out := v.app.out
	totals, probes := plays.Outcomes{}, plays.Outcomes{}
	reported := 0
	for _, p := range list {
		outcomes, ok := p.Outcomes()
		if !ok {
			continue
		}
		reported++
		totals.Add(outcomes)
		probes.Add(p.Probes())
		fmt.Fprintf(out, "%s: %s: %s\n", p.Location(), p.Day(), outcomes)
	}
	fmt.Fprintf(out, "\n%d plays, %d tell how tries ended: %s\nprobes of the configuration: %s\n", len(list), reported, totals, probes)
	for _, p := range list {
		summary, fails := findings(p)
		if summary != "" {
			fmt.Fprintf(out, "%s: %s: %s\n", p.Location(), p.Day(), summary)
		}
		if fails {
			failing++
		}
	}
	if days := withoutOutcomes(list); len(days) > 0 {
		fmt.Fprintf(out, "days of which no report tells how tries ended (--unread lists them): %d\n", len(days))
	}
	return failing
}

// findings summarizes the problems of a play that must be investigated; fails reports whether the command
// fails because of them.
func findings(p *plays.Play) (summary string, fails bool) {
	var list []string
	if n := p.Unanswered(); n > 0 {
		text := fmt.Sprintf("%d cut before an answer", n)
		if kills := p.KillFaults(); len(kills) > 0 {
			text += " (to be told from those of " + strings.Join(kills, ", ") + ")"
		}
		list, fails = append(list, text), len(p.KillFaults()) == 0
	}
	if b := p.BrokenRules(); len(b) > 0 {
		list, fails = append(list, "rules broken: "+strings.Join(b, ", ")), true
	}
	if n := p.UnexpectedExits(); n > 0 {
		list = append(list, fmt.Sprintf("%d processes ended by themselves", n))
	}
	if n := p.GatewayErrors(); n > 0 {
		list = append(list, fmt.Sprintf("%d times an own 5xx other than 503", n))
	}
	return strings.Join(list, "; "), fails
}

// withoutOutcomes returns the plays of those days for which no play in the list reports how attempts
// ended.
func withoutOutcomes(list []*plays.Play) (missing []*plays.Play) {
	for _, p := range list {
		if !slices.ContainsFunc(list, func(q *plays.Play) bool {
			_, ok := q.Outcomes()
			return ok && q.SameDay(p)
		}) {
			missing = append(missing, p)
		}
	}
	return missing
}
