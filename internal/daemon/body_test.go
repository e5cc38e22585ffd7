// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
)

// Guards against callers whose bodies never end, and who thereby hold connections and planned stops
// forever.
func TestSlowBodiesAreRefusedInTime(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newTestProcess(t, adapter.RoleEntry, false)
	d, ended := s.run(t, func(d *Daemon) {
		for _, one := range d.listeners {
			one.bodyTimeout = 300 * time.Millisecond
		}
	})
	const part = "{"
	for _, tc := range []struct {
		name, path, key, framing string
		status                   int
	}{
		{"with a length", "/v1/chat/completions", s.layout.Customers[0].Key, "Content-Length: 1000", http.StatusRequestTimeout},
		{"in chunks", "/v1/chat/completions", s.layout.Customers[0].Key, "Transfer-Encoding: chunked", http.StatusRequestTimeout},
		{"of a call", s.layout.Path + "x", s.layout.Customers[0].Key, "Content-Length: 1000", http.StatusRequestTimeout},
		{"of an unknown caller", "/v1/keys", "none", "Content-Length: 1000", http.StatusUnauthorized},
		{"of an unknown caller, in chunks", "/v1/keys", "none", "Transfer-Encoding: chunked", http.StatusUnauthorized},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			f := s.callers(d)
			f.request = func(string) string {
				return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n%s", tc.path, tc.key, tc.framing, part)
			}
			k := f.dial(t, "k")
			g.Expect(k.roundTrip("a")).To(Equal(tc.status))
			g.Expect(k.toldToClose).To(BeTrue(), "the rest of the body is not read as a request")
			_, err := k.br.ReadByte()
			g.Expect(err).To(MatchError(io.EOF))
		})
	}
	d.Node().Leave("test")
	g.Expect(ended()).To(Succeed())
}

// Guards against answers that are cut off by the body timeout although the body arrived in time.
func TestTheBodyTimeoutLimitsNothingElse(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const most = 100 * time.Millisecond
	h := limitBodyTime(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusTeapot)
		case <-time.After(3 * most):
		}
	}), most)
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	k := (&target{address: srv.Listener.Addr().String()}).dial(t, "k")
	for _, body := range []string{"Content-Length: 2\r\n\r\n{}", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", "Content-Length: 0\r\n\r\n"} {
		k.target.request = func(string) string { return "POST / HTTP/1.1\r\nHost: h\r\n" + body }
		g.Expect(k.roundTrip("a")).To(Equal(http.StatusOK))
		g.Expect(k.toldToClose).To(BeFalse())
		time.Sleep(2 * most)
	}
}
