// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// BenchmarkUsualAnswer measures one request and its answer on a kept connection.
func BenchmarkUsualAnswer(b *testing.B) {
	for _, size := range []int{800, 20_000, 400_000} {
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			g := NewWithT(b)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			answer := []byte(answerOf("one", strings.Repeat("x", size)))
			var srv errgroup.Group
			srv.Go(func() error {
				c, err := l.Accept()
				if err != nil {
					return err
				}
				defer func() { _ = c.Close() }()
				for br := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(br); err != nil {
						return nil // The benchmark has ended.
					}
					if _, err := c.Write(answer); err != nil {
						return err
					}
				}
			})
			p, cleanup := NewPool("", func() {})
			for b.Loop() {
				conn, err := p.Get(context.Background(), "e", l.Addr().String(), time.Minute)
				if err != nil {
					b.Fatal(err)
				}
				r := &Request{Method: http.MethodGet, Target: "/", Host: "h"}
				x, err := conn.Send(r, time.Now().Add(time.Minute))
				if err != nil {
					b.Fatal(err)
				}
				if _, err = x.Head(r, anyAnswer); err != nil {
					b.Fatal(err)
				}
				if _, err = x.ReadWhole(testBodyLimit, func(int) error { return nil }); err != nil {
					b.Fatal(err)
				}
				x.Done(p)
			}
			cleanup()
			g.Expect(l.Close()).To(Succeed())
			g.Expect(srv.Wait()).To(Succeed())
		})
	}
}
