// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package upstream

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

const testBodyLimit = 1 << 20

// readBody reads a body of at most testBodyLimit bytes.
func readBody(x *Exchange) (body []byte, err error) {
	pieces, err := x.ReadWhole(testBodyLimit, func(int) error { return nil })
	if err != nil {
		return nil, err
	}
	return bytes.Join(pieces, nil), nil
}

// repeat writes a text until the other side closes the connection, and returns the bytes written.
func repeat(c net.Conn, text func(n int) string) (written int) {
	for n := 0; ; n++ {
		k, err := c.Write([]byte(text(n)))
		if written += k; err != nil {
			return written
		}
	}
}

func constant(text string) func(int) string { return func(int) string { return text } }

// maxBuffered is more than two sockets buffer of what is sent without being read.
const maxBuffered = 16 << 20

// A head without end took gigabytes of memory until the request's deadline.
func TestHeadWithoutEndIsAbandoned(t *testing.T) {
	for _, tc := range []struct {
		name   string
		prefix string
		text   func(n int) string
	}{
		{"status line", "HTTP/1.1 200 ", constant(strings.Repeat("x", 1<<10))},
		{"one header", "HTTP/1.1 200 OK\r\nA: ", constant(strings.Repeat("x", 1<<10))},
		{"many headers", "HTTP/1.1 200 OK\r\n", func(n int) string { return fmt.Sprintf("a%d: 1\r\n", n) }},
		{"empty headers", "HTTP/1.1 200 OK\r\n", constant("a:\r\n")},
		{"interim answers", "", constant("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n")},
		{"a long interim answer", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA:", constant(strings.Repeat("x", 1<<10))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			written := make(chan int, 1)
			x, r := exchangeWith(t, func(c net.Conn) {
				write(c, tc.prefix)
				written <- repeat(c, tc.text)
			})
			_, err := x.Head(r, anyAnswer)
			g.Expect(err).To(HaveOccurred())
			if tc.name != "interim answers" { // Their number is limited.
				g.Expect(errors.Is(err, ErrTooLong)).To(BeTrue(), "%v", err)
			}
			g.Expect(x.HeadBytes()).To(BeNumerically("<=", maxHeadBytes+readBufferSize))
			x.Abort()
			g.Expect(<-written).To(BeNumerically("<", maxBuffered))
		})
	}
}

func TestLongHeadsAreReadUpToTheLimit(t *testing.T) {
	for _, tc := range []struct {
		name  string
		lines int
		value int // Bytes of each value.
		ok    bool
	}{
		{"usual", 12, 40, true},
		{"one long value", 1, maxHeadBytes - 100, true},
		{"as many lines as allowed", maxHeadLines - 1, 4, true},
		{"too many lines", maxHeadLines + 1, 4, false},
		{"too many bytes", 1, maxHeadBytes + readBufferSize, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			var text strings.Builder
			for n := range tc.lines {
				fmt.Fprintf(&text, "a%d: %s\r\n", n, strings.Repeat("x", tc.value))
			}
			x, r := exchangeWith(t, func(c net.Conn) {
				write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+text.String()+"\r\nok")
			})
			_, err := x.Head(r, anyAnswer)
			g.Expect(errors.Is(err, ErrTooLong)).To(Equal(!tc.ok), "%v", err)
			if tc.ok {
				body, err := readBody(x)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(body)).To(Equal("ok"))
			}
		})
	}
}

// The memory of a body is reserved before it is allocated, and stays close to what has arrived.
func TestMemoryOfABodyIsReserved(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 60_000)
	for _, tc := range []struct {
		name, head, body string
		want             int // Length of the body; -1 for ErrTooLong.
		most             int // Bytes reserved at most.
	}{
		{"empty", "Content-Length: 0\r\n", "", 0, 0},
		{"short, with a length", "Content-Length: 5\r\n", "hello", 5, 5},
		{"short, in chunks", "Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n", 5, minPieceBytes},
		{"long, with a length", fmt.Sprintf("Content-Length: %d\r\n", len(long)), long, len(long), len(long)},
		{"long, in chunks", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long), len(long), len(long) + 2*maxPieceBytes},
		{"only announced", fmt.Sprintf("Content-Length: %d\r\n", testBodyLimit), "hello", 0, maxAnnouncedBytes},
		{"announced too long", fmt.Sprintf("Content-Length: %d\r\n", testBodyLimit+1), "hello", -1, 0},
		{"to the close, too long", "", long + long, -1, testBodyLimit + 2*maxPieceBytes},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			x, r := exchangeWith(t, func(c net.Conn) {
				write(c, "HTTP/1.1 200 OK\r\n"+tc.head+"\r\n"+tc.body)
				_ = c.(*net.TCPConn).CloseWrite() // The request is unread, so that Close would reset the connection.
			})
			_, err := x.Head(r, anyAnswer)
			g.Expect(err).NotTo(HaveOccurred())
			reserved := 0
			body, err := x.ReadWhole(testBodyLimit, func(n int) error { reserved += n; return nil })
			g.Expect(errors.Is(err, ErrTooLong)).To(Equal(tc.want < 0), "%v", err)
			g.Expect(reserved).To(BeNumerically("<=", tc.most))
			memory, length := 0, 0
			for _, piece := range body {
				memory += cap(piece)
				length += len(piece)
			}
			g.Expect(length).To(Equal(max(tc.want, 0)))
			g.Expect(memory).To(BeNumerically("<=", length+length/8+64), "bytes.Clone rounds up")
		})
	}
	t.Run("no memory is left", func(t *testing.T) {
		g := NewWithT(t)
		x, r := exchangeWith(t, func(c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\n\r\n")
			repeat(c, constant(long))
		})
		_, err := x.Head(r, anyAnswer)
		g.Expect(err).NotTo(HaveOccurred())
		full := errors.New("full")
		_, err = x.ReadWhole(testBodyLimit, func(int) error { return full })
		g.Expect(errors.Is(err, full)).To(BeTrue())
		x.Abort()
	})
}

// The lines of the body of a skipped answer must not count as lines of the next head.
func TestBodyOfASkippedAnswerDoesNotCountAsHead(t *testing.T) {
	g := NewWithT(t)
	lines := strings.Repeat("x\n", 1000)
	x, r := exchangeWith(t, func(c net.Conn) {
		write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: %d\r\n\r\n%s", len(lines), lines))
		write(c, "HTTP/1.1 200 OK\r\nA: "+strings.Repeat("y", 2*readBufferSize)+"\r\nContent-Length: 2\r\n\r\nok")
	})
	_, err := x.Head(r, func(_ int, h http.Header) bool { return h.Get("Foreign") == "" })
	g.Expect(err).NotTo(HaveOccurred())
	body, err := readBody(x)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("ok"))
}
