// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package keepalive

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"
)

const (
	enough    = 30 * time.Second // Long enough for a loaded machine.
	many      = 200              // Connections at once.
	shortIdle = 50 * time.Millisecond
	headerID  = "Call"
)

// site is a server whose connections a tracker knows.
type site struct {
	*Tracker
	srv  *http.Server
	addr string
	reg  metrics.Registry
	logs *observer.ObservedLogs
	hold func(id string) // Called by the handler; nil for none.

	mu       sync.Mutex // Guards what follows.
	ran      map[string]int
	accepted int
}

// counting counts what a listener accepts.
type counting struct {
	net.Listener
	s *site
}

func (l counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.s.mu.Lock()
		defer l.s.mu.Unlock()
		l.s.accepted++
	}
	return c, err
}

func defaults() Config {
	return Config{Name: "test", IdleTimeout: shortIdle, PropagationDelay: time.Second, MaxAdvertised: 3 * time.Second, ReadHeaderTimeout: 15 * time.Second}
}

// roomy is a setting by which no connection ends as idle while a test uses it.
func roomy() Config {
	cfg := defaults()
	cfg.IdleTimeout = enough
	return cfg
}

// newSite serves until the test ends, and then checks that each connection has ended and was
// counted once.
func newSite(t testing.TB, cfg Config, change ...func(s *site)) *site {
	g := NewWithT(t)
	core, logs := observer.New(zap.InfoLevel)
	s := &site{reg: metrics.NewRegistry(), logs: logs, ran: map[string]int{}}
	s.Tracker = New(cfg, zap.New(core), s.reg)
	s.srv = &http.Server{Handler: http.HandlerFunc(s.serve)}
	for _, f := range change {
		f(s)
	}
	s.Attach(s.srv)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s.addr = l.Addr().String()
	var group errgroup.Group
	group.Go(func() error {
		l := counting{s.Listener(l), s}
		if s.srv.TLSConfig != nil {
			return s.srv.ServeTLS(l, "", "")
		}
		return s.srv.Serve(l)
	})
	t.Cleanup(func() {
		g.Expect(s.srv.Close()).To(Succeed())
		g.Expect(group.Wait()).To(MatchError(http.ErrServerClosed))
		g.Eventually(s.OpenConns, enough).Should(BeZero())
		s.mu.Lock()
		defer s.mu.Unlock()
		g.Eventually(func() (n int64) {
			for _, c := range causes {
				if c != Crossed && c != Unused {
					n += s.count(c)
				}
			}
			return n
		}, enough).Should(BeEquivalentTo(s.accepted), "each connection has one cause")
		g.Expect(metrics.GetOrRegisterGauge("test.connections-open", s.reg).Value()).To(BeZero())
	})
	return s
}

func (s *site) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	if s.hold != nil {
		s.hold(id)
	}
	_, _ = io.Copy(io.Discard, r.Body) // Whoever breaks off gets no answer.
	_, _ = io.WriteString(w, id)       // As above.
}

// runs returns how often the handler ran for a request.
func (s *site) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

func (s *site) count(c Cause) int64 {
	return metrics.GetOrRegisterCounter("test.connections-closed."+string(c), s.reg).Count()
}

// expectCauses checks how many connections ended by each cause; what is left out is 0.
func (s *site) expectCauses(t testing.TB, want map[Cause]int) {
	t.Helper()
	g := NewWithT(t)
	g.Eventually(s.OpenConns, enough).Should(BeZero())
	for _, c := range causes {
		g.Eventually(func() int64 { return s.count(c) }, enough).Should(BeEquivalentTo(want[c]), string(c))
	}
}

// caller is one that keeps its connection.
type caller struct {
	net.Conn
	br   *bufio.Reader
	name string
	n    int
	sent time.Time // When its last request was begun.
}

func (s *site) dial(t testing.TB, name string) *caller {
	g := NewWithT(t)
	c, err := net.Dial("tcp4", s.addr)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	g.Expect(c.SetDeadline(time.Now().Add(enough))).To(Succeed())
	return &caller{Conn: c, br: bufio.NewReader(c), name: name}
}

// dialMany returns callers that have had an answer each.
func (s *site) dialMany(t testing.TB, n int) (list []*caller) {
	g := NewWithT(t)
	for i := range n {
		c := s.dial(t, fmt.Sprint("c", i))
		_, err := c.ask()
		g.Expect(err).NotTo(HaveOccurred())
		list = append(list, c)
	}
	return list
}

// next names the next request.
func (c *caller) next() (id string) {
	c.n++
	return fmt.Sprint(c.name, "-", c.n)
}

func text(id string) string {
	return fmt.Sprintf("GET / HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", headerID, id)
}

func (c *caller) send(s string) error {
	c.sent = time.Now()
	_, err := io.WriteString(c, s)
	return err
}

// read reads the answer to a request.
func (c *caller) read(id string) (*http.Response, error) {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && string(body) != id {
		err = fmt.Errorf("answer %q to %q", body, id)
	}
	return resp, err
}

// ask sends the next request and reads its answer.
func (c *caller) ask() (resp *http.Response, err error) {
	id := c.next()
	if err = c.send(text(id)); err != nil {
		return nil, err
	}
	return c.read(id)
}

// last is the name of the request that was sent last.
func (c *caller) last() string { return fmt.Sprint(c.name, "-", c.n) }

// each runs f for all callers at once.
func each(t testing.TB, list []*caller, f func(i int, c *caller) error) {
	t.Helper()
	var group errgroup.Group
	for i, c := range list {
		group.Go(func() error { return f(i, c) })
	}
	NewWithT(t).Expect(group.Wait()).To(Succeed())
}

// expectEnded checks that the server ends the connection without a word.
func (c *caller) expectEnded(t testing.TB) {
	t.Helper()
	_, err := c.br.ReadByte()
	NewWithT(t).Expect(err).To(Or(MatchError(io.EOF), MatchError(ContainSubstring("reset"))))
}

// expectCutOff checks that the server ends the connection within a header, with a refusal
// or without one.
func (c *caller) expectCutOff(t testing.TB) {
	t.Helper()
	if resp, err := http.ReadResponse(c.br, nil); err == nil {
		NewWithT(t).Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		_, _ = io.Copy(io.Discard, resp.Body) // A reset may take the rest of it.
	}
	c.expectEnded(t)
}
