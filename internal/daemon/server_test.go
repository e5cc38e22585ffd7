// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
)

// The server answers nothing by itself with success: a caller would take that for
// an endpoint's answer.
func TestTheServerGivesNoSuccessOfItsOwn(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = (&fleetProcess{}).httpServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTeapot) // The handler was asked.
	}))
	srv.Start()
	t.Cleanup(srv.Close)
	c, err := net.Dial("tcp4", srv.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "OPTIONS * HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	g.Expect(resp.StatusCode).To(Equal(http.StatusTeapot))
}
