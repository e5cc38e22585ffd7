// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package httphead_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/httphead"
)

// echo answers each request of a connection with its path. The head of every fifth answer is malformed, of those
// half without a body, so that the connection counts as idle before its head is checked.
func echo(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		var call int
		if _, err = fmt.Sscanf(r.URL.Path, "/%d", &call); err != nil {
			return
		}
		extra, body := "", r.URL.Path
		if call%5 == 0 {
			extra = "X A: v\r\n"
		}
		if call%10 == 0 {
			body = ""
		}
		if _, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", extra, len(body), body); err != nil {
			return
		}
	}
}

// The connection of a malformed head may be in use for the next call by the time it is closed. That call fails or
// is answered, and none gets the answer of another one.
func TestCallsBesideMalformedHeads(t *testing.T) {
	for _, procs := range []int{1, runtime.NumCPU()} {
		t.Run(fmt.Sprintf("%d processors", procs), func(t *testing.T) {
			g := NewWithT(t)
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(procs))
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			var srv errgroup.Group
			srv.Go(func() error {
				for {
					c, err := l.Accept()
					if err != nil {
						return nil // The test has ended.
					}
					srv.Go(func() error { echo(c); return nil })
				}
			})
			const callers, calls = 50, 40
			transport := &http.Transport{MaxIdleConnsPerHost: callers}
			client := httphead.NewClient(transport)
			var group errgroup.Group
			for i := range callers {
				group.Go(func() error {
					for j := range calls {
						call := i*calls + j
						path := fmt.Sprintf("/%d", call)
						resp, err := client.Post("http://"+l.Addr().String()+path, "text/plain", strings.NewReader("x"))
						if err != nil {
							continue
						}
						raw, err := io.ReadAll(resp.Body)
						_ = resp.Body.Close()
						if call%5 == 0 {
							return errors.Newf("the answer to %s was taken", path)
						}
						if err == nil && string(raw) != path {
							return errors.Newf("%s got %q", path, raw)
						}
					}
					return nil
				})
			}
			g.Expect(group.Wait()).To(Succeed())
			transport.CloseIdleConnections()
			g.Expect(l.Close()).To(Succeed())
			g.Expect(srv.Wait()).To(Succeed())
		})
	}
}
