// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// tokenWriter sends tokens to the caller, as a stream of events or as one JSON answer.
type tokenWriter interface {
	// writeToken adds the next token; data is its text as a JSON string.
	writeToken(id wire.EventID, data []byte) error
	// finish completes the answer after the last token.
	finish() *wire.Refusal
}

// sseWriter streams each token as a server-sent event.
type sseWriter struct {
	out  *answerWriter
	head []byte // JSON of an event before the text of the token.
	tail []byte // JSON of an event after the text of the token.
	buf  []byte
}

func newSSEWriter(req *request, model string) *sseWriter {
	head, err := json.Marshal(struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Model  string `json:"model"`
	}{req.id, "chat.completion.chunk", model})
	if err != nil {
		panic(err) // Unreachable: three strings can always be encoded.
	}
	return &sseWriter{
		out:  req.out,
		head: append(head[:len(head)-1], `,"choices":[{"index":0,"delta":{"content":`...),
		tail: []byte(`}}]}`),
	}
}

func (s *sseWriter) writeToken(id wire.EventID, data []byte) (err error) {
	s.out.beginStream()
	s.buf = append(s.buf[:0], "id: "...)
	s.buf = append(s.buf, id.String()...)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, s.head...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, s.tail...)
	s.buf = append(s.buf, "\n\n"...)
	return s.out.writeEvent(s.buf)
}

func (s *sseWriter) finish() *wire.Refusal {
	s.out.beginStream()
	s.out.endStream()
	return nil
}

// bufferedWriter collects the tokens and sends them as one JSON answer when all were received.
type bufferedWriter struct {
	req    *request
	model  string
	text   strings.Builder
	tokens int
}

func (w *bufferedWriter) writeToken(_ wire.EventID, data []byte) (err error) {
	var piece string
	if err := json.Unmarshal(data, &piece); err != nil {
		return errors.Wrap(err, "token")
	}
	w.text.WriteString(piece)
	w.tokens++
	return nil
}

func (w *bufferedWriter) finish() *wire.Refusal {
	type choice struct {
		Index        int         `json:"index"`
		Message      chatMessage `json:"message"`
		FinishReason string      `json:"finish_reason"`
	}
	type usage struct {
		CompletionTokens int `json:"completion_tokens"`
	}
	return w.req.out.writeJSON(struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   usage    `json:"usage"`
	}{
		w.req.id, "chat.completion", w.model,
		[]choice{{0, chatMessage{"assistant", w.text.String()}, "stop"}},
		usage{w.tokens},
	})
}
