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

	"github.com/canvaspulley/canvaspulley/internal/httphead"
	"github.com/canvaspulley/canvaspulley/platform/standin"
)

const (
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 3 * time.Second
	// thinkTime is the mean time between an answer and the caller's next request.
	thinkTime = 25 * time.Millisecond
	// longUploadBytes is more than is buffered between a gateway and an endpoint.
	longUploadBytes = 6 << 20
	// streamEvents is the number of events of a stream.
	streamEvents = 12
)

// caller sends requests to one gateway, and uses its open connections until the gateway's process
// is gone.
type caller struct {
	s       *site
	gateway int
	name    string
	rnd     *rand.Rand
	mode    connMode
	client  *http.Client
	sent    int
}

func newCaller(s *site, gateway, n int) *caller {
	c := &caller{s: s, gateway: gateway, name: fmt.Sprintf("%d-%d", gateway, n), rnd: rand.New(rand.NewPCG(s.cfg.Seed, uint64(gateway*1000+n)))}
	if s.cfg.Kinds >= SecondKinds {
		c.mode = callerModes[(gateway+n)%len(callerModes)]
	}
	c.client = &http.Client{Transport: c.mode.transport()}
	return c
}

func (c *caller) run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.send(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.rnd.Int64N(int64(2 * thinkTime)))):
		}
	}
	return nil
}

// nextRequest returns the caller's next request, and the HTTP request to send.
func (c *caller) nextRequest() (r *request, out *http.Request) {
	c.sent++
	r = &request{id: fmt.Sprintf("%s-%d", c.name, c.sent), gateway: c.gateway, mode: c.mode, kind: kind(c.rnd.IntN(3))}
	path := [...]string{movingPath, "/again/x", "/stream/x"}[r.kind]
	c.s.chooseKey(r, c.rnd)
	url := "http://" + c.s.gateways[c.gateway].callers + path
	if r.kind == stream {
		url += fmt.Sprintf("?events=%d", streamEvents)
	}
	body := "body of " + r.id
	if c.s.cfg.Kinds >= AllKinds && c.mode != modeIdle && c.sent%c.s.cfg.UploadInterval == 0 {
		body += strings.Repeat(" ", longUploadBytes)
	}
	out, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		panic(err) // The URL is valid.
	}
	out.Host = host
	standin.SetCallHeaders(out.Header, r.id, r.key, callerTimeout)
	return r, out
}

// send sends the next request and records its result.
func (c *caller) send(ctx context.Context) {
	r, out := c.nextRequest()
	c.exchange(ctx, r, out)
}

// exchange sends a request and records its result. It may be called concurrently.
func (c *caller) exchange(ctx context.Context, r *request, out *http.Request) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	r.sent = time.Now()
	c.s.ledger.addRequest(r)
	resp, err := c.client.Do(out.WithContext(c.s.ledger.traceConns(ctx, r)))
	if err == nil {
		c.readAnswer(r, resp)
		_ = resp.Body.Close()
	}
	c.s.ledger.do(func(*ledger) { r.ended = time.Now() })
}

// readAnswer reads, checks and records an answer.
func (c *caller) readAnswer(r *request, resp *http.Response) {
	var a answer
	if resp.StatusCode == http.StatusOK {
		switch err := httphead.Check(resp); {
		case err != nil:
			a.fault = err.Error()
		case !standin.Signed(resp.Header, r.id):
			a.fault = "a success that no endpoint signed for it"
		case r.kind == stream:
			a = readEvents(resp.Body, r.id)
		default:
			a = readBody(resp.Body, r.id)
		}
	} else {
		_, err := io.Copy(io.Discard, resp.Body)
		a.complete = err == nil
	}
	c.s.ledger.do(func(*ledger) { r.status, r.answer = resp.StatusCode, a })
}

func readBody(body io.Reader, id string) (a answer) {
	raw, err := io.ReadAll(body)
	want := standin.AnswerBody(id)
	a.complete = err == nil
	switch {
	case !a.complete && !strings.HasPrefix(want, string(raw)):
		a.fault = "bytes of another answer"
	case a.complete && string(raw) != want:
		a.fault = fmt.Sprintf("a success with a wrong body of %d bytes", len(raw))
	}
	return a
}

// readEvents reads a stream and checks that no event is missing, duplicated or of another request,
// and that a stream which ends in order has all its events.
func readEvents(body io.Reader, id string) (a answer) {
	br := bufio.NewReader(body)
	n, stray := 0, ""
	for {
		line, err := br.ReadString('\n')
		if err == io.EOF {
			a.complete = true
			if n != streamEvents || line != "" {
				a.fault = fmt.Sprintf("a stream that ended as whole after event %d of %d%s", n, streamEvents, stray)
			}
			return a
		}
		if err != nil {
			return a
		}
		text := strings.TrimSpace(line)
		if data, ok := strings.CutPrefix(text, "data: "); ok {
			if n++; data != standin.EventData(id, n) {
				a.fault = fmt.Sprintf("event %q where event %d belongs", data, n)
				return a
			}
		} else if text != "" && text != fmt.Sprintf("id: %d", n+1) {
			stray = fmt.Sprintf(" with line %q after event %d, which is of no event", text, n)
			a.fault = "a stream" + stray
		}
	}
}
