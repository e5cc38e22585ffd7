// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package cli

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/audit"
	"github.com/canvaspulley/canvaspulley/internal/decide/member"
	"github.com/canvaspulley/canvaspulley/internal/decide/retry"
	"github.com/canvaspulley/canvaspulley/internal/httphead"
	"github.com/canvaspulley/canvaspulley/internal/httpjson"
	"github.com/canvaspulley/canvaspulley/internal/node"
	"github.com/canvaspulley/canvaspulley/internal/trust"
)

// operatorAccess holds the flags for requests to the operators' listeners of processes.
type operatorAccess struct {
	CA          string `long:"ca" description:"certificate of the site's CA; without it there is no TLS"`
	Certificate string `long:"certificate" description:"operator's certificate"`
	PrivateKey  string `long:"private-key" description:"operator's key"`
	JSON        bool   `long:"json" description:"print JSON"`
	Args        struct {
		Addresses []string `positional-arg-name:"ADDR" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// client returns an HTTP client for operators' listeners, and the scheme of their URLs. The cleanup function
// closes its connections.
func (a *operatorAccess) client() (c *http.Client, scheme string, cleanup func(), err error) {
	creds, err := trust.Load(a.CA, a.Certificate, a.PrivateKey)
	if err != nil {
		return nil, "", nil, err
	}
	c = httphead.NewClient(&http.Transport{TLSClientConfig: creds.Client(), MaxResponseHeaderBytes: httpjson.MaxHeadBytes})
	c.Timeout = 5 * time.Second
	return c, creds.Scheme(), c.CloseIdleConnections, nil
}

// get reads a JSON answer from the operators' listener of a process.
func (a *operatorAccess) get(address, path string, v any) (err error) {
	defer func() { err = errors.Wrapf(err, "%s%s", address, path) }()
	c, scheme, cleanup, err := a.client()
	if err != nil {
		return err
	}
	defer cleanup()
	resp, err := c.Get(scheme + "://" + address + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(v)
}

// maxStatusBytes bounds an answer of an operators' listener.
const maxStatusBytes = 32 << 20

// post posts an empty body to the operators' listener of a process.
func (a *operatorAccess) post(address, path string) (status int, err error) {
	defer func() { err = errors.Wrapf(err, "%s%s", address, path) }()
	c, scheme, cleanup, err := a.client()
	if err != nil {
		return 0, err
	}
	defer cleanup()
	resp, err := c.Post(scheme+"://"+address+path, "", nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// queryAll reads path from all processes. It returns the answers, and the joined errors of the
// processes that did not answer.
func queryAll[T any](a *operatorAccess, path string) (list []T, errs error) {
	for _, address := range a.Args.Addresses {
		var v T
		if err := a.get(address, path, &v); err != nil {
			errs = errors.Join(errs, err)
			continue
		}
		list = append(list, v)
	}
	return list, errs
}

// statusCommand prints the state of processes as they report it.
type statusCommand struct {
	app *app
	operatorAccess
}

// Execute prints one line per process; it fails when a process did not answer.
func (v *statusCommand) Execute([]string) (err error) {
	list, errs := queryAll[node.Status](&v.operatorAccess, node.PathStatus)
	if v.JSON {
		if err := v.app.printJSON(list); err != nil {
			return err
		}
		return markFailed(errs)
	}
	for _, s := range list {
		alive, suspect, dead := countStates(s.Members)
		fmt.Fprintf(v.app.out, "%-24s %-9s %-8s %-9s generation %d (%.8s)  members %d alive, %d suspect, %d dead  pid %d, up %.0f s, build %.12s %s\n",
			s.Name, s.Role, s.Domain, s.State, s.Version.Generation, s.Version.Hash, alive, suspect, dead,
			s.Pid, s.UptimeS, s.Build.ID, cmp.Or(s.Build.Revision, s.Build.Version))
		for _, one := range s.Held {
			printSuspect(v.app.out, one)
		}
		for _, b := range s.RetryBudgets {
			printRetryBudget(v.app.out, b)
		}
	}
	return markFailed(errs)
}

// printRetryBudget prints one line for a retry budget.
func printRetryBudget(w io.Writer, b retry.Report) {
	state := "available"
	if b.Exhausted {
		state = "exhausted"
	}
	fmt.Fprintf(w, "  retries of %s %s: %d requests, %d retries, %d denied, %.1f tokens; earns %.2f a request, %.1f a window; %d gateways, process up %.1f s\n",
		b.Service, state, b.Requests, b.Retries, b.Denied, b.Tokens, b.PerRequest, b.PerWindow, b.Gateways, b.AgeS)
}

func countStates(list []member.Member) (alive, suspect, dead int) {
	for _, m := range list {
		switch m.State {
		case member.Alive:
			alive++
		case member.Suspect:
			suspect++
		case member.Dead:
			dead++
		}
	}
	return alive, suspect, dead
}

// auditCommand prints the audit records of processes.
type auditCommand struct {
	app *app
	operatorAccess
}

// Execute prints the records of all processes, oldest first; it fails when a process did not answer.
func (v *auditCommand) Execute([]string) (err error) {
	reports, errs := queryAll[node.AuditReport](&v.operatorAccess, node.PathAudit)
	var all []audit.Record
	for _, rep := range reports {
		all = append(all, rep.Records...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	if v.JSON {
		if err := v.app.printJSON(all); err != nil {
			return err
		}
		return markFailed(errs)
	}
	for _, r := range all {
		fmt.Fprintf(v.app.out, "%s %-24s %-16s %s: %s\n", r.At.Format("15:04:05.000"), r.Node, r.Kind, r.Subject, r.Cause)
	}
	return markFailed(errs)
}
