// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/decide/quarantine"
	"github.com/canvaspulley/canvaspulley/internal/suspects"
)

// quarantineCommand prints the requests and parts of prompts during which endpoints ended, or releases one.
type quarantineCommand struct {
	app *app
	operatorAccess
	Release string `long:"release" value-name:"KEY" description:"release the request or part with this key, at the first process that answers"`
	All     bool   `long:"all" description:"also list those that are free"`
}

// Execute prints one line per suspect and one per end; it fails when a process did not answer.
func (v *quarantineCommand) Execute([]string) (err error) {
	if v.Release != "" {
		return v.release()
	}
	lists, errs := queryAll[[]suspects.Suspect](&v.operatorAccess, suspects.PathQuarantine)
	if v.JSON {
		if err := v.app.printJSON(lists); err != nil {
			return err
		}
		return markFailed(errs)
	}
	printed := map[string]bool{}
	for _, list := range lists {
		for _, s := range list {
			if printed[s.Key] || s.Verdict == quarantine.Free.String() && !v.All {
				continue
			}
			printed[s.Key] = true
			printSuspect(v.app.out, s)
		}
	}
	return markFailed(errs)
}

// printSuspect prints one line on a suspect and one on each of its ends.
func printSuspect(out io.Writer, s suspects.Suspect) {
	kind := "request"
	if s.Part {
		kind = "part"
	}
	fmt.Fprintf(out, "%s %-7s %-5s for %.1f s, sound before: %v\n", s.Key, kind, s.Verdict, (time.Duration(s.HeldForMs) * time.Millisecond).Seconds(), s.SoundBefore)
	for _, e := range s.Ends {
		fmt.Fprintf(out, "  %-24s ended %.1f s ago, sent %s, counted: %v, void: %v\n", e.Endpoint, (time.Duration(e.AgeMs) * time.Millisecond).Seconds(), e.Known, e.Counted, e.Void)
	}
}

// release releases a suspect at the first process that answers, which tells the others.
func (v *quarantineCommand) release() (err error) {
	defer func() { err = errors.Wrapf(err, "release %s", v.Release) }()
	var errs error
	for _, address := range v.Args.Addresses {
		status, err := v.post(address, suspects.PathRelease+"?"+url.Values{suspects.QueryKey: {v.Release}}.Encode())
		switch {
		case err != nil:
			errs = errors.Join(errs, err)
		case status == http.StatusNoContent:
			fmt.Fprintf(v.app.out, "%s released\n", v.Release)
			return nil
		default:
			errs = errors.Join(errs, errors.Newf("%s: status %d", address, status))
		}
	}
	return markFailed(errs)
}
