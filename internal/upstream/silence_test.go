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

// exchangeWith sends a request to an endpoint that answers so, over one connection. The
// endpoint's side stays referenced to the end of the test: the collector closes one that
// is not, which resets it while the request lies unread.
func exchangeWith(t *testing.T, answer func(c net.Conn)) (x *Exchange, r *Request) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var srv errgroup.Group
	var far net.Conn // Written before srv.Wait returns.
	srv.Go(func() (err error) {
		if far, err = l.Accept(); err != nil {
			return err
		}
		answer(far)
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
		_ = far.Close() // Some answers close it themselves.
	})
	r = &Request{Method: http.MethodPost, Target: "/", Host: "h"}
	x, err = conn.Send(r, time.Now().Add(time.Minute))
	g.Expect(err).NotTo(HaveOccurred())
	return x, r
}

func anyAnswer(int, http.Header) bool { return true }

// write writes to a caller; one that has gone is the test's own doing.
func write(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

func TestASilentAnswerIsGivenUp(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer func(c net.Conn)
	}{
		{"before its head", func(net.Conn) {}},
		{"after its head", func(c net.Conn) { write(c, head) }},
		{"within its body", func(c net.Conn) { write(c, head+"1\r\na\r\n") }},
		{"within a chunk", func(c net.Conn) { write(c, head+"9\r\na") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			x, r := exchangeWith(t, tc.answer)
			x.Watch(SilenceWatch{Timeout: func() time.Duration { return 50 * time.Millisecond }, Abandon: func(time.Duration) bool { return true }})
			_, err := x.Head(r, anyAnswer)
			if err == nil {
				_, err = x.ReadWhole(1 << 10)
			}
			g.Expect(errors.Is(err, ErrSilent)).To(BeTrue(), "%v", err)
		})
	}
}

// An answer that is waited for in spite of its silence comes whole, and the end that came
// with its last bytes is not waited for.
func TestASilentAnswerThatIsWaitedForComesWhole(t *testing.T) {
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
	body, err := x.ReadWhole(1 << 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("ab"))
	g.Expect(times).To(Equal(1), "it is asked once")
}

// A reset that comes in a watched silence is still a reset: an answer without a length is
// not whole then.
func TestAResetInAWatchedSilenceIsTold(t *testing.T) {
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
	_, err = x.ReadWhole(1 << 10)
	g.Expect(err).To(HaveOccurred())
}
