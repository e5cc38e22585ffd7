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

// Bounds on slow callers.
const (
	// BodyTimeout is for a whole body. The largest one comes in time at 140 kB a second.
	BodyTimeout = time.Minute
	// writeTimeout is for one write.
	writeTimeout = 30 * time.Second
	// firstTimeout is for the first write: before it the server reads what is left of the body.
	firstTimeout = BodyTimeout + writeTimeout
)

// answerState is how far a caller's answer has come.
type answerState int

const (
	unsent answerState = iota // Nothing has gone out: any whole answer may be given.
	begun                     // The head of a stream has gone out.
	ended                     // The answer was given whole.
)

// answer is the one writer of a caller's answer. Only an answer whose length
// goes out with its head, and the end of a stream seen whole, make it ended.
// close aborts whatever else a handler leaves, so that no way out of one, known
// or not, can make a short answer look complete.
type answer struct {
	w      http.ResponseWriter
	r      *http.Request
	rc     *http.ResponseController
	state  answerState
	disarm func()    // Set by begin.
	dueSet time.Time // When the write deadline was last moved.
}

func newAnswer(w http.ResponseWriter, r *http.Request) *answer {
	return &answer{w: w, r: r, rc: http.NewResponseController(w)}
}

// whole gives an answer of a known length.
func (a *answer) whole(status int, contentType string, body []byte) {
	if a.state != unsent {
		return // What has begun cannot become another answer.
	}
	a.state = ended
	h := a.w.Header()
	h.Set(wire.HeaderOutcome, string(wire.Done))
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	a.bound(firstTimeout)
	a.w.WriteHeader(status)
	_, _ = pieces{a}.Write(body) // The caller may be gone; a part shows by the length.
	a.settle()
}

// pieces writes the body of a whole answer with a bound of time for each piece.
type pieces struct{ *answer }

// pieceBytes is how much a caller reads at least in the time of writeTimeout.
const pieceBytes = 64 << 10

func (p pieces) Header() http.Header { return p.w.Header() }

func (p pieces) WriteHeader(status int) { p.w.WriteHeader(status) }

func (p pieces) Write(body []byte) (n int, err error) {
	for piece := range slices.Chunk(body, pieceBytes) {
		if n > 0 {
			p.bound(writeTimeout)
		}
		k, err := p.w.Write(piece)
		n += k
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// bound sets a write deadline.
func (a *answer) bound(most time.Duration) {
	_ = a.rc.SetWriteDeadline(time.Now().Add(most)) // Not every connection has deadlines.
}

// settle sends what is left of a whole answer and lifts the bound, so that the connection may
// be used again.
func (a *answer) settle() {
	if a.rc.Flush() == nil {
		_ = a.rc.SetWriteDeadline(time.Time{})
	}
}

// json gives v as a whole answer.
func (a *answer) json(v any) *wire.Refusal {
	raw, err := json.Marshal(v)
	if err != nil {
		return wire.Doubt(http.StatusInternalServerError, err.Error())
	}
	a.whole(http.StatusOK, "application/json", append(raw, '\n'))
	return nil
}

// begin sends the head of a stream. The outcome of a stream is known at its end
// and comes in the trailer and in the last event.
func (a *answer) begin() {
	if a.state != unsent {
		return
	}
	a.state = begun
	a.disarm = func() {}
	if !a.r.ProtoAtLeast(1, 1) { // No chunks: the end of the connection is the end of the answer.
		a.disarm = callerconn.Arm(a.r.Context())
	}
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", wire.HeaderOutcome)
	a.w.WriteHeader(http.StatusOK)
}

// event sends one event of a stream.
func (a *answer) event(text []byte) (err error) {
	defer func() { err = errors.Wrap(err, "write to caller") }()
	if a.state != begun {
		return errors.New("no stream is under way")
	}
	a.extend(time.Now())
	if _, err := a.w.Write(text); err != nil {
		return err
	}
	return a.rc.Flush()
}

// extend moves the write deadline when a part of it is over, so that a caller
// who does not read is cut off, and one who waits long for a token is not.
func (a *answer) extend(now time.Time) {
	if now.Sub(a.dueSet) < writeTimeout/4 {
		return
	}
	a.dueSet = now
	a.bound(writeTimeout)
}

// end closes a stream that was seen whole. When its last events cannot be
// written it stays begun, and close aborts it.
func (a *answer) end() {
	a.w.Header().Set(wire.HeaderOutcome, string(wire.Done))
	text := append(outcomeEvent(&wire.Refusal{Outcome: wire.Done}), "data: [DONE]\n\n"...)
	if a.event(text) != nil {
		return
	}
	_ = a.rc.SetWriteDeadline(time.Time{}) // The connection may be used again.
	a.disarm()
	a.state = ended
}

// refuse gives a refusal: as an answer of its own while nothing was sent, and
// else as the last event of a stream that close then aborts.
func (a *answer) refuse(r *wire.Refusal) {
	if a.state == unsent {
		a.state = ended
		a.bound(firstTimeout)
		r.Write(pieces{a})
		a.settle()
		return
	}
	_ = a.event(outcomeEvent(r)) // The caller may be gone.
}

// outcomeEvent is the event that says what became of a stream.
func outcomeEvent(r *wire.Refusal) []byte {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil // A Refusal always has a JSON form.
	}
	return []byte("event: outcome\ndata: " + string(raw) + "\n\n")
}

// close must be the last call of a handler. An answer that was not given whole
// ends the connection, so that the caller sees a broken framing; this includes
// one that was never begun, which net/http would end as a success.
func (a *answer) close() {
	if a.state != ended {
		panic(http.ErrAbortHandler)
	}
}
