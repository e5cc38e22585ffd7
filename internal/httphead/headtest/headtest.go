// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package headtest tests that readers of other processes' answers reject heads that are not of the protocol.
package headtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// Head is the head of an answer that differs from a sound one in one place only.
type Head struct {
	Name    string
	Before  string // Interim answers before it.
	Version string // "HTTP/1.1" if empty.
	Status  string // "200 OK" if empty.
	Fields  string // Additional fields, each with its line end.
	Framed  bool   // Without this the fields alone indicate the end of the answer, if anything does.
	Chunks  bool   // The body is sent in chunks.
	After   string // Trailer of an answer in chunks.
}

// Sound returns heads that are of the protocol, although unusual.
func Sound() []Head {
	return []Head{
		{Name: "every other character of a name", Fields: "!#$%&'*+-.^_`|~09azAZ: v\r\n", Framed: true},
		{Name: "interim answer", Before: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", Framed: true},
		{Name: "chunks with a trailer", Fields: "Transfer-Encoding: chunked\r\n", Chunks: true, After: "X-After: v\r\n"},
		{Name: "later minor version", Version: "HTTP/1.9", Framed: true},
		{Name: "earlier minor version", Version: "HTTP/1.0", Framed: true},
		{Name: "no reason", Status: "200 ", Framed: true},
		{Name: "no blank before no reason", Status: "200", Framed: true},
		{Name: "reason in another encoding", Status: "200 \xe4\t", Framed: true},
	}
}

// OldChunks returns heads of HTTP/1.0, whose senders do not know chunks, with a transfer encoding.
func OldChunks() []Head {
	return []Head{
		{Name: "HTTP/1.0 in chunks", Version: "HTTP/1.0", Fields: "Transfer-Encoding: chunked\r\n", Chunks: true},
		{Name: "HTTP/1.0 in chunks, with a length", Version: "HTTP/1.0", Fields: "Transfer-Encoding: chunked\r\n", Chunks: true, Framed: true},
		{Name: "HTTP/1.0 with another coding", Version: "HTTP/1.0", Fields: "Transfer-Encoding: gzip\r\n", Framed: true},
	}
}

// Malformed returns heads that are not of the protocol.
func Malformed() []Head { return slices.Concat(Names(), Statuses(), Versions()) }

// Names returns heads with a field whose name is not a token.
func Names() (list []Head) {
	list = []Head{
		{Name: "length after a blank alone", Fields: "Content-Length : 2\r\n"},
		{Name: "length after a blank, and one", Fields: "Content-Length : 2\r\n", Framed: true},
		{Name: "chunks after a blank", Fields: "Transfer-Encoding : chunked\r\n", Chunks: true},
		{Name: "blank before the colon", Fields: "XA : v\r\n", Framed: true},
		{Name: "line without a colon", Fields: "XA\r\n", Framed: true},
		{Name: "empty name", Fields: ": v\r\n", Framed: true},
		{Name: "interim answer with a blank", Before: "HTTP/1.1 103 Early Hints\r\nX A: v\r\n\r\n", Framed: true},
		{Name: "trailer with a blank", Fields: "Transfer-Encoding: chunked\r\n", Chunks: true, After: "X A: v\r\n"},
	}
	for _, c := range []byte{' ', 0x00, 0x01, '\t', 0x0b, '\r', 0x1f, 0x7f, '(', 0x80, 0xff} {
		list = append(list, Head{Name: fmt.Sprintf("byte %02x in a name", c), Fields: "X" + string([]byte{c}) + "A: v\r\n", Framed: true})
	}
	return list
}

// Statuses returns heads whose status is none, or is not that of an answer to the request.
func Statuses() (list []Head) {
	for _, status := range []string{"000", "00", "099", "+20", "-00", "2x0", "2000", " ", "101 Switching Protocols", "200 O\x00K", "200 O\x7fK"} {
		list = append(list, Head{Name: fmt.Sprintf("status %q", status), Status: status, Framed: true})
	}
	return append(list, Head{Name: "interim answer with a status that switches protocols", Before: "HTTP/1.1 101 Switching Protocols\r\n\r\n", Framed: true})
}

// Versions returns heads of other versions than that of the request.
func Versions() (list []Head) {
	for _, version := range []string{"HTTP/2.0", "HTTP/0.9", "HTTP/3.0", "HTTP/1", "HTTP/1.1.1", "http/1.1", "ICY"} {
		list = append(list, Head{Name: "version " + version, Version: version, Framed: true}, Head{Name: "version " + version + " without a length", Version: version})
	}
	return list
}

// Raw returns an answer with this head and a body. The fields are added to it, each with its line end.
func (h Head) Raw(fields, body string) string {
	version, status := h.Version, h.Status
	if version == "" {
		version = "HTTP/1.1"
	}
	if status == "" {
		status = "200 OK"
	}
	if h.Framed {
		fields += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if h.Chunks {
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, h.After)
	}
	return h.Before + version + " " + status + "\r\n" + fields + h.Fields + "\r\n" + body
}

// ExpectRejected has call make a call to a server at address, whose answer has the given body. The call must
// succeed for sound heads and return an error for the others.
func ExpectRejected(t *testing.T, body string, malformed []Head, call func(t *testing.T, address string) error) {
	for _, h := range Sound() {
		t.Run(h.Name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(callWith(t, h.Raw("", body), call)).To(gomega.Succeed())
		})
	}
	for _, h := range malformed {
		t.Run(h.Name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(callWith(t, h.Raw("", body), call)).NotTo(gomega.Succeed())
		})
	}
}

// callWith calls a server that gives a raw answer.
func callWith(t *testing.T, raw string, call func(t *testing.T, address string) error) error {
	address, cleanup := Serve(t, raw)
	defer cleanup()
	return call(t, address)
}

// Serve starts a server that gives a raw answer on each connection and then ends its side. The cleanup
// function stops it; clients must have closed their connections.
func Serve(t *testing.T, raw string) (address string, cleanup func()) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var srv errgroup.Group
	srv.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil // The test has ended.
			}
			srv.Go(func() error { serve(c.(*net.TCPConn), raw); return nil })
		}
	})
	return l.Addr().String(), func() {
		g.Expect(l.Close()).To(gomega.Succeed())
		g.Expect(srv.Wait()).To(gomega.Succeed())
	}
}

func serve(c *net.TCPConn, raw string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // The client may have closed the connection.
	_, _ = io.WriteString(c, raw)
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c) // Until the client closes the connection.
}
