// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// idleCallersPerGateway is the number of callers at each gateway that keep connections idle.
	idleCallersPerGateway = 20
	// idlePollInterval is how often an idle caller checks for new versions of the configuration.
	idlePollInterval = 30 * time.Millisecond
	// reconnectDelay is the mean time between the end of a caller's connection and its next one.
	reconnectDelay = 300 * time.Millisecond
	// sendMargin is how long before the end of the time allowed idle callers send at most, if they
	// use all of it.
	sendMargin = 25 * time.Millisecond
	// idleAnswerTimeout is how long an idle caller waits for an answer: longer than callerTimeout,
	// at which the gateway has to refuse the request.
	idleAnswerTimeout = 2 * callerTimeout
)

// idleCallers returns the number of callers at each gateway that keep connections idle.
func (c Config) idleCallers() int {
	if c.Kinds < SeventhKinds {
		return 0
	}
	return idleCallersPerGateway
}

// idleCaller is a caller that keeps its connection idle for as long as it may.
type idleCaller struct {
	caller
	conn *trackedConn // nil when not connected.
	br   *bufio.Reader
	idle *idlePeriod // nil until the first answer on conn.
}

func newIdleCaller(s *site, gateway, n int) *idleCaller {
	c := &idleCaller{caller: caller{s: s, gateway: gateway, name: fmt.Sprintf("%d-r%d", gateway, n), mode: modeIdle}}
	c.rnd = rand.New(rand.NewPCG(s.cfg.Seed, uint64(gateway*1000+n)<<32))
	return c
}

func (c *idleCaller) run(ctx context.Context) error {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil {
			sleep(ctx, time.Duration(c.rnd.Int64N(int64(2*reconnectDelay))))
			if !c.connect(ctx) {
				continue
			}
		}
		if c.waitIdle(ctx) {
			c.sendIdle()
		} else {
			c.disconnect()
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *idleCaller) connect(ctx context.Context) bool {
	conn, err := dialTracked(ctx, "tcp4", c.s.gateways[c.gateway].callers)
	if err != nil {
		return false
	}
	c.conn, c.br, c.idle = conn, bufio.NewReader(conn), nil
	return true
}

// disconnect closes the connection, if any.
func (c *idleCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // The gateway may have closed it.
		c.conn = nil
	}
}

// waitIdle keeps the connection idle, and reports whether to send a request on it then: one in time,
// or one that is late on purpose.
func (c *idleCaller) waitIdle(ctx context.Context) bool {
	if c.idle == nil {
		return ctx.Err() == nil
	}
	share, before := 1.0, time.Duration(c.rnd.Int64N(int64(sendMargin)))
	switch c.rnd.IntN(8) {
	case 0, 1:
		share = c.rnd.Float64()
	case 2, 3:
		c.idle.late = true
	}
	closeDelay := closeSlack
	if c.idle.late && c.s.cfg.Kinds >= EighthKinds && c.rnd.IntN(2) == 0 {
		closeDelay += closeSlackAfterChange
	}
	for ctx.Err() == nil {
		if until := c.idle.sendUntil; !until.IsZero() && time.Now().After(until) && !c.idle.late {
			return false // A longer timeout that is published later does not apply to this connection.
		}
		var expiry time.Time
		c.s.ledger.do(func(l *ledger) { c.idle.sendUntil, expiry = c.idle.usableUntil(l.timeouts), c.idle.expiry(l.timeouts) })
		at := c.idle.since.Add(time.Duration(share * float64(c.idle.sendUntil.Sub(c.idle.since)))).Add(-before)
		if c.idle.late {
			at = expiry.Add(closeDelay + sendMargin/2 - before)
		}
		wait := time.Until(at)
		if wait <= 0 {
			return c.idle.late || time.Now().Before(c.idle.sendUntil)
		}
		c.waitOrConnEnd(ctx, min(wait, idlePollInterval))
	}
	return false
}

// waitOrConnEnd waits, and records at once when the connection ends meanwhile: a request sent on it
// afterwards is lost, and is checked by the time of that end.
func (c *idleCaller) waitOrConnEnd(ctx context.Context, d time.Duration) {
	until := time.Now().Add(d)
	_ = c.conn.SetReadDeadline(until) // Fails only for a closed connection.
	_, _ = c.br.Peek(1)               // The connection records its end.
	sleep(ctx, time.Until(until))
}

// sendIdle sends one request on the idle connection and records its result.
func (c *idleCaller) sendIdle() {
	r, out := c.nextRequest()
	r.idle = c.idle
	var text bytes.Buffer
	if err := out.Write(&text); err != nil {
		panic(err) // Writing to a buffer does not fail.
	}
	_ = c.conn.SetDeadline(time.Now().Add(idleAnswerTimeout)) // Fails only for a closed connection.
	r.sent = time.Now()
	c.s.ledger.addRequest(r)
	c.s.ledger.do(func(l *ledger) { l.recordConn(r, c.conn) })
	_, err := c.conn.Write(text.Bytes())
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.br, out)
	}
	keep := false
	if err == nil {
		c.readAnswer(r, resp)
		keep = !resp.Close && r.answer.complete && r.answer.fault == ""
		_ = resp.Body.Close()
	}
	c.s.ledger.do(func(*ledger) {
		r.ended = time.Now()
		if r.idle != nil {
			r.idle.err = err
		}
	})
	if !keep {
		c.disconnect()
		return
	}
	c.idle = &idlePeriod{since: c.conn.lastRead(), advertised: advertisedIdle(resp.Header)}
}

// advertisedIdle returns the idle timeout that an answer advertises in Keep-Alive; 0 for none.
func advertisedIdle(h http.Header) time.Duration {
	for _, one := range strings.Split(h.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(one), "timeout="); ok {
			if n, err := strconv.Atoi(text); err == nil {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}

// idleTimeouts are the idle timeouts that changeIdle draws from.
var idleTimeouts = [...]time.Duration{300 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 7 * time.Second, defaultIdleTimeout}

// publishIdle publishes a version with an idle timeout.
func (s *site) publishIdle(idle time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleTimeout = idle
	s.logf("        idle time %v", idle)
	return s.publish()
}

// changeIdle publishes one or several versions with other idle timeouts, one after another or at
// once; in some variants a gateway stops as planned or reloads its settings meanwhile.
func (s *site) changeIdle(gateway int, f fault) error {
	const once, series, atOnce, duringStop, withReload = 0, 1, 2, 3, 4
	variant := f.variant % (withReload + 1)
	versions := 2 + f.target%5
	if variant == once {
		versions = 1
	}
	rnd := rand.New(rand.NewPCG(s.cfg.Seed, uint64(f.at)))
	var restarts errgroup.Group
	for i := range versions {
		if err := s.publishIdle(idleTimeouts[rnd.IntN(len(idleTimeouts))]); err != nil {
			return err
		}
		switch proc := s.gateways[gateway].proc; {
		case variant == withReload:
			proc.reload()
		case variant == duringStop && i == 0:
			restarts.Go(func() error { return s.restart(gateway, proc, syscall.SIGTERM, gracePeriod) })
		}
		if variant != atOnce {
			time.Sleep(f.duration / time.Duration(versions))
		}
	}
	return restarts.Wait()
}
