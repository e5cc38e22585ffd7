// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// exchangeWith sends a request over a new connection to an endpoint that runs the function answer.
// The endpoint's side stays referenced to the end of the test: the garbage collector closes an
// unreferenced connection, which resets it while the request is unread.
func exchangeWith(t *testing.T, answer func(c net.Conn)) (x *Exchange, r *Request) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var srv errgroup.Group
	var serverConn net.Conn // Written before srv.Wait returns.
	srv.Go(func() (err error) {
		if serverConn, err = l.Accept(); err != nil {
			return err
		}
		answer(serverConn)
		return nil
	})
	p, cleanup := NewPool("", func() {})
	conn, err := p.Get(context.Background(), "e", l.Addr().String(), 0)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		conn.Close()
		cleanup()
		g.Expect(l.Close()).To(Succeed())
		g.Expect(srv.Wait()).To(Succeed())
		_ = serverConn.Close() // Some answer functions have closed it already.
	})
	r = &Request{Method: http.MethodPost, Target: "/", Host: "h"}
	x, err = conn.Send(r, time.Now().Add(time.Minute))
	g.Expect(err).NotTo(HaveOccurred())
	return x, r
}

func anyAnswer(int, http.Header) bool { return true }

// write writes to a caller; it fails only if the test has closed the caller's side.
func write(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

func TestASilentAnswerIsAbandoned(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer func(c net.Conn)
	}{
		{"before its head", func(net.Conn) {}},
		{"within its first line", func(c net.Conn) { write(c, "HTTP/1.1 200") }},
		{"within its head", func(c net.Conn) { write(c, "HTTP/1.1 200 OK\r\nA: b\r\n") }},
		{"after its head", func(c net.Conn) { write(c, head) }},
		{"within its body", func(c net.Conn) { write(c, head+"1\r\na\r\n") }},
		{"within a chunk", func(c net.Conn) { write(c, head+"9\r\na") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			x, r := exchangeWith(t, tc.answer)
			abandoned := 0
			x.Watch(SilenceWatch{Timeout: func() time.Duration { return 50 * time.Millisecond }, Abandon: func(time.Duration) bool { abandoned++; return true }})
			_, err := x.Head(r, anyAnswer)
			if err == nil {
				_, err = readBody(x)
			}
			g.Expect(errors.Is(err, ErrSilent)).To(BeTrue(), "%v", err)
			g.Expect(abandoned).To(Equal(1), "it is waited for once")
		})
	}
}

// Guards against an answer that is cut off after a silence in which it was not abandoned, and
// against waiting for its end when that arrived with its last bytes.
func TestASilentAnswerThatIsNotAbandonedIsReadCompletely(t *testing.T) {
	g := NewWithT(t)
	asked := make(chan struct{}, 1)
	x, r := exchangeWith(t, func(c net.Conn) {
		<-asked
		write(c, head+"1\r\na\r\n")
		write(c, "1\r\nb\r\n0\r\n\r\n")
	})
	times := 0
	x.Watch(SilenceWatch{Timeout: func() time.Duration { return 20 * time.Millisecond }, Abandon: func(time.Duration) bool {
		times++
		asked <- struct{}{}
		return false
	}})
	_, err := x.Head(r, anyAnswer)
	g.Expect(err).NotTo(HaveOccurred())
	body, err := readBody(x)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("ab"))
	g.Expect(times).To(Equal(1), "Abandon is called once")
}

// Guards against a reset during a watched silence that is taken for an orderly end: an answer
// without a length would look complete.
func TestAResetDuringAWatchedSilenceIsReported(t *testing.T) {
	g := NewWithT(t)
	x, r := exchangeWith(t, func(c net.Conn) {
		write(c, "HTTP/1.1 200 OK\r\n\r\na")
		time.Sleep(60 * time.Millisecond)
		g.Expect(c.(*net.TCPConn).SetLinger(0)).To(Succeed())
		g.Expect(c.Close()).To(Succeed())
	})
	x.Watch(SilenceWatch{Timeout: func() time.Duration { return 20 * time.Millisecond }, Abandon: func(time.Duration) bool { return false }})
	_, err := x.Head(r, anyAnswer)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = readBody(x)
	g.Expect(err).To(HaveOccurred())
}

// Guards against abandoning an answer that arrived in time, but was not read because this process did
// not get to run.
func TestAnAnswerThatArrivedIsNotSilent(t *testing.T) {
	for name, answer := range map[string]string{"bytes": head + "1\r\na\r\n0\r\n\r\n", "bytes and the end": "HTTP/1.1 200 OK\r\n\r\na"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			x, r := exchangeWith(t, func(c net.Conn) {
				write(c, answer)
				g.Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
			})
			g.Eventually(func() bool { return isReadable(x.conn.nc) }, "20s").Should(BeTrue())
			x.Watch(SilenceWatch{
				Timeout: func() time.Duration { return -time.Second }, // It is over before the answer is read.
				Abandon: func(time.Duration) bool { return true },
			})
			_, err := x.Head(r, anyAnswer)
			g.Expect(err).NotTo(HaveOccurred())
			body, err := readBody(x)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(Equal("a"))
		})
	}
}
