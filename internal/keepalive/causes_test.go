// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package keepalive

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"
)

func TestCausesAreCounted(t *testing.T) {
	t.Parallel()
	type tc struct {
		name  string
		cfg   Config
		run   func(t *testing.T, s *host, c *caller)
		cause Cause
		level zapcore.Level // Of its log line; InvalidLevel if none is expected.
	}
	none := zapcore.InvalidLevel
	stopAtAdvertised := longIdleConfig()
	stopAtAdvertised.StopAtAdvertised = true
	leave := func(t *testing.T, _ *host, c *caller) { NewWithT(t).Expect(c.Close()).To(Succeed()) }
	for _, tc := range []tc{
		{"idle", defaultConfig(), func(t *testing.T, _ *host, c *caller) { c.expectClosed(t) }, Idle, zapcore.InfoLevel},
		{"planned stop", stopAtAdvertised, func(t *testing.T, s *host, c *caller) {
			s.Stop(time.Now())
			c.expectClosed(t)
		}, Stopped, zapcore.InfoLevel},
		{"slow header", shortHeaderConfig(), func(t *testing.T, _ *host, c *caller) {
			NewWithT(t).Expect(c.send("GET /")).To(Succeed())
			c.expectCutOff(t)
		}, SlowHeader, zapcore.InfoLevel},
		{"caller leaves", longIdleConfig(), leave, CallerClosed, none},
		{"caller leaves with a reset", longIdleConfig(), func(t *testing.T, s *host, c *caller) {
			NewWithT(t).Expect(c.Conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
			leave(t, s, c)
		}, CallerClosed, none},
		{"caller leaves after some bytes", longIdleConfig(), func(t *testing.T, s *host, c *caller) {
			NewWithT(t).Expect(c.send("GE")).To(Succeed())
			leave(t, s, c)
		}, CallerClosed, none},
		{"caller leaves within a header", longIdleConfig(), func(t *testing.T, s *host, c *caller) {
			NewWithT(t).Expect(c.send("GET / HTTP/1.1\r\nHost:")).To(Succeed())
			leave(t, s, c)
		}, CallerClosed, none},
		{"caller asks to close", longIdleConfig(), func(t *testing.T, _ *host, c *caller) {
			NewWithT(t).Expect(c.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")).To(Succeed())
			_, err := c.read("")
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			c.expectClosed(t)
		}, Answered, none},
		{"no request", longIdleConfig(), func(t *testing.T, _ *host, c *caller) {
			NewWithT(t).Expect(c.send("nonsense\r\n\r\n")).To(Succeed())
			resp, err := c.read("400 Bad Request")
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			NewWithT(t).Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		}, Answered, none},
		{"process ends", longIdleConfig(), func(t *testing.T, s *host, c *caller) {
			NewWithT(t).Eventually(func() bool { return s.allConnsIn(stateIdle) }, testTimeout).Should(BeTrue())
			NewWithT(t).Expect(s.srv.Close()).To(Succeed())
			c.expectClosed(t)
		}, ProcessEnd, zapcore.WarnLevel},
		{"process ends during a request", longIdleConfig(), func(t *testing.T, s *host, c *caller) {
			NewWithT(t).Eventually(func() bool { return s.allConnsIn(stateIdle) }, testTimeout).Should(BeTrue(), "the previous request has ended")
			NewWithT(t).Expect(c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n")).To(Succeed())
			NewWithT(t).Eventually(func() bool { return s.allConnsIn(stateActive) }, testTimeout).Should(BeTrue())
			s.MarkProcessEnding()
			NewWithT(t).Expect(s.srv.Close()).To(Succeed())
			c.expectClosed(t)
		}, ProcessEnd, zapcore.WarnLevel},
		{"process ends within a header", longIdleConfig(), func(t *testing.T, s *host, c *caller) {
			NewWithT(t).Expect(c.send("GET / HTTP/1.1\r\n")).To(Succeed())
			NewWithT(t).Eventually(func() bool { return s.allConnsIn(stateReadingHeader) }, testTimeout).Should(BeTrue())
			NewWithT(t).Expect(s.srv.Close()).To(Succeed())
			c.expectClosed(t)
		}, ProcessEnd, zapcore.WarnLevel},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newTestServer(t, tc.cfg)
			tc.run(t, s, s.dialMany(t, 1)[0])
			s.expectCauses(t, map[Cause]int{tc.cause: 1})
			lines := s.logs.FilterMessage("connection closed").All()
			if tc.level == none {
				g.Expect(lines).To(BeEmpty())
				return
			}
			g.Expect(lines).To(HaveLen(1))
			g.Expect(lines[0].Level).To(Equal(tc.level))
			g.Expect(lines[0].ContextMap()).To(HaveKeyWithValue("cause", string(tc.cause)))
		})
	}
}

// allConnsIn reports whether there are connections and all of them are in the given state.
func (s *host) allConnsIn(in state) bool {
	s.Tracker.mu.Lock()
	defer s.Tracker.mu.Unlock()
	for c := range s.conns {
		if c.state() != in {
			return false
		}
	}
	return len(s.conns) > 0
}

func TestTheLogNamesTheSettingThatEndedAConnection(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newTestServer(t, defaultConfig())
	s.Publish(7, 1500*time.Millisecond, time.Now())
	c := s.dialMany(t, 1)[0]
	c.expectClosed(t)
	s.expectCauses(t, map[Cause]int{Idle: 1})
	line := s.logs.FilterMessage("connection closed").All()[0].ContextMap()
	g.Expect(line).To(HaveKeyWithValue("caller", c.LocalAddr().String()))
	g.Expect(line).To(HaveKeyWithValue("version", uint64(7)))
	g.Expect(line).To(HaveKeyWithValue("setting", "published idle time"))
	g.Expect(line).To(HaveKeyWithValue("kept", 1500*time.Millisecond+transitMargin))
	g.Expect(line).To(HaveKeyWithValue("crossed", false))
	g.Expect(line["idle"]).To(BeNumerically(">=", 1500*time.Millisecond+transitMargin))
}
