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
		play  func(t *testing.T, s *site, c *caller)
		cause Cause
		level zapcore.Level // Of its log line; invalid for none.
	}
	none := zapcore.InvalidLevel
	stopAtAdvertised := roomy()
	stopAtAdvertised.StopAtAdvertised = true
	leave := func(t *testing.T, _ *site, c *caller) { NewWithT(t).Expect(c.Close()).To(Succeed()) }
	for _, tc := range []tc{
		{"idle", defaults(), func(t *testing.T, _ *site, c *caller) { c.expectEnded(t) }, Idle, zapcore.InfoLevel},
		{"planned stop", stopAtAdvertised, func(t *testing.T, s *site, c *caller) {
			s.Stop(time.Now())
			c.expectEnded(t)
		}, Stopped, zapcore.InfoLevel},
		{"slow header", impatient(), func(t *testing.T, _ *site, c *caller) {
			NewWithT(t).Expect(c.send("GET /")).To(Succeed())
			c.expectCutOff(t)
		}, SlowHeader, zapcore.InfoLevel},
		{"caller leaves", roomy(), leave, CallerClosed, none},
		{"caller leaves with a reset", roomy(), func(t *testing.T, s *site, c *caller) {
			NewWithT(t).Expect(c.Conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
			leave(t, s, c)
		}, CallerClosed, none},
		{"caller leaves after some bytes", roomy(), func(t *testing.T, s *site, c *caller) {
			NewWithT(t).Expect(c.send("GE")).To(Succeed())
			leave(t, s, c)
		}, CallerClosed, none},
		{"caller leaves within a header", roomy(), func(t *testing.T, s *site, c *caller) {
			NewWithT(t).Expect(c.send("GET / HTTP/1.1\r\nHost:")).To(Succeed())
			leave(t, s, c)
		}, CallerClosed, none},
		{"caller asks to close", roomy(), func(t *testing.T, _ *site, c *caller) {
			NewWithT(t).Expect(c.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")).To(Succeed())
			_, err := c.read("")
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			c.expectEnded(t)
		}, Answered, none},
		{"no request", roomy(), func(t *testing.T, _ *site, c *caller) {
			NewWithT(t).Expect(c.send("nonsense\r\n\r\n")).To(Succeed())
			resp, err := c.read("400 Bad Request")
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			NewWithT(t).Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		}, Answered, none},
		{"process ends", roomy(), func(t *testing.T, s *site, c *caller) {
			NewWithT(t).Eventually(func() bool { return s.all(stateIdle) }, enough).Should(BeTrue())
			NewWithT(t).Expect(s.srv.Close()).To(Succeed())
			c.expectEnded(t)
		}, ProcessEnd, zapcore.WarnLevel},
		{"process ends under a request", roomy(), func(t *testing.T, s *site, c *caller) {
			NewWithT(t).Eventually(func() bool { return s.all(stateIdle) }, enough).Should(BeTrue(), "the request before has ended")
			NewWithT(t).Expect(c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n")).To(Succeed())
			NewWithT(t).Eventually(func() bool { return s.all(stateActive) }, enough).Should(BeTrue())
			s.MarkProcessEnding()
			NewWithT(t).Expect(s.srv.Close()).To(Succeed())
			c.expectEnded(t)
		}, ProcessEnd, zapcore.WarnLevel},
		{"process ends within a header", roomy(), func(t *testing.T, s *site, c *caller) {
			NewWithT(t).Expect(c.send("GET / HTTP/1.1\r\n")).To(Succeed())
			NewWithT(t).Eventually(func() bool { return s.all(stateReadingHeader) }, enough).Should(BeTrue())
			NewWithT(t).Expect(s.srv.Close()).To(Succeed())
			c.expectEnded(t)
		}, ProcessEnd, zapcore.WarnLevel},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newSite(t, tc.cfg)
			tc.play(t, s, s.dialMany(t, 1)[0])
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

// all reports whether there are connections, and all are in a state.
func (s *site) all(in state) bool {
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
	s := newSite(t, defaults())
	s.Publish(7, 1500*time.Millisecond, time.Now())
	c := s.dialMany(t, 1)[0]
	c.expectEnded(t)
	s.expectCauses(t, map[Cause]int{Idle: 1})
	line := s.logs.FilterMessage("connection closed").All()[0].ContextMap()
	g.Expect(line).To(HaveKeyWithValue("caller", c.LocalAddr().String()))
	g.Expect(line).To(HaveKeyWithValue("version", uint64(7)))
	g.Expect(line).To(HaveKeyWithValue("setting", "published idle time"))
	g.Expect(line).To(HaveKeyWithValue("kept", 1500*time.Millisecond+transitMargin))
	g.Expect(line).To(HaveKeyWithValue("crossed", false))
	g.Expect(line["idle"]).To(BeNumerically(">=", 1500*time.Millisecond+transitMargin))
}
