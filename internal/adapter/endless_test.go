// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package adapter

import (
	"net/http"
	"testing"

	"github.com/canvaspulley/canvaspulley/internal/httpjson/endlesstest"
)

func TestAnswersWithoutEndOfAService(t *testing.T) {
	endlesstest.ExpectAbandoned(t, 2*maxAnswerBytes, func(t *testing.T, address string) error {
		c := &http.Client{Transport: NewSingleUseTransport("")}
		a, err := NewService("http://"+address, c, c).Do(t.Context(), Call{Method: http.MethodGet, Path: "/", SendOnce: true})
		if err == nil {
			t.Logf("status %d, %d bytes", a.Status, len(a.Body))
		}
		return err
	})
}

func TestAnswersWithoutEndOfAModelEngine(t *testing.T) {
	endlesstest.ExpectAbandoned(t, 2*maxAnswerBytes, func(t *testing.T, address string) error {
		var v []string
		return getJSON(t.Context(), &http.Client{Transport: NewTransport("")}, "http://"+address, &v)
	})
}
