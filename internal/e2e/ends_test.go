// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/example"
	"github.com/canvaspulley/canvaspulley/internal/standin"
)

// rawStream reads a stream like a caller that interprets only the HTTP framing.
type rawStream struct {
	resp *http.Response
	body strings.Builder
	err  error // Error at the end of the body; nil when the body looks complete.
}

// startRawStream starts a stream over the given protocol version.
func (s *site) startRawStream(entry example.Process, proto string, tokens int) *rawStream {
	GinkgoHelper()
	c, err := net.Dial("tcp", entry.CallerAddress)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	Expect(c.SetDeadline(time.Now().Add(2 * waitTimeout))).To(Succeed())
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"raw"}]}`, s.Model, tokens)
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions %s\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		proto, s.Customers[0].Key, len(body), body)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	return &rawStream{resp: resp}
}

// readUntil reads the body until it contains the text; it returns false at the end of the body.
func (r *rawStream) readUntil(text string) bool {
	for buf := make([]byte, 1024); !strings.Contains(r.body.String(), text); {
		n, err := r.resp.Body.Read(buf)
		r.body.Write(buf[:n])
		if err != nil {
			if err != io.EOF {
				r.err = err
			}
			return false
		}
	}
	return true
}

// setEnginesDown stops all engines, or starts them again.
func (s *site) setEnginesDown(down bool) {
	GinkgoHelper()
	for _, a := range s.Agents {
		if s.IsRank(a) {
			s.fault(standin.Fault{Kind: standin.FaultKill, Target: a.BackendAddress, On: down})
		}
	}
}

// neverSent is a text that no body contains: reading until it reads the whole body.
const neverSent = "\x00"

var _ = Describe("how streams end", func() {
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		Context("in "+proto, func() {
			It("ends a complete stream in order, and truncates one that is abandoned or whose entry ends", func() {
				s := startSite(example.Archive, twoOfEach)

				By("whole")
				o := s.startRawStream(s.Entries[0], proto, 20)
				o.readUntil(neverSent)
				Expect(o.err).NotTo(HaveOccurred())
				Expect(strings.Count(o.body.String(), "id: ")).To(Equal(20))
				Expect(o.body.String()).To(HaveSuffix("data: [DONE]\n\n"))

				By("the entry ends at a second signal")
				o = s.startRawStream(s.Entries[0], proto, 2000)
				Expect(o.readUntil("/20\n")).To(BeTrue())
				s.signal(s.Entries[0].Name, syscall.SIGTERM)
				Eventually(func() int { return s.readiness(s.Entries[0]) }, waitTimeout, "5ms").Should(Equal(http.StatusServiceUnavailable))
				s.signal(s.Entries[0].Name, syscall.SIGINT)
				o.readUntil(neverSent)
				Expect(o.err).To(HaveOccurred(), "a truncated answer must not look complete")

				By("no endpoint is left")
				o = s.startRawStream(s.Entries[1], proto, 2000)
				Expect(o.readUntil("/20\n")).To(BeTrue())
				s.setEnginesDown(true)
				o.readUntil(neverSent)
				Expect(o.err).To(HaveOccurred(), "a truncated answer must not look complete")
				Expect(o.body.String()).To(ContainSubstring("event: outcome\ndata: {\"outcome\":\"unknown\""))
				Expect(o.body.String()).NotTo(ContainSubstring("[DONE]"))
				s.setEnginesDown(false)

				By("the entry is killed")
				Eventually(func() (int, error) {
					r, err := s.chat(s.Entries[1], "x", 1)
					return r.status, err
				}, waitTimeout).Should(Equal(http.StatusOK))
				o = s.startRawStream(s.Entries[1], proto, 2000)
				Expect(o.readUntil("/20\n")).To(BeTrue())
				s.kill(s.Entries[1].Name)
				o.readUntil(neverSent)
				Expect(o.err).To(HaveOccurred(), "a truncated answer must not look complete")
			})
		})
	}

	It("continues a stream at another agent when its agent ends at a second signal", func() {
		s, o := startWithStream(example.Archive, twoOfEach, "ended agent", 400, 20)
		first := s.agentOf(o.rank)
		s.signal(first.Name, syscall.SIGTERM)
		Eventually(func() int { return s.readiness(first) }, waitTimeout, "1ms").Should(Equal(http.StatusServiceUnavailable))
		s.signal(first.Name, syscall.SIGINT)
		o.expectComplete("ended agent", 400)
		Expect(o.rank).NotTo(Equal(first.Endpoint))
	})
})
