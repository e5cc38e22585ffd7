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
	// crashingID begins the ids of requests that end each endpoint which runs them.
	crashingID = "crashing-"
	// crashingTimes is how often such a request comes, crashingGap how long it is away:
	// for some seconds longer than the bound after which its sends are counted.
	crashingTimes = 20
	crashingGap   = 400 * time.Millisecond
	// endedFor is how long an endpoint that ended is away.
	endedFor = 700 * time.Millisecond
	// endsAllowed and laterAllowed are the users' bounds: once so many endpoints have ended
	// under a request, it reaches endpoints so many times more, sent by gateways that are
	// calm, later than calmBefore after the last of these ends.
	endsAllowed  = 3
	laterAllowed = 3
)

// end ends an endpoint's process and starts it again a while later.
func (s *site) end(e *endpointAt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.restarts || !slices.Contains(s.endpoints, e) {
		return // It is ending already.
	}
	e.restarts = true
	s.ledger.endpointEnds(e.name)
	e.proxy.shut()
	srv := e.srv
	s.servers.Go(func() error {
		if err := srv.Close(); err != nil {
			return err
		}
		time.Sleep(endedFor)
		if err := e.proxy.open(); err != nil {
			return err
		}
		return s.beginLife(e)
	})
}

// sendCrashing sends the same request again and again, by all gateways in turn.
func (s *site) sendCrashing(f fault) {
	name := fmt.Sprintf("%s%d-%d", crashingID, f.at.Milliseconds(), f.which)
	r := request{kind: [...]kind{once, repeatable}[f.how%2], crashing: name}
	s.mu.Lock()
	i := f.which % customers
	r.customer, r.key = customerName(i), s.keys[i][len(s.keys[i])-1]
	s.mu.Unlock()
	path := [...]string{once: movingPath, repeatable: "/again/x"}[r.kind]
	var group errgroup.Group
	for n := range crashingTimes {
		one := r
		one.id, one.gateway = fmt.Sprintf("%s-%d", name, n), (f.which+n)%len(s.gateways)
		group.Go(func() error {
			s.askCrashing(&one, path)
			return nil
		})
		time.Sleep(crashingGap)
	}
	_ = group.Wait() // The functions return no errors.
}

func (s *site) askCrashing(r *request, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.gateways[r.gateway].callers+path, strings.NewReader("body of "+r.crashing))
	if err != nil {
		panic(err) // The address is one of ours.
	}
	out.Host = host
	standin.SetCallHeaders(out.Header, r.id, r.key, patience)
	r.sent = time.Now()
	s.ledger.begin(r)
	resp, err := (&http.Client{Transport: closes.transport()}).Do(out.WithContext(s.ledger.watch(ctx, r)))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		s.ledger.note(func(*ledger) { r.status, r.answer = resp.StatusCode, answer{whole: err == nil} })
	}
	s.ledger.note(func(*ledger) { r.ended = time.Now() })
}

// judgeCrashing checks that requests which end endpoints are not sent on and on. The caller
// holds mu.
func (l *ledger) judgeCrashing() (broken []string) {
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
		if len(runs) <= endsAllowed {
			continue
		}
		from := runs[endsAllowed-1].At.Add(calmBefore)
		later := 0
		for _, run := range runs {
			if run.At.After(from.Add(slack)) && l.calm(gateways[run.ID], run.At, run.At) {
				later++
			}
		}
		if later > laterAllowed {
			broken = append(broken, fmt.Sprintf("request %s reached endpoints %d times more, %v after the third had ended; %d ended in all", name, later, calmBefore, len(runs)))
		}
	}
	return broken
}
