// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/inifile"
	"github.com/canvaspulley/canvaspulley/internal/policy"
	"github.com/canvaspulley/canvaspulley/internal/published"
)

// policyVerb has the sub-verb try.
type policyVerb struct {
	Try tryVerb `command:"try" description:"say what a policy file answers for one request"`
	app *app
}

// tryVerb asks one policy about one request.
type tryVerb struct {
	Customer   string `long:"customer" description:"name of the customer"`
	Service    string `long:"service" description:"model or service"`
	Class      string `long:"class" description:"the caller's class"`
	Method     string `long:"method" default:"POST" description:"HTTP method"`
	Path       string `long:"path" description:"path asked for"`
	NoRetry    bool   `long:"once" description:"the request may not be repeated"`
	DeadlineMS int64  `long:"deadline-ms" description:"time left; 0 for none"`
	Attempt    int64  `long:"attempt" default:"1" description:"attempts already made"`
	Reason     string `long:"reason" description:"why the last attempt failed"`
	Tokens     int64  `long:"tokens" description:"tokens already given"`
	Args       struct {
		File string `positional-arg-name:"POLICY.ini"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the three answers; a program that fails shows its default.
func (v *tryVerb) Execute([]string) (err error) {
	raw, err := os.ReadFile(v.Args.File)
	if err != nil {
		return err
	}
	const key = "policy/tried.ini"
	c, err := published.New(published.Version{}, map[string][]byte{key: raw})
	if err != nil {
		ps := inifile.AsProblems(v.Args.File, err)
		for i := range ps {
			ps[i].File = v.Args.File
		}
		return ps
	}
	p := c.Policy("tried").Programs
	req := policy.Request{
		Customer: v.Customer, Service: v.Service, Class: v.Class, Method: v.Method, Path: v.Path,
		Repeatable: !v.NoRetry, DeadlineMS: v.DeadlineMS, Attempt: v.Attempt, Reason: v.Reason, Tokens: v.Tokens,
	}
	priority, err1 := p.Priority(req)
	retry, err2 := p.Retry(req)
	move, err3 := p.Move(req)
	fmt.Printf("priority = %d\nretry = %v\nmove = %v\n", priority, retry, move)
	return failed(errors.Join(err1, err2, err3))
}
