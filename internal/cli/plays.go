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

// playsVerb reads the users' reports of the days that they play.
type playsVerb struct {
	app     *app
	in      io.Reader
	Journal string `long:"journal" default:"journal" description:"folder of the bench's journal, for seeds that a report leaves out"`
	Unread  bool   `long:"unread" description:"print only the days of which no report tells how tries ended, as the bench's run takes them"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"- for standard input"`
	} `positional-args:"yes"`
}

// Execute prints how tries ended in the reports that can be read; it fails when a connection
// was cut before an answer or a rule was broken.
func (v *playsVerb) Execute([]string) (err error) {
	var list []*plays.Play
	var faulty error
	for _, name := range v.Args.Files {
		l, err := v.read(name)
		list, faulty = append(list, l...), errors.Join(faulty, err)
	}
	if v.Unread {
		for _, p := range unread(list) {
			fmt.Fprintln(v.app.out, p.Day())
		}
		return faulty
	}
	wrong := v.print(list)
	if faulty != nil {
		return faulty
	}
	if wrong > 0 {
		return failed(errors.Newf("%d plays with connections cut before an answer, or rules broken", wrong))
	}
	return nil
}

func (v *playsVerb) read(name string) (list []*plays.Play, err error) {
	r := v.in
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }() // It is only read.
		r = f
	}
	return plays.Read(name, r, plays.NewJournal(v.Journal))
}

// print prints each play, the sums, and what is wrong; it returns the plays that fail the verb.
func (v *playsVerb) print(list []*plays.Play) (wrong int) {
	out := v.app.out
	ends, probes := plays.Outcomes{}, plays.Outcomes{}
	told := 0
	for _, p := range list {
		es, ok := p.Outcomes()
		if !ok {
			continue
		}
		told++
		ends.Add(es)
		probes.Add(p.Probes())
		fmt.Fprintf(out, "%s: %s: %s\n", p.Location(), p.Day(), es)
	}
	fmt.Fprintf(out, "\n%d plays, %d tell how tries ended: %s\nprobes of the configuration: %s\n", len(list), told, ends, probes)
	for _, p := range list {
		what, bad := findings(p)
		if what != "" {
			fmt.Fprintf(out, "%s: %s: %s\n", p.Location(), p.Day(), what)
		}
		if bad {
			wrong++
		}
	}
	if days := unread(list); len(days) > 0 {
		fmt.Fprintf(out, "days of which no report tells how tries ended (--unread lists them): %d\n", len(days))
	}
	return wrong
}

// findings tells what must be traced of a play; bad is true for what fails the verb.
func findings(p *plays.Play) (what string, bad bool) {
	var list []string
	if n := p.Unanswered(); n > 0 {
		text := fmt.Sprintf("%d cut before an answer", n)
		if kills := p.KillFaults(); len(kills) > 0 {
			text += " (to be told from those of " + strings.Join(kills, ", ") + ")"
		}
		list, bad = append(list, text), len(p.KillFaults()) == 0
	}
	if b := p.BrokenRules(); len(b) > 0 {
		list, bad = append(list, "rules broken: "+strings.Join(b, ", ")), true
	}
	if n := p.UnexpectedExits(); n > 0 {
		list = append(list, fmt.Sprintf("%d processes ended by themselves", n))
	}
	if n := p.GatewayErrors(); n > 0 {
		list = append(list, fmt.Sprintf("%d times an own 5xx other than 503", n))
	}
	return strings.Join(list, "; "), bad
}

// unread returns the plays of days of which no play tells how tries ended.
func unread(list []*plays.Play) (left []*plays.Play) {
	for _, p := range list {
		if !slices.ContainsFunc(list, func(q *plays.Play) bool {
			_, ok := q.Outcomes()
			return ok && q.SameDay(p)
		}) {
			left = append(left, p)
		}
	}
	return left
}
