// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package callerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

const event = "id: 0\ndata: x\n\n"

// readHTTP10 sends an HTTP/1.0 request and reads until the connection ends; it calls onEvent once
// the event has arrived. It returns nil if the answer looks complete.
func readHTTP10(t *testing.T, address string, onEvent func()) (err error) {
	t.Helper()
	g := NewWithT(t)
	c, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	got := ""
	for buf := make([]byte, 1024); ; {
		n, err := c.Read(buf)
		got += string(buf[:n])
		if onEvent != nil && len(got) > len(event) && got[len(got)-len(event):] == event {
			onEvent()
			onEvent = nil
		}
		switch {
		case err == io.EOF:
			g.Expect(got).To(ContainSubstring(event))
			return nil
		case err != nil:
			g.Expect(got).To(ContainSubstring(event))
			return err
		}
	}
}

// serve answers with the event, and calls end once the caller has read the event.
func serve(t *testing.T, connContext func(context.Context, net.Conn) context.Context, end func(srv *httptest.Server, disarm func())) (err error) {
	t.Helper()
	eventRead := make(chan struct{})
	var srv *httptest.Server
	srv = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		disarm := Arm(r.Context())
		_, _ = io.WriteString(w, event)
		_ = http.NewResponseController(w).Flush()
		<-eventRead
		end(srv, disarm)
	}))
	srv.Config.ConnContext = connContext
	srv.Start()
	t.Cleanup(srv.Close)
	return readHTTP10(t, srv.Listener.Addr().String(), func() { close(eventRead) })
}

func TestEndsOfAnAnswerWithoutALength(t *testing.T) {
	abort := func(*httptest.Server, func()) { panic(http.ErrAbortHandler) }
	t.Run("whole", func(t *testing.T) {
		err := serve(t, WithConn, func(_ *httptest.Server, disarm func()) { disarm() })
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
	})
	t.Run("aborted answer", func(t *testing.T) {
		NewWithT(t).Expect(serve(t, WithConn, abort)).To(MatchError(syscall.ECONNRESET))
	})
	t.Run("handler returns without disarming", func(t *testing.T) {
		err := serve(t, WithConn, func(*httptest.Server, func()) {})
		NewWithT(t).Expect(err).To(MatchError(syscall.ECONNRESET))
	})
	t.Run("server is closed", func(t *testing.T) {
		err := serve(t, WithConn, func(srv *httptest.Server, _ func()) { _ = srv.Config.Close() })
		NewWithT(t).Expect(err).To(MatchError(syscall.ECONNRESET))
	})
	t.Run("aborted answer without WithConn looks complete", func(t *testing.T) {
		NewWithT(t).Expect(serve(t, nil, abort)).To(Succeed(), "this is the problem that the package solves")
	})
}
