// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package adapter

import (
	"io"
	"net/http"
	"testing"

	"github.com/canvaspulley/canvaspulley/internal/httphead"
	"github.com/canvaspulley/canvaspulley/internal/httphead/headtest"
)

// malformed are heads after which an answer must not be used.
func malformed() []headtest.Head { return headtest.Malformed() }

func TestMalformedAnswersOfAService(t *testing.T) {
	headtest.ExpectRejected(t, "{}", malformed(), func(t *testing.T, address string) error {
		c := httphead.NewClient(NewSingleUseTransport(""))
		_, err := NewService("http://"+address, c, c).Do(t.Context(), Call{Method: http.MethodGet, Path: "/", SendOnce: true})
		return err
	})
}

func TestMalformedAnswersOfAModelEngine(t *testing.T) {
	for name, call := range map[string]func(t *testing.T, e *Engine) error{
		"state":  func(t *testing.T, e *Engine) error { _, err := e.State(t.Context()); return err },
		"export": func(t *testing.T, e *Engine) error { _, err := e.Export(t.Context(), "id"); return err },
		"import": func(t *testing.T, e *Engine) error { return e.Import(t.Context(), "id", []byte("{}")) },
		"order":  func(t *testing.T, e *Engine) error { _, err := e.Order(t.Context(), MapOrder{}); return err },
		"generate": func(t *testing.T, e *Engine) error {
			stream, err := e.Generate(t.Context(), Generate{})
			if err != nil {
				return err
			}
			defer func() { _ = stream.Close() }()
			_, err = io.Copy(io.Discard, stream)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			headtest.ExpectRejected(t, "{}", malformed(), func(t *testing.T, address string) error {
				transport := NewTransport("")
				defer transport.CloseIdleConnections()
				return call(t, NewEngine("http://"+address, httphead.NewClient(transport)))
			})
		})
	}
}
