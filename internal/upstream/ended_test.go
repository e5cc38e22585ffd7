// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// longUpload is more than the buffers of two sockets hold, so that it is still being written when an early
// answer arrives.
const longUpload = 8 << 20

// uploadTo sends an upload to an endpoint that reads the head of the request and then calls answer. The
// connection is closed at the end of the test.
func uploadTo(t *testing.T, size int, answer func(c *net.TCPConn, upload io.Reader)) (x *Exchange, r *Request) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var srv errgroup.Group
	srv.Go(func() error {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		defer func() { _ = c.Close() }() // Most answers have closed it.
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return err
		}
		answer(c.(*net.TCPConn), req.Body)
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
	})
	r = &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, size)}
	x, err = conn.Send(r, time.Now().Add(time.Minute))
	g.Expect(err).NotTo(HaveOccurred())
	return x, r
}

// awaitWriteEnd waits until the writer of a large request has finished, so that it has taken the error of a
// reset from the socket, and lets Done find its result.
func awaitWriteEnd(x *Exchange) {
	x.writeResult <- <-x.writeResult
}

// abruptEnds are ways of ending a connection that reset it unless the request was read to its end.
var abruptEnds = []struct {
	name string
	end  func(c *net.TCPConn)
}{
	{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }},
	{"closed with bytes unread", func(c *net.TCPConn) { _ = c.Close() }},
}

// An answer without a length was taken as whole although its connection was reset: the writer of the
// request had taken the socket's error, and the reader got a clean end.
func TestAnswerWithoutALengthThatIsResetIsNotWhole(t *testing.T) {
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, sent := range []int{0, 3000} {
			for _, end := range abruptEnds {
				t.Run(fmt.Sprintf("%s, %d bytes, %s", proto, sent, end.name), func(t *testing.T) {
					g := NewWithT(t)
					x, r := uploadTo(t, longUpload, func(c *net.TCPConn, _ io.Reader) {
						write(c, proto+" 200 OK\r\n\r\n"+strings.Repeat("x", sent))
						end.end(c)
					})
					awaitWriteEnd(x)
					_, err := x.Head(r, anyAnswer)
					if err != nil {
						return // The kernel may discard what has arrived.
					}
					_, err = readBody(x)
					g.Expect(err).To(MatchError(unix.ECONNRESET))
				})
			}
		}
	}
}

// An answer whose request was not written to its end can be whole.
func TestEarlyAnswerWithoutALengthIsWhole(t *testing.T) {
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, pause := range []time.Duration{0, 100 * time.Millisecond, 600 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, the rest is read after %v", proto, pause), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				x, r := uploadTo(t, longUpload, func(c *net.TCPConn, upload io.Reader) {
					write(c, proto+" 200 OK\r\n\r\nwhole")
					_ = c.CloseWrite()
					time.Sleep(pause)
					_, _ = io.Copy(io.Discard, upload) // The pool closes the connection after a while.
				})
				_, err := x.Head(r, anyAnswer)
				g.Expect(err).NotTo(HaveOccurred())
				body, err := readBody(x)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(body)).To(Equal("whole"))
			})
		}
	}
}

// An answer with a length is whole once it has arrived, whatever happens to its connection afterwards.
func TestEarlyAnswerWithALengthIsWhole(t *testing.T) {
	for _, end := range append(abruptEnds, struct {
		name string
		end  func(c *net.TCPConn)
	}{"never read on", func(*net.TCPConn) {}}) {
		t.Run(end.name, func(t *testing.T) {
			g := NewWithT(t)
			headRead, ended := make(chan struct{}), make(chan struct{})
			x, r := uploadTo(t, longUpload, func(c *net.TCPConn, _ io.Reader) {
				write(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
				<-headRead // A reset may discard what has not been read.
				end.end(c)
				close(ended)
			})
			_, err := x.Head(r, anyAnswer)
			g.Expect(err).NotTo(HaveOccurred())
			close(headRead)
			<-ended
			body, err := readBody(x)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(Equal("whole"))
		})
	}
}

// The rest of an upload that its endpoint reads after its answer is that upload's, not a later request's.
func TestLaterRequestsDoNotContinueAnEarlierUpload(t *testing.T) {
	for _, size := range []int{100, largeRequestSize + 1, 300 << 10, longUpload} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			var srv errgroup.Group
			serve := func(c net.Conn) error {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return nil // The connection has ended.
					}
					write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					time.Sleep(20 * time.Millisecond) // The next request is sent meanwhile.
					body, _ := io.ReadAll(r.Body)     // The connection may have ended.
					if rest := strings.Trim(string(body), r.Header.Get("Mark")); rest != "" {
						return fmt.Errorf("%.20q in the upload of %s", rest, r.Header.Get("Mark"))
					}
				}
			}
			srv.Go(func() error {
				for {
					c, err := l.Accept()
					if err != nil {
						return nil // The test has ended.
					}
					srv.Go(func() error { return serve(c) })
				}
			})
			p, cleanup := NewPool("", func() {})
			for _, mark := range []string{"a", "b", "c", "d"} {
				conn, err := p.Get(t.Context(), "e", l.Addr().String(), time.Minute)
				g.Expect(err).NotTo(HaveOccurred())
				r := &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Mark": {mark}}, Body: bytes.Repeat([]byte(mark), size)}
				x, err := conn.Send(r, time.Now().Add(time.Minute))
				g.Expect(err).NotTo(HaveOccurred())
				_, err = x.Head(r, anyAnswer)
				g.Expect(err).NotTo(HaveOccurred())
				body, err := readBody(x)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(body)).To(Equal("ok"))
				x.Done(p)
			}
			cleanup()
			g.Expect(l.Close()).To(Succeed())
			g.Expect(srv.Wait()).To(Succeed())
		})
	}
}
