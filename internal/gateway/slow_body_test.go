// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// slowCaller sends its requests in pieces.
type slowCaller struct {
	net.Conn
	br *bufio.Reader
}

func (s site) dial(t *testing.T) *slowCaller {
	g := NewWithT(t)
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	g.Expect(c.SetDeadline(time.Now().Add(patienceOf))).To(Succeed())
	return &slowCaller{Conn: c, br: bufio.NewReader(c)}
}

// head is that of a request with a body, of a caller that waits for some milliseconds.
func head(id string, patience int, framing string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: caller.test\r\n%s: %s\r\n%s: %d\r\n%s\r\n\r\n", headerID, id, headerPatience, patience, framing)
}

func (c *slowCaller) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
}

func (c *slowCaller) answer(t *testing.T) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(c.br, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return resp
}

// expectEnd checks that the gateway closes the connection.
func (c *slowCaller) expectEnd(t *testing.T) {
	t.Helper()
	_, err := c.br.ReadByte()
	NewWithT(t).Expect(err).To(Or(MatchError(io.EOF), MatchError(ContainSubstring("reset"))))
}

// trickle sends bytes until the connection ends. The function waits for that.
func (c *slowCaller) trickle(piece string) (wait func()) {
	var group errgroup.Group
	group.Go(func() error {
		for {
			if _, err := io.WriteString(c, piece); err != nil {
				return nil
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	return func() { _ = group.Wait() }
}

// counted is an endpoint that counts what it is sent.
func counted(runs *atomic.Int32) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		newStreamer(0).ServeHTTP(w, r)
	})
}

// framings are the ways to tell the length of a body that is not sent whole.
var framings = map[string]struct{ header, piece string }{
	"with its length": {"Content-Length: 60000", "x"},
	"in chunks":       {"Transfer-Encoding: chunked", "1\r\nx\r\n"},
	"on demand":       {"Content-Length: 60000\r\nExpect: 100-continue", ""},
}

// checkRefusals has callers of a host send heads whose bodies do not come, or byte by byte
// without end, and checks that each is refused and its connection ends.
func checkRefusals(t *testing.T, host string, patience, status int, askedOn bool) {
	t.Parallel()
	for name, f := range framings {
		for _, trickles := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", trickles: ", trickles), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				var runs atomic.Int32
				s := newSite(t, counted(&runs))
				c := s.dial(t)
				c.send(t, strings.Replace(head("one", patience, f.header), "caller.test", host, 1))
				if f.piece == "" && askedOn {
					g.Expect(c.answer(t).StatusCode).To(Equal(http.StatusContinue))
				}
				wait := func() {}
				if trickles && f.piece != "" {
					wait = c.trickle(f.piece)
				}
				resp := c.answer(t)
				g.Expect(resp.StatusCode).To(Equal(status))
				g.Expect(resp.Close).To(BeTrue())
				g.Expect(resp.Header.Get(headerID)).To(Equal("one"))
				c.expectEnd(t)
				_ = c.Close()
				wait()
				g.Eventually(s.InFlight, patienceOf).Should(BeZero())
				g.Expect(s.kept.n.Load()).To(BeZero())
				g.Expect(runs.Load()).To(BeZero())
			})
		}
	}
}

func TestABodyThatDoesNotComeInTimeIsRefused(t *testing.T) {
	checkRefusals(t, "caller.test", 200, http.StatusRequestTimeout, true)
}

// Guards against a refusal that waits for a body, and is lost when it comes late.
func TestARefusalDoesNotWaitForABody(t *testing.T) {
	checkRefusals(t, "other.test", 60_000, http.StatusNotFound, false)
}

// Guards against a body's time limit that ends a request whose body came whole.
func TestABodyThatComesLateEndsNoRequestWithoutAnAnswer(t *testing.T) {
	t.Parallel()
	for _, framing := range []struct{ header, body string }{
		{"Content-Length: 4", "abcd"},
		{"Transfer-Encoding: chunked", "4\r\nabcd\r\n0\r\n\r\n"},
	} {
		t.Run(framing.header, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, newStreamer(0))
			const patience = 100 * time.Millisecond
			var callers errgroup.Group
			for i := range 60 {
				c := s.dial(t)
				callers.Go(func() error {
					sent := time.Now()
					c.send(t, head(fmt.Sprint(i), int(patience.Milliseconds()), framing.header)+framing.body[:1])
					// Half of them come around the end of the time for bodies.
					time.Sleep(patience + bodyMargin*time.Duration(i)/30 - bodyMargin/2)
					if _, err := io.WriteString(c, framing.body[1:]); err != nil {
						return nil // It was refused, and the connection has ended.
					}
					resp, err := http.ReadResponse(c.br, nil)
					NewWithT(t).Expect(err).NotTo(HaveOccurred())
					// One whose body came just in time is passed on, and its time may end there, or in the answer.
					if _, err = io.Copy(io.Discard, resp.Body); resp.StatusCode != http.StatusOK || time.Since(sent) < patience {
						NewWithT(t).Expect(err).NotTo(HaveOccurred())
					}
					NewWithT(t).Expect(resp.StatusCode).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusGatewayTimeout))
					return nil
				})
			}
			NewWithT(t).Expect(callers.Wait()).To(Succeed())
		})
	}
	t.Run("it is refused without being passed on", func(t *testing.T) {
		t.Parallel()
		g := NewWithT(t)
		var runs atomic.Int32
		s := newSite(t, counted(&runs))
		c := s.dial(t)
		c.send(t, head("one", 100, "Content-Length: 2")+"{")
		time.Sleep(100*time.Millisecond + bodyMargin/4)
		c.send(t, "}")
		resp := c.answer(t)
		g.Expect(resp.StatusCode).To(BeElementOf(http.StatusServiceUnavailable, http.StatusRequestTimeout))
		g.Expect(runs.Load()).To(BeZero())
	})
}

// Guards against a body's time limit that stays in force and ends what comes after the body.
func TestTheTimeOfABodyEndsWithIt(t *testing.T) {
	t.Parallel()
	const limit = 100 * time.Millisecond
	for name, f := range map[string]string{
		"with its length": "Content-Length: 2\r\n\r\n{}",
		"in chunks":       "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var left atomic.Bool
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				p := reply{w: w, r: r, bodyLeft: true}
				if err := p.boundRead(time.Now().Add(limit)); err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				time.Sleep(3 * limit)
				left.Store(r.Context().Err() != nil)
			}))
			t.Cleanup(srv.Close)
			c := site{url: srv.URL}.dial(t)
			c.send(t, "POST / HTTP/1.1\r\nHost: h\r\n"+f)
			g.Expect(c.answer(t).StatusCode).To(Equal(http.StatusOK))
			g.Expect(left.Load()).To(BeFalse(), "its caller is still there")
		})
	}
}

// Guards against requests that the end of the process cuts before they are passed on.
func TestRequestsThatWaitAsTheProcessEndsAreRefused(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		configured bool
		waits      func(s site) bool
	}{
		"for the rest of a body": {true, func(s site) bool { return s.kept.n.Load() > 0 }},
		"for a configuration":    {false, func(s site) bool { return s.InFlight() > 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var runs atomic.Int32
			s, view, snap := newSiteOf(t, func(*fleet.Route) {}, counted(&runs))
			if tc.configured {
				view.Replace(snap, time.Now(), false)
			}
			c := s.dial(t)
			c.send(t, head("one", 10*int(patienceOf/time.Millisecond), "Content-Length: 20")+"{}")
			g.Eventually(func() bool { return tc.waits(s) }, patienceOf).Should(BeTrue())
			time.Sleep(20 * time.Millisecond) // So that it waits.
			s.Terminate()
			resp := c.answer(t)
			g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
			g.Expect(resp.Header.Get("Retry-After")).To(Equal("0.05"))
			g.Expect(resp.Close).To(BeTrue())
			c.expectEnd(t)
			g.Eventually(s.CallerConns().OpenConns, patienceOf).Should(BeZero())
			g.Expect(runs.Load()).To(BeZero())
		})
	}
}
