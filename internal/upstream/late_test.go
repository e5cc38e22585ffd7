// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// Guards against closing a connection whose endpoint acknowledges, but does not read yet.
func TestAnEndpointMayReadALongBodyLate(t *testing.T) {
	t.Parallel()
	const size = 1 << 20 // More than an endpoint's socket buffers.
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	var serving errgroup.Group
	serving.Go(func() error {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		defer func() { _ = c.Close() }()
		time.Sleep(2 * unackedLimit)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return err
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return err
		}
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err
	})
	p, cleanup := NewPool("", func() {})
	defer cleanup()
	c, err := p.Get(context.Background(), "e", l.Addr().String(), 0)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	r := &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, size)}
	x, err := c.Send(r, time.Now().Add(time.Minute))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = x.Head(r, func(int, http.Header) bool { return true })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serving.Wait()).To(Succeed())
}
