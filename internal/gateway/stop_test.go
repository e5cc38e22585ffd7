// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// Guards against callers that keep a connection by a head that went out after the stop began.
func TestAStreamThatBeginsInAPlannedStopTellsItsCallerToLeave(t *testing.T) {
	g := NewWithT(t)
	only := newStreamer(1)
	s := newSite(t, only)
	s.tell(0, 0, 1)
	srv := httptest.NewUnstartedServer(s.Handler())
	s.Callers().Attach(srv.Config)
	srv.Listener = s.Callers().Listener(srv.Listener)
	srv.Start()
	t.Cleanup(srv.Close)
	var caller errgroup.Group
	caller.Go(func() error {
		r, err := http.NewRequest(http.MethodPost, srv.URL+"/", http.NoBody)
		if err != nil {
			return err
		}
		r.Host = "caller.test"
		r.Header.Set(headerID, "one")
		resp, err := srv.Client().Do(r)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		g.Expect(string(body)).To(Equal(wholeStream()))
		g.Expect(resp.Close).To(BeTrue())
		g.Expect(resp.Header).NotTo(HaveKey("Keep-Alive"))
		return err
	})
	g.Eventually(only.halted, patienceOf).Should(Receive())
	s.Stop()
	close(only.going)
	g.Expect(caller.Wait()).To(Succeed())
}
