// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

// connMode is the protocol version and connection use of a caller.
type connMode int

// The modes.
const (
	modeKeepAlive connMode = iota // HTTP/1.1 with persistent connections.
	modeHTTP10                    // HTTP/1.0: the end of the connection may mark the end of the answer.
	modeClose                     // HTTP/1.1 with a new connection for each request.
	modeIdle                      // HTTP/1.1 with one connection that is kept idle for as long as is allowed.
)

var connModeNames = [...]string{"kept connections", "HTTP/1.0", "Connection: close", "a rested connection"}

func (s connMode) String() string { return connModeNames[s] }

// callerModes are assigned to the callers of a run in turn.
var callerModes = [...]connMode{modeKeepAlive, modeHTTP10, modeKeepAlive, modeClose}

func (s connMode) transport() http.RoundTripper {
	switch s {
	case modeHTTP10:
		return rawTransport{proto: "HTTP/1.0"}
	case modeClose:
		return rawTransport{proto: "HTTP/1.1", header: "Connection: close\r\n"}
	}
	return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, DisableCompression: true}
}

// rawTransport sends each request on a connection of its own, since http.Transport sends HTTP/1.1
// only. It reads the answer also if the request cannot be written to its end. An orderly end of the
// connection completes an answer without framing; a reset truncates it.
type rawTransport struct{ proto, header string }

// RoundTrip sends one request and reads the header of its answer.
func (t rawTransport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	defer func() { err = errors.Wrap(err, "raw connection") }()
	defer func() { _ = r.Body.Close() }() // The body is a string: closing it does not fail.
	c, err := dial(r.Context(), "tcp4", r.URL.Host)
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: c})
	}
	body := &rawBody{conn: c, stop: context.AfterFunc(r.Context(), func() { _ = c.Close() })}
	defer func() {
		if err != nil {
			_ = body.Close()
		}
	}()
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s %s\r\nHost: %s\r\nContent-Length: %d\r\n%s", r.Method, r.URL.RequestURI(), t.proto, r.Host, r.ContentLength, t.header)
	if err = r.Header.Write(&out); err != nil {
		return nil, err
	}
	out.WriteString("\r\n")
	if _, err = io.Copy(&out, r.Body); err != nil {
		return nil, err
	}
	_, writeErr := out.WriteTo(c) // A gateway may reject a request before it has read it.
	if resp, err = http.ReadResponse(bufio.NewReader(c), r); err != nil {
		return nil, errors.CombineErrors(writeErr, err)
	}
	body.Reader, resp.Body = resp.Body, body
	return resp, nil
}

// rawBody is the body of an answer; closing it closes the connection.
type rawBody struct {
	io.Reader
	conn net.Conn
	stop func() bool
}

// Close closes the connection.
func (b *rawBody) Close() error {
	b.stop()
	return b.conn.Close()
}
