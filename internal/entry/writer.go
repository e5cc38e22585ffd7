// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// writer gives tokens to the caller in one of the two forms.
type writer interface {
	// token gives the next token; data is its text as JSON.
	token(id wire.EventID, data []byte) error
	// end closes a whole answer.
	end()
	// fail ends an answer that is not whole. It returns the refusal when
	// nothing was written yet, so that it can be sent as an answer of its own.
	fail(r *wire.Refusal) *wire.Refusal
}

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 30 * time.Second

// sseWriter streams each token as a server-sent event.
type sseWriter struct {
	req    *request
	head   []byte // JSON before the text of a token.
	tail   []byte // JSON after it.
	rc     *http.ResponseController
	buf    []byte
	begun  bool
	dueSet time.Time // When the write deadline was last moved.
}

func newSSEWriter(req *request, model string) *sseWriter {
	head, err := json.Marshal(struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Model  string `json:"model"`
	}{req.id, "chat.completion.chunk", model})
	if err != nil {
		panic(err) // Three strings.
	}
	return &sseWriter{
		req:  req,
		head: append(head[:len(head)-1], `,"choices":[{"index":0,"delta":{"content":`...),
		tail: []byte(`}}]}`),
		rc:   http.NewResponseController(req.w),
	}
}

// begin sends the headers. The outcome of a stream is known at its end and
// comes in the trailer and in the last event.
func (s *sseWriter) begin() {
	if s.begun {
		return
	}
	s.begun = true
	h := s.req.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", wire.HeaderOutcome)
	s.req.w.WriteHeader(http.StatusOK)
}

func (s *sseWriter) token(id wire.EventID, data []byte) (err error) {
	defer func() { err = errors.Wrap(err, "write to caller") }()
	s.begin()
	s.extend(time.Now())
	s.buf = append(s.buf[:0], "id: "...)
	s.buf = append(s.buf, id.String()...)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, s.head...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, s.tail...)
	s.buf = append(s.buf, "\n\n"...)
	if _, err := s.req.w.Write(s.buf); err != nil {
		return err
	}
	return s.rc.Flush()
}

// extend moves the write deadline when a part of it is over, so that a caller
// who does not read is cut off, and one who waits long for a token is not.
func (s *sseWriter) extend(now time.Time) {
	if now.Sub(s.dueSet) < writeTimeout/4 {
		return
	}
	s.dueSet = now
	_ = s.rc.SetWriteDeadline(now.Add(writeTimeout)) // Not every connection has deadlines.
}

func (s *sseWriter) end() {
	s.begin()
	s.finish(wire.Done, nil)
	_, _ = s.req.w.Write([]byte("data: [DONE]\n\n")) // The caller may be gone.
}

// finish writes the outcome as an event and as the trailer.
func (s *sseWriter) finish(o wire.Outcome, r *wire.Refusal) {
	s.dueSet = time.Time{}
	s.extend(time.Now())
	defer func() { _ = s.rc.SetWriteDeadline(time.Time{}) }() // The connection may be used again.
	s.req.w.Header().Set(wire.HeaderOutcome, string(o))
	last := wire.Refusal{Outcome: o}
	if r != nil {
		last = *r
	}
	raw, err := json.Marshal(last)
	if err != nil {
		return // A Refusal always has a JSON form.
	}
	_, _ = s.req.w.Write([]byte("event: outcome\ndata: " + string(raw) + "\n\n")) // The caller may be gone.
}

func (s *sseWriter) fail(r *wire.Refusal) *wire.Refusal {
	if !s.begun {
		return r
	}
	s.finish(r.Outcome, r)
	return nil
}

// wholeWriter collects the tokens and answers when all are there.
type wholeWriter struct {
	req    *request
	model  string
	text   strings.Builder
	tokens int
}

func (w *wholeWriter) token(_ wire.EventID, data []byte) (err error) {
	var piece string
	if err := json.Unmarshal(data, &piece); err != nil {
		return errors.Wrap(err, "token")
	}
	w.text.WriteString(piece)
	w.tokens++
	return nil
}

func (w *wholeWriter) end() {
	type choice struct {
		Index        int         `json:"index"`
		Message      chatMessage `json:"message"`
		FinishReason string      `json:"finish_reason"`
	}
	type usage struct {
		CompletionTokens int `json:"completion_tokens"`
	}
	w.req.w.Header().Set(wire.HeaderOutcome, string(wire.Done))
	w.req.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w.req.w).Encode(struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   usage    `json:"usage"`
	}{
		w.req.id, "chat.completion", w.model,
		[]choice{{0, chatMessage{"assistant", w.text.String()}, "stop"}},
		usage{w.tokens},
	}) // The caller may be gone.
}

func (w *wholeWriter) fail(r *wire.Refusal) *wire.Refusal { return r }
