// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package endlesstest tests that readers of other processes' answers abandon answers without end.
package endlesstest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/httpjson"
)

// beginnings are the beginnings of answers that then go on without end.
var beginnings = []struct {
	name   string
	text   string
	inHead bool // It goes on in the head.
}{
	{"status line", "HTTP/1.1 200 ", true},
	{"header", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nA: ", true},
	{"body", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n[\"", false},
	{"error", "HTTP/1.1 500 Failed\r\n\r\n", false},
}

// ExpectAbandoned has call make a call to a server at address whose answer has no end, once for each place of an
// answer. The call must return an error, which names httpjson.MaxHeadBytes for a head, and the connection
// must end before the server has written limit bytes more than the sockets' buffers hold.
func ExpectAbandoned(t *testing.T, limit int64, call func(t *testing.T, address string) error) {
	const maxSocketBytes = 16 << 20 // More than the buffers of both sides.
	for _, tc := range beginnings {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var written, conns atomic.Int64
			var srv errgroup.Group
			srv.Go(func() error {
				for {
					c, err := l.Accept()
					if err != nil {
						return nil // The test has ended.
					}
					conns.Add(1)
					srv.Go(func() error { written.Add(answer(c, tc.text)); return nil })
				}
			})
			err = call(t, l.Addr().String())
			g.Expect(err).To(gomega.HaveOccurred())
			if tc.inHead {
				g.Expect(err.Error()).To(gomega.ContainSubstring(strconv.Itoa(httpjson.MaxHeadBytes)))
			}
			g.Expect(l.Close()).To(gomega.Succeed())
			g.Expect(srv.Wait()).To(gomega.Succeed())
			g.Expect(conns.Load()).To(gomega.BeNumerically(">", 0), "the server was called")
			g.Expect(written.Load()).To(gomega.BeNumerically("<=", conns.Load()*(limit+maxSocketBytes)))
		})
	}
}

// answer reads a request and answers it until the connection ends. It returns how many bytes it wrote.
func answer(c net.Conn, begin string) (written int64) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return 0
	}
	text := begin + strings.Repeat("x", 4<<10)
	for {
		n, err := io.WriteString(c, text)
		if written += int64(n); err != nil {
			return written
		}
		text = strings.Repeat("x", 4<<10)
	}
}
