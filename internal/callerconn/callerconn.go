// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package callerconn makes a cut-off answer look incomplete to a caller for whom the end of the
// connection is the end of the answer: one that speaks HTTP/1.0 and gets an answer without a
// length. It works on plain TCP connections; over TLS the server still sends an orderly end before
// the reset.
package callerconn

import (
	"context"
	"net"
)

// connKey is the context key of a caller's connection.
type connKey struct{}

// lingerSetter is the method of a TCP connection that determines how it is closed.
type lingerSetter interface {
	SetLinger(sec int) error
}

// Values of SetLinger.
const (
	lingerReset   = 0  // Closing resets the connection.
	lingerDefault = -1 // Closing sends the buffered bytes and then closes gracefully.
)

// WithConn is for http.Server.ConnContext: it lets requests on c use Arm.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Arm makes every close of the request's connection a reset, also a close by the end of the
// process, until disarm is called. The reset is armed before the answer begins rather than when it
// is cut off, because nothing can arm it any more when the process ends. A reset discards bytes
// that have not been sent yet. Arm does nothing if the request's context does not come from
// WithConn.
func Arm(ctx context.Context) (disarm func()) {
	c, ok := ctx.Value(connKey{}).(lingerSetter)
	if !ok || c.SetLinger(lingerReset) != nil {
		return func() {}
	}
	return func() { _ = c.SetLinger(lingerDefault) } // A closed connection needs no change.
}
