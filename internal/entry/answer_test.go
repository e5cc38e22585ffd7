// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// TestOnlyAWholeAnswerEndsAsOne plays orders of calls that no handler should
// make: what the caller has must still be whole, or look broken.
func TestOnlyAWholeAnswerEndsAsOne(t *testing.T) {
	const piece = "data: x\n\n"
	done := piece + "event: outcome\ndata: {\"outcome\":\"done\",\"reason\":\"\",\"status\":0}\n\ndata: [DONE]\n\n"
	refusal := wire.Doubt(http.StatusBadGateway, "r")
	event := func(a *answer) { _ = a.event([]byte(piece)) }
	whole := func(a *answer) { a.whole(http.StatusOK, "text/plain", []byte("whole")) }
	for _, one := range []struct {
		name  string
		calls []func(*answer)
		body  string // "" when the answer must look broken.
	}{
		{"nothing", nil, ""},
		{"an event without a head", []func(*answer){event}, ""},
		{"a head only", []func(*answer){(*answer).begin}, ""},
		{"a stream without an end", []func(*answer){(*answer).begin, event}, ""},
		{"a stream, then a whole answer", []func(*answer){(*answer).begin, event, whole}, ""},
		{"a stream, then a refusal", []func(*answer){(*answer).begin, event, func(a *answer) { a.refuse(refusal) }}, ""},
		{"a stream", []func(*answer){(*answer).begin, event, (*answer).end}, done},
		{"a stream that ends twice", []func(*answer){(*answer).begin, event, (*answer).end, (*answer).end}, done},
		{"an event after the end", []func(*answer){(*answer).begin, event, (*answer).end, event}, done},
		{"a refusal after the end", []func(*answer){(*answer).begin, event, (*answer).end, func(a *answer) { a.refuse(refusal) }}, done},
		{"a whole answer after the end", []func(*answer){(*answer).begin, event, (*answer).end, whole}, done},
		{"a whole answer", []func(*answer){whole}, "whole"},
		{"a whole answer, then a stream", []func(*answer){whole, (*answer).begin, event, (*answer).end}, "whole"},
		{"a whole answer, then a refusal", []func(*answer){whole, func(a *answer) { a.refuse(refusal) }}, "whole"},
	} {
		t.Run(one.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				a := newAnswer(w, r)
				for _, call := range one.calls {
					call(a)
				}
				a.close()
			}))
			t.Cleanup(srv.Close)
			body, err := read(srv.URL)
			if one.body == "" {
				g.Expect(err).To(gomega.HaveOccurred(), body)
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal(one.body))
		})
	}
}

func read(url string) (body string, err error) {
	resp, err := http.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}
