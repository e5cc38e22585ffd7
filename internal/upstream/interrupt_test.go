// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// unreadBytes returns how many bytes have arrived on a connection and are not read yet.
func unreadBytes(c *Conn) (n int) {
	_ = withFD(c.nc, func(fd int) (err error) { // A closed connection has none.
		n, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
		return err
	})
	return n
}

// Guards against losing the events that an endpoint has sent when its answer is interrupted before
// they are read, and against reading later ones.
func TestAnInterruptedAnswerIsReadAsFarAsItHasArrived(t *testing.T) {
	const arrived, later = head + "1\r\na\r\n1\r\nb\r\n", "1\r\nc\r\n0\r\n\r\n"
	watch := SilenceWatch{Timeout: func() time.Duration { return time.Hour }, Abandon: func(time.Duration) bool { return true }}
	for name, prepare := range map[string]func(x *Exchange){"without a watch": func(*Exchange) {}, "with a watch": func(x *Exchange) { x.Watch(watch) }} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			interrupted := make(chan struct{})
			x, r := exchangeWith(t, func(c net.Conn) {
				write(c, arrived)
				<-interrupted
				write(c, later)
			})
			prepare(x)
			g.Eventually(func() int { return unreadBytes(x.conn) }, "20s").Should(Equal(len(arrived)))
			x.conn.Interrupt()
			close(interrupted)
			g.Eventually(func() int { return unreadBytes(x.conn) }, "20s").Should(Equal(len(arrived) + len(later)))
			_, err := x.Head(r, anyAnswer)
			g.Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(x.resp.Body)
			g.Expect(string(body)).To(Equal("ab"))
			g.Expect(errors.Is(err, errInterrupted)).To(BeTrue(), "%v", err)
		})
	}
}

// Guards against a read that goes on for its request's whole time after its answer is interrupted, at
// whatever moment that comes.
func TestInterruptEndsAReadInProgress(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond} {
		g := NewWithT(t)
		x, r := exchangeWith(t, func(net.Conn) {})
		x.Watch(SilenceWatch{Timeout: func() time.Duration { return time.Hour / 2 }, Abandon: func(time.Duration) bool { return false }})
		time.AfterFunc(pause, x.conn.Interrupt)
		_, err := x.Head(r, anyAnswer)
		g.Expect(errors.Is(err, errInterrupted)).To(BeTrue(), "%v", err)
	}
}

// Guards against an interrupted connection that serves another request, and against a request that
// is sent on one.
func TestAnInterruptedConnectionIsNotUsedAgain(t *testing.T) {
	g := NewWithT(t)
	p, get := newTestPool(t)
	c := get(0)
	c.Interrupt()
	x, err := c.Send(&Request{Method: "GET", Target: "/", Host: "h"}, time.Now().Add(time.Minute))
	g.Expect(errors.Is(err, errInterrupted)).To(BeTrue(), "%v", err)
	g.Expect(x.Progress()).To(Equal(Unsent))
	p.Put(c)
	g.Expect(get(time.Hour) == c).To(BeFalse())
}
