// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/canvaspulley/canvaspulley/platform/standin"
)

const (
	// patience is how long a caller waits.
	patience = 3 * time.Second
	// thinkTime lies between two requests of a caller, on the mean.
	thinkTime = 25 * time.Millisecond
	// events is the length of a stream.
	events = 12
)

// caller sends requests to one gateway, and keeps to its open connections until
// the process is gone.
type caller struct {
	s       *site
	gateway int
	name    string
	rnd     *rand.Rand
	speech  speech
	client  *http.Client
	sent    int
}

func newCaller(s *site, gateway, n int) *caller {
	c := &caller{s: s, gateway: gateway, name: fmt.Sprintf("%d-%d", gateway, n), rnd: rand.New(rand.NewPCG(s.cfg.Seed, uint64(gateway*1000+n)))}
	if s.cfg.Kinds >= SecondKinds {
		c.speech = speeches[(gateway+n)%len(speeches)]
	}
	c.client = &http.Client{Transport: c.speech.transport()}
	return c
}

func (c *caller) run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.ask(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.rnd.Int64N(int64(2 * thinkTime)))):
		}
	}
	return nil
}

// next returns the next request of the caller.
func (c *caller) next() (r *request, out *http.Request) {
	c.sent++
	r = &request{id: fmt.Sprintf("%s-%d", c.name, c.sent), gateway: c.gateway, speech: c.speech, kind: kind(c.rnd.IntN(3))}
	path := [...]string{movingPath, "/again/x", "/stream/x"}[r.kind]
	c.s.aim(r, c.rnd)
	url := "http://" + c.s.gateways[c.gateway].callers + path
	if r.kind == stream {
		url += fmt.Sprintf("?events=%d", events)
	}
	out, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body of "+r.id))
	if err != nil {
		panic(err) // The address is one of ours.
	}
	out.Host = host
	standin.SetCallHeaders(out.Header, r.id, r.key, patience)
	return r, out
}

// ask sends one request and notes what becomes of it.
func (c *caller) ask(ctx context.Context) {
	r, out := c.next()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	r.sent = time.Now()
	c.s.ledger.begin(r)
	resp, err := c.client.Do(out.WithContext(c.s.ledger.watch(ctx, r)))
	if err == nil {
		c.read(r, resp)
		_ = resp.Body.Close()
	}
	c.s.ledger.note(func(*ledger) { r.ended = time.Now() })
}

// read takes in an answer.
func (c *caller) read(r *request, resp *http.Response) {
	var a answer
	if resp.StatusCode == http.StatusOK {
		switch {
		case !standin.Signed(resp.Header, r.id):
			a.wrong = "a success that no endpoint signed for it"
		case r.kind == stream:
			a = readEvents(resp.Body, r.id)
		default:
			a = readBody(resp.Body, r.id)
		}
	} else {
		_, err := io.Copy(io.Discard, resp.Body)
		a.whole = err == nil
	}
	c.s.ledger.note(func(*ledger) { r.status, r.answer = resp.StatusCode, a })
}

func readBody(body io.Reader, id string) (a answer) {
	raw, err := io.ReadAll(body)
	want := standin.AnswerBody(id)
	a.whole = err == nil
	switch {
	case !a.whole && !strings.HasPrefix(want, string(raw)):
		a.wrong = "bytes of another answer"
	case a.whole && string(raw) != want:
		a.wrong = fmt.Sprintf("a success with a wrong body of %d bytes", len(raw))
	}
	return a
}

// readEvents reads a stream and checks that nothing is missing, doubled or
// foreign, and that one that ends whole has all its events.
func readEvents(body io.Reader, id string) (a answer) {
	br := bufio.NewReader(body)
	n, stray := 0, ""
	for {
		line, err := br.ReadString('\n')
		if err == io.EOF {
			a.whole = true
			if n != events || line != "" {
				a.wrong = fmt.Sprintf("a stream that ended as whole after event %d of %d%s", n, events, stray)
			}
			return a
		}
		if err != nil {
			return a
		}
		text := strings.TrimSpace(line)
		if data, ok := strings.CutPrefix(text, "data: "); ok {
			if n++; data != standin.EventData(id, n) {
				a.wrong = fmt.Sprintf("event %q where event %d belongs", data, n)
				return a
			}
		} else if text != "" && text != fmt.Sprintf("id: %d", n+1) {
			stray = fmt.Sprintf(" with line %q after event %d, which is of no event", text, n)
			a.wrong = "a stream" + stray
		}
	}
}
