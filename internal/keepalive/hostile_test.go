// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package keepalive

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// half cuts a request within its header.
func half(id string) (first, second string) {
	s := text(id)
	return s[:len(s)/2], s[len(s)/2:]
}

// impatient is a setting by which callers must send their headers soon.
func impatient() Config {
	cfg := roomy()
	cfg.ReadHeaderTimeout = 200 * time.Millisecond
	return cfg
}

// holding has the handler of the first request of a caller wait until the function is called.
func holding(s *site) (begun chan struct{}, release func()) {
	begun, going := make(chan struct{}), make(chan struct{})
	s.hold = func(id string) {
		if strings.HasSuffix(id, "-1") {
			close(begun)
			<-going
		}
	}
	return begun, func() { close(going) }
}

func TestConnectionsOfSlowCallersEnd(t *testing.T) {
	t.Parallel()
	t.Run("one that never sends anything", func(t *testing.T) {
		t.Parallel()
		s := newSite(t, defaults(), func(s *site) { s.cfg.ReadHeaderTimeout = shortIdle })
		s.dial(t, "a").expectEnded(t)
		s.expectCauses(t, map[Cause]int{Idle: 1, Unused: 1})
	})
	t.Run("a header that never ends", func(t *testing.T) {
		t.Parallel()
		s := newSite(t, impatient())
		c := s.dial(t, "a")
		first, _ := half(c.next())
		NewWithT(t).Expect(c.send(first)).To(Succeed())
		c.expectCutOff(t)
		s.expectCauses(t, map[Cause]int{SlowHeader: 1, Unused: 1})
		NewWithT(t).Expect(s.runs(c.last())).To(BeZero())
	})
	t.Run("a second header that never ends", func(t *testing.T) {
		t.Parallel()
		for _, first := range []string{"G", "GET / HTTP/1.1\r\n"} {
			s := newSite(t, impatient())
			c := s.dialMany(t, 1)[0]
			NewWithT(t).Expect(c.send(first)).To(Succeed())
			c.expectCutOff(t)
			s.expectCauses(t, map[Cause]int{SlowHeader: 1})
		}
	})
	t.Run("a header that comes byte by byte without end", func(t *testing.T) {
		t.Parallel()
		s := newSite(t, impatient())
		c := s.dialMany(t, 1)[0]
		var trickle errgroup.Group
		trickle.Go(func() error {
			for err := c.send("GET / HTTP/1.1\r\nHost: h\r\nX: "); err == nil; err = c.send("x") {
				time.Sleep(10 * time.Millisecond)
			}
			return nil
		})
		c.expectCutOff(t)
		NewWithT(t).Expect(c.Close()).To(Succeed())
		NewWithT(t).Expect(trickle.Wait()).To(Succeed())
		s.expectCauses(t, map[Cause]int{SlowHeader: 1})
	})
}

func TestTheFirstByteOfTheNextRequestIsReadWithTheOneBefore(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var begun chan struct{}
	var release func()
	s := newSite(t, roomy(), func(s *site) { begun, release = holding(s) })
	c := s.dial(t, "a")
	one, two := c.next(), c.next()
	g.Expect(c.send(text(one))).To(Succeed())
	g.Eventually(begun, enough).Should(BeClosed())
	g.Expect(c.send(text(two)[:1])).To(Succeed())
	time.Sleep(2 * shortIdle)
	release()
	_, err := c.read(one)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.send(text(two)[1:])).To(Succeed())
	_, err = c.read(two)
	g.Expect(err).NotTo(HaveOccurred())
}

func TestPipelinedRequestsAreAnsweredInTurn(t *testing.T) {
	t.Parallel()
	s := newSite(t, roomy())
	each(t, s.dialMany(t, many), func(_ int, c *caller) error {
		var all strings.Builder
		var ids []string
		for range 20 {
			ids = append(ids, c.next())
			all.WriteString(text(c.last()))
		}
		if err := c.send(all.String()); err != nil {
			return err
		}
		for _, id := range ids {
			if _, err := c.read(id); err != nil {
				return err
			}
		}
		return c.Close()
	})
	s.expectCauses(t, map[Cause]int{CallerClosed: many})
}

// Guards against the reset of a connection whose last answer is still on its way.
func TestTheLastAnswerIsNotCutOffByARequestBehindIt(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const size = 8 << 20 // More than sockets keep.
	going := make(chan struct{})
	s := newSite(t, roomy(), func(s *site) {
		s.srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-going
			_, _ = w.Write(make([]byte, size)) // The caller's view is what is tested.
		})
	})
	s.Stop(time.Now())
	c := s.dial(t, "a")
	g.Expect(c.send(text(c.next()))).To(Succeed())
	g.Eventually(func() bool { return s.all(stateActive) }, enough).Should(BeTrue())
	g.Expect(c.send(text(c.next()))).To(Succeed())
	close(going)
	resp, err := http.ReadResponse(c.br, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Close).To(BeTrue())
	n, err := io.Copy(io.Discard, resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(BeEquivalentTo(size))
	s.expectCauses(t, map[Cause]int{Answered: 1, Crossed: 1})
	g.Expect(s.logs.FilterMessage("connection closed").All()[0].ContextMap()).To(HaveKeyWithValue("crossed", true))
}

func TestACallerThatClosesItsHalfIsAnswered(t *testing.T) {
	t.Parallel()
	s := newSite(t, roomy())
	each(t, s.dialMany(t, many), func(_ int, c *caller) error {
		id := c.next()
		if err := c.send(text(id)); err != nil {
			return err
		}
		if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
			return err
		}
		_, err := c.read(id)
		return err
	})
	s.expectCauses(t, map[Cause]int{CallerClosed: many})
}

func TestAnswersAdvertiseAKeepAliveTimeout(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newSite(t, defaults())
	c := s.dial(t, "a")
	for _, tc := range []struct {
		limit time.Duration
		want  string
	}{{900 * time.Millisecond, "timeout=1"}, {2500 * time.Millisecond, "timeout=2"}, {time.Minute, "timeout=3"}} {
		s.Publish(uint64(tc.limit), tc.limit, time.Now())
		resp, err := c.ask()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Header.Get("Keep-Alive")).To(Equal(tc.want))
	}
	s.Stop(time.Now())
	resp, err := c.ask()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Close).To(BeTrue())
	s.expectCauses(t, map[Cause]int{Answered: 1})
}

func TestConnectionsOverTLS(t *testing.T) {
	t.Parallel()
	model := httptest.NewUnstartedServer(nil)
	model.StartTLS()
	t.Cleanup(model.Close)
	cfg := defaults()
	cfg.IdleTimeout = 2 * time.Second
	s := newSite(t, cfg, func(s *site) { s.srv.TLSConfig = model.TLS.Clone(); s.srv.TLSConfig.NextProtos = []string{"http/1.1"} })
	var list []*caller
	for range 50 {
		c := s.dial(t, "a")
		c.Conn = tls.Client(c.Conn, &tls.Config{InsecureSkipVerify: true})
		c.br.Reset(c.Conn)
		list = append(list, c)
	}
	each(t, list, func(i int, c *caller) error {
		for range 5 {
			if _, err := c.ask(); err != nil {
				return err
			}
			time.Sleep(shortIdle)
		}
		if i%2 == 0 {
			return c.Close()
		}
		return nil
	})
	s.expectCauses(t, map[Cause]int{Answered: len(list) / 2, Idle: len(list) / 2})
}
