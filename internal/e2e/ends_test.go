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

// rawStream reads a stream as a caller does who knows only the framing.
type rawStream struct {
	resp *http.Response
	body strings.Builder
	err  error // How the body ended; nil when it looks complete.
}

// openRaw starts a stream with the protocol version given.
func (s *site) openRaw(entry example.Process, proto string, tokens int) *rawStream {
	GinkgoHelper()
	c, err := net.Dial("tcp", entry.CallerAddress)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	Expect(c.SetDeadline(time.Now().Add(2 * patience))).To(Succeed())
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"raw"}]}`, s.Model, tokens)
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions %s\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		proto, s.Customers[0].Key, len(body), body)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	return &rawStream{resp: resp}
}

// read takes in the body until it holds the text; it reports false at its end.
func (r *rawStream) read(text string) bool {
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

// killEngines ends all engines, or starts them again.
func (s *site) killEngines(on bool) {
	GinkgoHelper()
	for _, a := range s.Agents {
		if s.IsRank(a) {
			s.fault(standin.Fault{Kind: standin.FaultKill, Target: a.BackendAddress, On: on})
		}
	}
}

// noText is in no body, so that reading goes on to the end.
const noText = "\x00"

var _ = Describe("how streams end", func() {
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		Context("in "+proto, func() {
			It("ends a whole one whole, and breaks off those it gives up or is ended with", func() {
				s := startSite(example.Archive, pair)

				By("whole")
				o := s.openRaw(s.Entries[0], proto, 20)
				o.read(noText)
				Expect(o.err).NotTo(HaveOccurred())
				Expect(strings.Count(o.body.String(), "id: ")).To(Equal(20))
				Expect(o.body.String()).To(HaveSuffix("data: [DONE]\n\n"))

				By("its entry ends at a second signal")
				o = s.openRaw(s.Entries[0], proto, 2000)
				Expect(o.read("/20\n")).To(BeTrue())
				s.signal(s.Entries[0].Name, syscall.SIGTERM)
				Eventually(func() int { return s.readiness(s.Entries[0]) }, patience, "5ms").Should(Equal(http.StatusServiceUnavailable))
				s.signal(s.Entries[0].Name, syscall.SIGINT)
				o.read(noText)
				Expect(o.err).To(HaveOccurred(), "a short answer must not look whole")

				By("no endpoint is left")
				o = s.openRaw(s.Entries[1], proto, 2000)
				Expect(o.read("/20\n")).To(BeTrue())
				s.killEngines(true)
				o.read(noText)
				Expect(o.err).To(HaveOccurred(), "a short answer must not look whole")
				Expect(o.body.String()).To(ContainSubstring("event: outcome\ndata: {\"outcome\":\"unknown\""))
				Expect(o.body.String()).NotTo(ContainSubstring("[DONE]"))
				s.killEngines(false)

				By("its entry is killed")
				Eventually(func() (int, error) {
					r, err := s.chat(s.Entries[1], "x", 1)
					return r.status, err
				}, patience).Should(Equal(http.StatusOK))
				o = s.openRaw(s.Entries[1], proto, 2000)
				Expect(o.read("/20\n")).To(BeTrue())
				s.kill(s.Entries[1].Name)
				o.read(noText)
				Expect(o.err).To(HaveOccurred(), "a short answer must not look whole")
			})
		})
	}

	It("goes on elsewhere with a stream whose agent ends at a second signal", func() {
		s, o := begin(example.Archive, pair, "ended agent", 400, 20)
		first := s.agentOf(o.rank)
		s.signal(first.Name, syscall.SIGTERM)
		Eventually(func() int { return s.readiness(first) }, patience, "1ms").Should(Equal(http.StatusServiceUnavailable))
		s.signal(first.Name, syscall.SIGINT)
		o.expectWhole("ended agent", 400)
		Expect(o.rank).NotTo(Equal(first.Endpoint))
	})
})
