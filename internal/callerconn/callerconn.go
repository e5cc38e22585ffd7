// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package callerconn makes an answer that is broken off look broken to a caller
// for whom the end of the connection is the end of the answer: one who speaks
// HTTP/1.0 and gets an answer without a length. It takes connections in the
// clear; over TLS an orderly end is still told before the reset.
package callerconn

import (
	"context"
	"net"
)

// connKey is the context key of a caller's connection.
type connKey struct{}

// lingers is the part of a TCP connection that says how it is closed.
type lingers interface {
	SetLinger(sec int) error
}

// Values of SetLinger.
const (
	lingerReset   = 0  // Closing resets the connection.
	lingerDefault = -1 // Closing sends what is left and ends the connection in order.
)

// WithConn is for http.Server.ConnContext: requests that come over c can use Arm.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Arm makes every end of the request's connection a reset, also that by the end
// of the process, until disarm is called. The reset is armed before the answer
// begins and not when it breaks off, because nobody is left to arm it when the
// process ends. Bytes that the network has not taken yet are lost with a reset.
// Without a connection from Context, Arm does nothing.
func Arm(ctx context.Context) (disarm func()) {
	c, ok := ctx.Value(connKey{}).(lingers)
	if !ok || c.SetLinger(lingerReset) != nil {
		return func() {}
	}
	return func() { _ = c.SetLinger(lingerDefault) } // A connection that is closed already needs no order.
}
