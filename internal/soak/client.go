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
	client  *http.Client
	sent    int
}

func newCaller(s *site, gateway, n int) *caller {
	return &caller{
		s: s, gateway: gateway, name: fmt.Sprintf("%d-%d", gateway, n), rnd: rand.New(rand.NewPCG(s.cfg.Seed, uint64(gateway*1000+n))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
	}
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

// ask sends one request and notes what becomes of it.
func (c *caller) ask(ctx context.Context) {
	c.sent++
	r := &request{id: fmt.Sprintf("%s-%d", c.name, c.sent), gateway: c.gateway, kind: kind(c.rnd.IntN(3))}
	path := [...]string{movingPath, "/again/x", "/stream/x"}[r.kind]
	c.s.aim(r, c.rnd)
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	url := "http://" + c.s.gateways[c.gateway].callers + path
	if r.kind == stream {
		url += fmt.Sprintf("?events=%d", events)
	}
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body of "+r.id))
	if err != nil {
		panic(err) // The address is one of ours.
	}
	out.Host = host
	standin.Call(out.Header, r.id, r.key, patience)
	r.sent = time.Now()
	c.s.ledger.begin(r)
	resp, err := c.client.Do(out)
	if err == nil {
		c.read(r, resp)
		_ = resp.Body.Close()
	}
	c.s.ledger.note(func(*ledger) { r.ended = time.Now() })
}

// read takes in an answer.
func (c *caller) read(r *request, resp *http.Response) {
	whole, wrong := false, ""
	if resp.StatusCode == http.StatusOK {
		switch {
		case !standin.Signed(resp.Header, r.id):
			wrong = "a success that no endpoint signed for it"
		case r.kind == stream:
			whole, wrong = readEvents(resp.Body, r.id)
		default:
			whole, wrong = readBody(resp.Body, r.id)
		}
	} else {
		_, err := io.Copy(io.Discard, resp.Body)
		whole = err == nil
	}
	c.s.ledger.note(func(*ledger) { r.status, r.whole, r.wrong = resp.StatusCode, whole, wrong })
}

func readBody(body io.Reader, id string) (whole bool, wrong string) {
	raw, err := io.ReadAll(body)
	switch {
	case err != nil && !strings.HasPrefix(standin.Body(id), string(raw)):
		return false, "bytes of another answer"
	case err != nil:
		return false, ""
	case string(raw) != standin.Body(id):
		return true, fmt.Sprintf("a success with a wrong body of %d bytes", len(raw))
	}
	return true, ""
}

// readEvents reads a stream and checks that nothing is missing, doubled or
// foreign, and that one that ends whole has all its events.
func readEvents(body io.Reader, id string) (whole bool, wrong string) {
	br := bufio.NewReader(body)
	n := 0
	for {
		line, err := br.ReadString('\n')
		if err == io.EOF {
			if n != events || line != "" {
				return true, fmt.Sprintf("a stream that ended as whole after event %d of %d", n, events)
			}
			return true, ""
		}
		if err != nil {
			return false, ""
		}
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			if n++; data != standin.EventData(id, n) {
				return false, fmt.Sprintf("event %q where event %d belongs", data, n)
			}
		}
	}
}
