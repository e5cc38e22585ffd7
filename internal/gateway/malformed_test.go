// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/httphead/headtest"
)

// rawAnswer answers with the bytes that are returned for fields of the answer's head, and waits until the
// gateway closes the connection.
func rawAnswer(raw func(fields string) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, raw(fmt.Sprintf("%s: %s\r\n", headerID, r.Header.Get(headerID)))) // The gateway may have closed it.
		_, _ = io.Copy(io.Discard, c)
	})
}

// An answer with a malformed head or trailer is a failure of its endpoint, which is logged with what is wrong,
// and counted.
func TestMalformedHeadIsLoggedAndCounted(t *testing.T) {
	for _, h := range headtest.Malformed() {
		if !h.Framed && !h.Chunks {
			continue // It has no end, so that its connection would have to be closed.
		}
		t.Run(h.Name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSiteWith(t, func(r *fleet.Route) { r.Kind = fleet.AtMostOnce }, rawAnswer(func(fields string) string { return h.Raw(fields, "{}") }))
			core, lines := observer.New(zap.InfoLevel)
			s.log = zap.New(core)
			s.expectStatus(g, http.StatusBadGateway)
			g.Expect(s.stats.malformedHeads.Count()).To(BeEquivalentTo(1))
			g.Eventually(func() int { return lines.FilterMessage("request").Len() }, testTimeout).Should(Equal(1))
			tries := fmt.Sprint(lines.FilterMessage("request").All()[0].ContextMap()["tries"])
			g.Expect(tries).To(ContainSubstring("malformed head"))
			g.Expect(len(tries)).To(BeNumerically("<", 500))
			for _, wrong := range []string{"X A", "XA ", "Content-Length ", "Transfer-Encoding "} {
				if strings.Contains(h.Raw("", ""), wrong) {
					g.Expect(tries).To(ContainSubstring(wrong))
				}
			}
		})
	}
}

func TestMalformedAnswersOfAGateway(t *testing.T) {
	follower := newTestPeer(t, 9)
	headtest.ExpectRejected(t, "{}", headtest.Malformed(), func(t *testing.T, address string) error {
		_, err := follower.fetch(t.Context(), address, "")
		return err
	})
}

// The end of the connection may be that of the other gateway's process.
func TestAnswerOfAGatewayThatEndsWithItsConnectionIsNotWhole(t *testing.T) {
	g := NewWithT(t)
	address, cleanup := headtest.Serve(t, "HTTP/1.1 200 OK\r\n\r\n{}")
	defer cleanup()
	_, err := newTestPeer(t, 9).fetch(t.Context(), address, "")
	g.Expect(err).To(MatchError(ContainSubstring("neither a length nor chunks")))
}
