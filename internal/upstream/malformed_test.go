// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/httphead"
	"github.com/canvaspulley/canvaspulley/internal/httphead/headtest"
)

// readRaw returns the body of a raw answer, whose sender then ends the connection. Answers with the field
// Foreign are skipped.
func readRaw(t *testing.T, raw string) (body string, err error) {
	x, r := exchangeWith(t, func(c net.Conn) {
		write(c, raw)
		_ = c.(*net.TCPConn).CloseWrite()
	})
	if _, err = x.Head(r, func(_ int, h http.Header) bool { return h.Get("Foreign") == "" }); err != nil {
		return "", err
	}
	b, err := readBody(x)
	return string(b), err
}

const foreign = "Foreign: 1\r\n"

func expectSoundHeads(t *testing.T) {
	for _, h := range headtest.Sound() {
		t.Run(h.Name, func(t *testing.T) {
			g := NewWithT(t)
			body, err := readRaw(t, headtest.Head{Framed: true}.Raw(foreign, "no")+h.Raw("", "ok"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("ok"))
		})
	}
}

func expectMalformed(t *testing.T, heads []headtest.Head) {
	for _, h := range heads {
		for _, skipped := range []bool{false, true} {
			name, raw := h.Name, h.Raw("", "ok")
			if skipped {
				name, raw = name+", skipped", h.Raw(foreign, "no")+headtest.Head{Framed: true}.Raw("", "ok")
			}
			t.Run(name, func(t *testing.T) {
				_, err := readRaw(t, raw)
				NewWithT(t).Expect(err).To(MatchError(httphead.ErrMalformed))
			})
		}
	}
}

// A field whose name has a blank was passed on, or not seen as the one that marks the end of the answer.
func TestNamesOfFieldsAreTokens(t *testing.T) {
	expectSoundHeads(t)
	expectMalformed(t, headtest.Names())
}

func TestStatusesThatAreNone(t *testing.T) {
	expectMalformed(t, headtest.Statuses())
}

func TestOtherVersions(t *testing.T) {
	expectMalformed(t, headtest.Versions())
}

// The framing of chunks was passed on as the body.
func TestChunksOfAnOldVersion(t *testing.T) {
	expectMalformed(t, headtest.OldChunks())
}

// What is wrong with a head is logged, and must not fill the log.
func TestErrorOfAMalformedHeadIsBounded(t *testing.T) {
	for name, line := range map[string]string{
		"long name":       strings.Repeat("x", 20_000) + " : v",
		"without a colon": strings.Repeat("x", 20_000),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := readRaw(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n")
			g.Expect(err).To(MatchError(ContainSubstring("xxx")))
			g.Expect(len(err.Error())).To(BeNumerically("<", 500))
		})
	}
}

// An answer whose endpoint stops in the middle of its head is none, wherever it stops.
func TestHeadThatIsCutIsNoAnswer(t *testing.T) {
	for _, length := range []string{"", "Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n"} {
		whole := "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n" + length + "\r\n"
		for n := range len(whole) {
			for _, end := range abruptEnds { // The whole request is read, so that a close is an orderly end.
				x, r := uploadTo(t, 1, func(c *net.TCPConn, upload io.Reader) {
					_, _ = io.Copy(io.Discard, upload)
					write(c, whole[:n])
					end.end(c)
				})
				_, err := x.Head(r, anyAnswer)
				NewWithT(t).Expect(err).To(HaveOccurred(), "cut after %q", whole[:n])
				NewWithT(t).Expect(err).NotTo(MatchError(httphead.ErrMalformed), "it is cut after %q", whole[:n])
			}
		}
	}
}
