// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/callerconn"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Timeouts for slow callers.
const (
	// BodyTimeout is the time for reading a request's complete body. The largest body meets it at 140 kB/s.
	BodyTimeout = time.Minute
	// writeTimeout is the time for one write to a caller.
	writeTimeout = 30 * time.Second
	// firstWriteTimeout is longer because the server reads the rest of the body before the first write.
	firstWriteTimeout = BodyTimeout + writeTimeout
)

// answerState is the progress of a caller's answer.
type answerState int

const (
	unsent    answerState = iota // Nothing was sent: any complete answer is still possible.
	streaming                    // The header of a stream was sent.
	complete                     // The complete answer was sent.
)

// answerWriter is the only writer of a caller's answer. An answer becomes complete in
// two ways only: it is sent with its length in the header, or its stream was relayed up
// to the end event. close aborts the connection in every other state, so that no exit
// from a handler, expected or not, can make a truncated answer look complete.
type answerWriter struct {
	w             http.ResponseWriter
	r             *http.Request
	rc            *http.ResponseController
	state         answerState
	disarm        func()    // Disables the reset of the connection; set by beginStream.
	deadlineSetAt time.Time // When the write deadline was last moved.
}

func newAnswerWriter(w http.ResponseWriter, r *http.Request) *answerWriter {
	return &answerWriter{w: w, r: r, rc: http.NewResponseController(w)}
}

// writeComplete sends a complete answer, whose length is known.
func (a *answerWriter) writeComplete(status int, contentType string, body []byte) {
	if a.state != unsent {
		return // An answer that was started cannot be replaced by another one.
	}
	a.state = complete
	h := a.w.Header()
	h.Set(wire.HeaderOutcome, string(wire.Done))
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	a.setWriteTimeout(firstWriteTimeout)
	a.w.WriteHeader(status)
	_, _ = segmentWriter{a}.Write(body) // The caller may be gone; it recognizes a partial body by the length.
	a.flushAndClearDeadline()
}

// segmentWriter writes the body of a complete answer in segments, with a write deadline for each.
type segmentWriter struct{ *answerWriter }

// segmentBytes is the size of a segment: a caller must read that much within writeTimeout.
const segmentBytes = 64 << 10

func (p segmentWriter) Header() http.Header { return p.w.Header() }

func (p segmentWriter) WriteHeader(status int) { p.w.WriteHeader(status) }

func (p segmentWriter) Write(body []byte) (n int, err error) {
	for segment := range slices.Chunk(body, segmentBytes) {
		if n > 0 {
			p.setWriteTimeout(writeTimeout)
		}
		written, err := p.w.Write(segment)
		n += written
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// setWriteTimeout sets the write deadline to timeout from now.
func (a *answerWriter) setWriteTimeout(timeout time.Duration) {
	_ = a.rc.SetWriteDeadline(time.Now().Add(timeout)) // Not every connection supports deadlines.
}

// flushAndClearDeadline flushes a complete answer and removes the write deadline, so that the
// connection can be reused.
func (a *answerWriter) flushAndClearDeadline() {
	if a.rc.Flush() == nil {
		_ = a.rc.SetWriteDeadline(time.Time{})
	}
}

// writeJSON sends v, encoded as JSON, as a complete answer.
func (a *answerWriter) writeJSON(v any) *wire.Refusal {
	raw, err := json.Marshal(v)
	if err != nil {
		return wire.RefuseUnknown(http.StatusInternalServerError, err.Error())
	}
	a.writeComplete(http.StatusOK, "application/json", append(raw, '\n'))
	return nil
}

// beginStream sends the header of a stream, unless it was sent already. The outcome of a stream is
// known only at its end, and is sent in the trailer and in the last event.
func (a *answerWriter) beginStream() {
	if a.state != unsent {
		return
	}
	a.state = streaming
	a.disarm = func() {}
	if !a.r.ProtoAtLeast(1, 1) { // No chunked encoding: the end of the connection is the end of the answer.
		a.disarm = callerconn.Arm(a.r.Context())
	}
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", wire.HeaderOutcome)
	a.w.WriteHeader(http.StatusOK)
}

// writeEvent sends one event of a stream to the caller.
func (a *answerWriter) writeEvent(text []byte) (err error) {
	defer func() { err = errors.Wrap(err, "write to caller") }()
	if a.state != streaming {
		return errors.New("no stream is in progress")
	}
	a.extendWriteDeadline(time.Now())
	if _, err := a.w.Write(text); err != nil {
		return err
	}
	return a.rc.Flush()
}

// extendWriteDeadline renews the write deadline if at least a quarter of writeTimeout has passed since
// the last renewal. Thus a caller that does not read is disconnected, and a caller that waits long for
// a token is not.
func (a *answerWriter) extendWriteDeadline(now time.Time) {
	if now.Sub(a.deadlineSetAt) < writeTimeout/4 {
		return
	}
	a.deadlineSetAt = now
	a.setWriteTimeout(writeTimeout)
}

// endStream completes a stream whose end event was received. When the last events cannot be
// written, the state stays streaming and close aborts the connection.
func (a *answerWriter) endStream() {
	a.w.Header().Set(wire.HeaderOutcome, string(wire.Done))
	text := append(outcomeEvent(&wire.Refusal{Outcome: wire.Done}), "data: [DONE]\n\n"...)
	if a.writeEvent(text) != nil {
		return
	}
	_ = a.rc.SetWriteDeadline(time.Time{}) // The connection may be reused.
	a.disarm()
	a.state = complete
}

// writeRefusal sends a refusal: as a complete answer if nothing was sent yet, otherwise as the
// last event of the stream, which close then aborts.
func (a *answerWriter) writeRefusal(r *wire.Refusal) {
	if a.state == unsent {
		a.state = complete
		a.setWriteTimeout(firstWriteTimeout)
		r.Write(segmentWriter{a})
		a.flushAndClearDeadline()
		return
	}
	_ = a.writeEvent(outcomeEvent(r)) // The caller may be gone.
}

// outcomeEvent returns the event that reports the outcome of a stream.
func outcomeEvent(r *wire.Refusal) []byte {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil // Unreachable: a Refusal can always be encoded.
	}
	return []byte("event: outcome\ndata: " + string(raw) + "\n\n")
}

// close must be the last call of a handler. It aborts the connection unless the answer is
// complete, so that the caller sees broken framing. That includes an answer that was never
// started, which net/http would send as a success.
func (a *answerWriter) close() {
	if a.state != complete {
		panic(http.ErrAbortHandler)
	}
}
