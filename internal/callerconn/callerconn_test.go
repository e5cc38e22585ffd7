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

const piece = "id: 0\ndata: x\n\n"

// read10 sends a request in HTTP/1.0 and reads until the connection ends; it
// calls seen once the piece has come. Without an error the answer looks whole.
func read10(t *testing.T, address string, seen func()) (err error) {
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
		if seen != nil && len(got) > len(piece) && got[len(got)-len(piece):] == piece {
			seen()
			seen = nil
		}
		switch {
		case err == io.EOF:
			g.Expect(got).To(ContainSubstring(piece))
			return nil
		case err != nil:
			g.Expect(got).To(ContainSubstring(piece))
			return err
		}
	}
}

// serve answers with the piece and then ends as the function end does, once
// the caller has read the piece.
func serve(t *testing.T, hook func(context.Context, net.Conn) context.Context, end func(srv *httptest.Server, disarm func())) (err error) {
	t.Helper()
	seen := make(chan struct{})
	var srv *httptest.Server
	srv = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		disarm := Arm(r.Context())
		_, _ = io.WriteString(w, piece)
		_ = http.NewResponseController(w).Flush()
		<-seen
		end(srv, disarm)
	}))
	srv.Config.ConnContext = hook
	srv.Start()
	t.Cleanup(srv.Close)
	return read10(t, srv.Listener.Addr().String(), func() { close(seen) })
}

func TestEndsOfAnAnswerWithoutALength(t *testing.T) {
	abort := func(*httptest.Server, func()) { panic(http.ErrAbortHandler) }
	t.Run("whole", func(t *testing.T) {
		err := serve(t, WithConn, func(_ *httptest.Server, disarm func()) { disarm() })
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
	})
	t.Run("broken off", func(t *testing.T) {
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
	t.Run("broken off without the hook looks whole", func(t *testing.T) {
		NewWithT(t).Expect(serve(t, nil, abort)).To(Succeed(), "what the package is for")
	})
}
