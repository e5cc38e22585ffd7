// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/callerconn"
)

// replyState is the progress of the answer to a caller.
type replyState int

// States of a reply, in their order; a reply never returns to an earlier one.
const (
	replyUnsent   replyState = iota // Nothing has been sent.
	replyOpen                       // The head has been sent, and the end has not.
	replyComplete                   // The answer has been sent completely.
)

// reply is the answer to one caller and the only writer of it. What has been sent cannot be taken
// back, and the HTTP server finishes properly whatever a handler leaves unfinished. A reply is
// therefore completed in two ways only: as an answer that is sent at once with its length, or as a
// stream whose end was received. In all other cases close aborts the connection, so that a caller
// never takes a part of an answer for the whole.
type reply struct {
	w           http.ResponseWriter
	r           *http.Request
	advertise   func() // Sets the keep-alive timeout in the head about to be sent.
	state       replyState
	status      int    // Of the head that was sent; 0 before.
	disarmReset func() // Disarms the reset that would end an unframed answer; set once open.

	bodyPending bool // The request's body has not been read to its end.
}

// replyHead is the status and header of an answer.
type replyHead struct {
	status int
	header http.Header
}

// Errors of writes in the wrong state.
var (
	errReplyBegun = errors.New("the answer has already begun")
	errReplyEnded = errors.New("the answer has already ended")
	errNoStream   = errors.New("no stream has begun")
)

// begun reports whether the head has been sent.
func (p *reply) begun() bool { return p.state != replyUnsent }

// incomplete reports whether the answer has begun but has not been sent completely.
func (p *reply) incomplete() bool { return p.state == replyOpen }

// setHeader sets a field of the head, which must not have been sent yet.
func (p *reply) setHeader(name, value string) { p.w.Header().Set(name, value) }

// sendComplete sends a complete answer, given in pieces, with its length.
func (p *reply) sendComplete(h replyHead, body ...[]byte) (err error) {
	defer func() { err = errors.Wrap(err, "answer to the caller") }()
	if p.state != replyUnsent {
		return errReplyBegun
	}
	if err := p.setWriteDeadline(); err != nil {
		return err
	}
	if err := p.setReadDeadline(time.Now().Add(bodyDrainTimeout)); err != nil {
		return err
	}
	length := 0
	for _, piece := range body {
		length += len(piece)
	}
	p.setHeader("Content-Length", strconv.Itoa(length))
	p.writeHead(h)
	for _, piece := range body {
		for part := range slices.Chunk(piece, writeChunkBytes) {
			if err := p.setWriteDeadline(); err != nil {
				return err
			}
			if _, err := p.w.Write(part); err != nil {
				return err
			}
		}
	}
	p.state = replyComplete
	return nil
}

// sendEvent sends one event of a stream, preceded by the head if that has not been sent.
func (p *reply) sendEvent(h replyHead, raw []byte) (err error) {
	defer func() { err = errors.Wrap(err, "event to the caller") }()
	switch p.state {
	case replyComplete:
		return errReplyEnded
	case replyUnsent:
		p.disarmReset = p.armReset()
		p.writeHead(h)
	}
	if err := p.setWriteDeadline(); err != nil {
		return err
	}
	_, err = p.w.Write(raw)
	return err
}

// flush sends what was written and is still buffered.
func (p *reply) flush() (err error) {
	defer func() { err = errors.Wrap(err, "flush to the caller") }()
	if err := p.setWriteDeadline(); err != nil {
		return err
	}
	return http.NewResponseController(p.w).Flush()
}

// endStream completes a stream. It must be called only if the end of the stream was received.
func (p *reply) endStream() (err error) {
	if p.state != replyOpen || p.disarmReset == nil {
		return errNoStream
	}
	if err := p.setWriteDeadline(); err != nil { // The server writes the final chunk after this.
		return errors.Wrap(err, "end to the caller")
	}
	p.disarmReset()
	p.state = replyComplete
	return nil
}

func (p *reply) writeHead(h replyHead) {
	header := p.w.Header()
	for name, values := range h.header {
		header[name] = values
	}
	p.advertise()
	p.state, p.status = replyOpen, h.status
	p.w.WriteHeader(h.status)
}

// armReset makes the caller's connection end with a reset until the end of the stream is received,
// for callers that know no framing: over HTTP/1.0 a proper close is the end of the answer, and a
// killed process closes properly, too.
func (p *reply) armReset() (disarm func()) {
	if p.r.ProtoAtLeast(1, 1) {
		return func() {}
	}
	return callerconn.Arm(p.r.Context())
}

// close must be the last call of a handler. It aborts the connection unless a complete answer has
// been sent.
func (p *reply) close() {
	if p.state != replyComplete {
		panic(http.ErrAbortHandler)
	}
}
