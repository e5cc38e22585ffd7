// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/platform/standin"
)

const (
	// crashingPrefix is the prefix of the ids of crashing requests, each of which ends every endpoint
	// that runs it.
	crashingPrefix = "crashing-"
	// crashingCount is how often a crashing request is sent, and crashingGap the time between two
	// sends: together some seconds longer than the time after which its runs count against the bound.
	crashingCount = 20
	crashingGap   = 400 * time.Millisecond
	// exitDowntime is how long an endpoint that was ended by a request is down.
	exitDowntime = 700 * time.Millisecond
	// allowedExits, allowedPartExits and allowedRunsAfter are the users' bounds: once so many endpoints
	// have ended during a request, or during requests with a part, these may reach endpoints at most
	// allowedRunsAfter times more, counting only runs by undisturbed gateways later than
	// undisturbedTime after the last of these exits.
	allowedExits     = 3
	allowedPartExits = 5
	allowedRunsAfter = 3
	// maxOtherRetryAfter is the longest time for which gateways refuse requests that are not
	// quarantined, in seconds: the longest backoff that endpoints request.
	maxOtherRetryAfter = 10
	// sharedPart is the part that all requests with parts share.
	sharedPart = "5ea1"
)

// exitEndpoint ends an endpoint's process and restarts it after exitDowntime.
func (s *site) exitEndpoint(e *siteEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.restarting || !slices.Contains(s.endpoints, e) {
		return // The endpoint is ending already, or was replaced.
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
		if err := s.reopenProxy(e); err != nil {
			return err
		}
		return s.restartEndpoint(e)
	})
}

// reopenProxy makes an endpoint's proxy accept connections again, unless the run is over.
func (s *site) reopenProxy(e *siteEndpoint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	return e.proxy.reopen()
}

// sendCrashing sends a crashing request repeatedly, to all gateways in turn. If ofPart is set, the requests
// share only one part, and before each a sound one is sent that differs in this part.
func (s *site) sendCrashing(f fault, ofPart bool) {
	name := fmt.Sprintf("%s%d-%d", crashingPrefix, f.at.Milliseconds(), f.target)
	r := request{kind: [...]kind{once, repeatable}[f.variant%2], crashing: name, part: ofPart}
	s.mu.Lock()
	i := f.target % customers
	r.customer, r.key = customerName(i), s.keys[i][len(s.keys[i])-1]
	s.mu.Unlock()
	path := [...]string{once: movingPath, repeatable: "/again/x"}[r.kind]
	var group errgroup.Group
	for n := range crashingCount {
		one := r
		one.id, one.gateway = fmt.Sprintf("%s-%d", name, n), (f.target+n)%len(s.gateways)
		if ofPart {
			sound := one
			sound.id, sound.crashing = "beside-"+one.id, ""
			group.Go(func() error {
				s.sendCrashingOnce(&sound, path)
				return nil
			})
			time.Sleep(crashingGap / 2)
		}
		group.Go(func() error {
			s.sendCrashingOnce(&one, path)
			return nil
		})
		time.Sleep(crashingGap)
	}
	_ = group.Wait() // Functions of the group return no error.
}

func (s *site) sendCrashingOnce(r *request, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	body := "body of " + r.crashing
	if r.part {
		body = "body of " + r.id
	}
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.gateways[r.gateway].callers+path, strings.NewReader(body))
	if err != nil {
		panic(err) // The URL is valid.
	}
	out.Host = host
	standin.SetCallHeaders(out.Header, r.id, r.key, callerTimeout)
	if r.part {
		standin.SetPromptParts(out.Header, sharedPart, r.crashing, r.id)
	}
	r.sent = time.Now()
	s.ledger.addRequest(r)
	resp, err := (&http.Client{Transport: modeClose.transport()}).Do(out.WithContext(s.ledger.traceConns(ctx, r)))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		s.ledger.do(func(*ledger) {
			r.status, r.answer, r.retryAfter = resp.StatusCode, answer{complete: err == nil}, resp.Header.Get("Retry-After")
		})
	}
	s.ledger.do(func(*ledger) { r.ended = time.Now() })
}

// checkSoundBeside checks that requests that share all parts but the crashing one are not quarantined. The
// caller holds mu.
func (l *ledger) checkSoundBeside() (violations []string) {
	for _, r := range l.requests {
		if !r.part || r.crashing != "" {
			continue
		}
		if seconds, err := strconv.ParseFloat(r.retryAfter, 64); err == nil && seconds > maxOtherRetryAfter {
			violations = append(violations, fmt.Sprintf("request %s, without the crashing part, was refused for %s s", r.id, r.retryAfter))
		}
	}
	return violations
}

// checkCrashing checks that the gateways stop sending crashing requests to endpoints. The caller
// holds mu.
func (l *ledger) checkCrashing() (violations []string) {
	byName := map[string][]standin.Run{}
	exits := map[string]int{} // Allowed exits by name.
	gateways := map[string]int{}
	for _, r := range l.requests {
		if r.crashing != "" {
			byName[r.crashing] = append(byName[r.crashing], r.runs...)
			gateways[r.id] = r.gateway
			exits[r.crashing] = allowedExits
			if r.part {
				exits[r.crashing] = allowedPartExits
			}
		}
	}
	for name, runs := range byName {
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
		if len(runs) <= exits[name] {
			continue
		}
		from := runs[exits[name]-1].At.Add(undisturbedTime)
		later := 0
		for _, run := range runs {
			if run.At.After(from.Add(slack)) && l.undisturbed(gateways[run.ID], run.At, run.At) {
				later++
			}
		}
		if later > allowedRunsAfter {
			violations = append(violations, fmt.Sprintf("request %s reached endpoints %d times more, %v after %d had ended; %d ended in all", name, later, undisturbedTime, exits[name], len(runs)))
		}
	}
	return violations
}
