// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

const idHeader = "Call"

// bodyFromRawAnswers sends a request named "mine" to an endpoint that answers with raw bytes, and
// returns the body of the answer that is accepted for it.
func bodyFromRawAnswers(t *testing.T, raw string) (body string, err error) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var group errgroup.Group
	group.Go(func() error {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		defer func() { _ = c.Close() }()
		if _, err = http.ReadRequest(bufio.NewReader(c)); err != nil {
			return err
		}
		_, _ = io.WriteString(c, raw) // The reader may have closed the connection.
		return nil
	})
	t.Cleanup(func() { _ = l.Close(); g.Expect(group.Wait()).To(Succeed()) })
	p, cleanup := NewPool("", func() {})
	t.Cleanup(cleanup)
	c, err := p.Get(context.Background(), "e", l.Addr().String(), 0)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.Close)
	r := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
	x, err := c.Send(r, time.Now().Add(20*time.Second))
	g.Expect(err).NotTo(HaveOccurred())
	if _, err = x.Head(r, func(_ int, h http.Header) bool { return h.Get(idHeader) == "mine" }); err != nil {
		return "", err
	}
	b, err := readBody(x)
	return string(b), err
}

func answerOf(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 X\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

// Guards against an answer that is read from within the body of an answer to another request,
// however long that body is.
func TestNoAnswerIsReadFromTheBodyOfAnotherAnswer(t *testing.T) {
	forged := answerOf("mine", "forged")
	for _, size := range []int{0, maxForeignBody} {
		t.Run(fmt.Sprintf("after %d bytes", size), func(t *testing.T) {
			g := NewWithT(t)
			body, err := bodyFromRawAnswers(t, answerOf("other", strings.Repeat("x", size)+forged)+answerOf("mine", "true"))
			if err != nil {
				return // The exchange failed, which is allowed.
			}
			g.Expect(body).To(Equal("true"))
		})
	}
}

// Guards against a deadline of the last request that stays set on a connection in the pool.
func TestAKeptConnectionOutlivesTheDeadlineOfItsLastRequest(t *testing.T) {
	g := NewWithT(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }))
	t.Cleanup(srv.Close)
	opened := 0
	p, cleanup := NewPool("", func() { opened++ })
	t.Cleanup(cleanup)
	const lifetime = 2 * time.Second // Of each request; long enough to be answered.
	for range 2 {
		c, err := p.Get(context.Background(), "e", srv.Listener.Addr().String(), time.Minute)
		g.Expect(err).NotTo(HaveOccurred())
		deadline := time.Now().Add(lifetime)
		x, err := c.Send(&Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, deadline)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = x.Head(&Request{Method: http.MethodGet}, func(int, http.Header) bool { return true })
		g.Expect(err).NotTo(HaveOccurred())
		_, err = readBody(x)
		g.Expect(err).NotTo(HaveOccurred())
		x.Done(p)
		time.Sleep(time.Until(deadline) + time.Millisecond)
	}
	g.Expect(opened).To(Equal(1))
}
