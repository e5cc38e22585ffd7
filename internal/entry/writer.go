// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// writer gives tokens to the caller in one of the two forms.
type writer interface {
	// token gives the next token; data is its text as JSON.
	token(id wire.EventID, data []byte) error
	// end closes a whole answer.
	end() *wire.Refusal
}

// sseWriter streams each token as a server-sent event.
type sseWriter struct {
	out  *answer
	head []byte // JSON before the text of a token.
	tail []byte // JSON after it.
	buf  []byte
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
		out:  req.out,
		head: append(head[:len(head)-1], `,"choices":[{"index":0,"delta":{"content":`...),
		tail: []byte(`}}]}`),
	}
}

func (s *sseWriter) token(id wire.EventID, data []byte) (err error) {
	s.out.begin()
	s.buf = append(s.buf[:0], "id: "...)
	s.buf = append(s.buf, id.String()...)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, s.head...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, s.tail...)
	s.buf = append(s.buf, "\n\n"...)
	return s.out.event(s.buf)
}

func (s *sseWriter) end() *wire.Refusal {
	s.out.begin()
	s.out.end()
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

func (w *wholeWriter) end() *wire.Refusal {
	type choice struct {
		Index        int         `json:"index"`
		Message      chatMessage `json:"message"`
		FinishReason string      `json:"finish_reason"`
	}
	type usage struct {
		CompletionTokens int `json:"completion_tokens"`
	}
	return w.req.out.json(struct {
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
