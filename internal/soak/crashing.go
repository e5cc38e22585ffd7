// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/platform/standin"
)

const (
	// crashingPrefix begins the ids of requests that end each endpoint which runs them.
	crashingPrefix = "crashing-"
	// crashingCount is how often such a request comes, crashingGap how long it is away:
	// for some seconds longer than the bound after which its sends are counted.
	crashingCount = 20
	crashingGap   = 400 * time.Millisecond
	// exitDowntime is how long an endpoint that ended is away.
	exitDowntime = 700 * time.Millisecond
	// allowedExits and allowedRunsAfter are the users' bounds: once so many endpoints have ended
	// under a request, it reaches endpoints so many times more, sent by gateways that are
	// calm, later than undisturbedTime after the last of these ends.
	allowedExits     = 3
	allowedRunsAfter = 3
)

// exitEndpoint ends an endpoint's process and starts it again a while later.
func (s *site) exitEndpoint(e *siteEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.restarting || !slices.Contains(s.endpoints, e) {
		return // It is ending already.
	}
	e.restarting = true
	s.ledger.recordEndpointExit(e.name)
	e.proxy.shut()
	srv := e.srv
	s.servers.Go(func() error {
		if err := srv.Close(); err != nil {
			return err
		}
		time.Sleep(exitDowntime)
		if err := e.proxy.reopen(); err != nil {
			return err
		}
		return s.restartEndpoint(e)
	})
}

// sendCrashing sends the same request again and again, by all gateways in turn.
func (s *site) sendCrashing(f fault) {
	name := fmt.Sprintf("%s%d-%d", crashingPrefix, f.at.Milliseconds(), f.target)
	r := request{kind: [...]kind{once, repeatable}[f.variant%2], crashing: name}
	s.mu.Lock()
	i := f.target % customers
	r.customer, r.key = customerName(i), s.keys[i][len(s.keys[i])-1]
	s.mu.Unlock()
	path := [...]string{once: movingPath, repeatable: "/again/x"}[r.kind]
	var group errgroup.Group
	for n := range crashingCount {
		one := r
		one.id, one.gateway = fmt.Sprintf("%s-%d", name, n), (f.target+n)%len(s.gateways)
		group.Go(func() error {
			s.sendCrashingOnce(&one, path)
			return nil
		})
		time.Sleep(crashingGap)
	}
	_ = group.Wait() // The functions return no errors.
}

func (s *site) sendCrashingOnce(r *request, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.gateways[r.gateway].callers+path, strings.NewReader("body of "+r.crashing))
	if err != nil {
		panic(err) // The address is one of ours.
	}
	out.Host = host
	standin.SetCallHeaders(out.Header, r.id, r.key, callerTimeout)
	r.sent = time.Now()
	s.ledger.addRequest(r)
	resp, err := (&http.Client{Transport: modeClose.transport()}).Do(out.WithContext(s.ledger.traceConns(ctx, r)))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		s.ledger.do(func(*ledger) { r.status, r.answer = resp.StatusCode, answer{complete: err == nil} })
	}
	s.ledger.do(func(*ledger) { r.ended = time.Now() })
}

// checkCrashing checks that requests which end endpoints are not sent on and on. The caller
// holds mu.
func (l *ledger) checkCrashing() (violations []string) {
	byName := map[string][]standin.Run{}
	gateways := map[string]int{}
	for _, r := range l.requests {
		if r.crashing != "" {
			byName[r.crashing] = append(byName[r.crashing], r.runs...)
			gateways[r.id] = r.gateway
		}
	}
	for name, runs := range byName {
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
		if len(runs) <= allowedExits {
			continue
		}
		from := runs[allowedExits-1].At.Add(undisturbedTime)
		later := 0
		for _, run := range runs {
			if run.At.After(from.Add(slack)) && l.undisturbed(gateways[run.ID], run.At, run.At) {
				later++
			}
		}
		if later > allowedRunsAfter {
			violations = append(violations, fmt.Sprintf("request %s reached endpoints %d times more, %v after the third had ended; %d ended in all", name, later, undisturbedTime, len(runs)))
		}
	}
	return violations
}
