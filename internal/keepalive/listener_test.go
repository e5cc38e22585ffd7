// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package keepalive

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Guards against requests that are reset since a busy process accepts too late.
func TestConnectionsThatWereMadeAreAcceptedHoweverLate(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	tr := New(roomy(), zap.NewNop(), metrics.NewRegistry())
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get(headerID)) // Whoever breaks off gets no answer.
	})}
	tr.Attach(srv)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	last := tr.Listener(l)
	s := &site{Tracker: tr, addr: l.Addr().String()}
	var list []*caller
	for range many / 4 {
		c := s.dial(t, "late")
		g.Expect(c.send(text(c.next()))).To(Succeed())
		list = append(list, c)
	}
	g.Expect(tr.CloseListeners(time.Now().Add(-enough))).To(Succeed())
	var serving errgroup.Group
	serving.Go(func() error { return srv.Serve(last) })
	each(t, list, func(_ int, c *caller) error {
		_, err := c.read(c.last())
		return err
	})
	g.Expect(serving.Wait()).To(MatchError(net.ErrClosed))
	g.Expect(srv.Close()).To(Succeed())
	g.Eventually(tr.Drained, enough).Should(BeTrue(), "no listener is left either")
}
