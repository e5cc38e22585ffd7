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

// TestOnlyCompleteAnswersEndNormally makes sequences of calls that no correct handler makes. The caller
// must get either a complete answer or an aborted connection.
func TestOnlyCompleteAnswersEndNormally(t *testing.T) {
	const piece = "data: x\n\n"
	done := piece + "event: outcome\ndata: {\"outcome\":\"done\",\"reason\":\"\",\"status\":0}\n\ndata: [DONE]\n\n"
	refusal := wire.RefuseUnknown(http.StatusBadGateway, "r")
	event := func(a *answerWriter) { _ = a.writeEvent([]byte(piece)) }
	whole := func(a *answerWriter) { a.writeComplete(http.StatusOK, "text/plain", []byte("whole")) }
	for _, one := range []struct {
		name  string
		calls []func(*answerWriter)
		body  string // "" when the connection must be aborted.
	}{
		{"nothing", nil, ""},
		{"an event without a header", []func(*answerWriter){event}, ""},
		{"a header only", []func(*answerWriter){(*answerWriter).beginStream}, ""},
		{"a stream without an end", []func(*answerWriter){(*answerWriter).beginStream, event}, ""},
		{"a stream, then a complete answer", []func(*answerWriter){(*answerWriter).beginStream, event, whole}, ""},
		{"a stream, then a refusal", []func(*answerWriter){(*answerWriter).beginStream, event, func(a *answerWriter) { a.writeRefusal(refusal) }}, ""},
		{"a stream", []func(*answerWriter){(*answerWriter).beginStream, event, (*answerWriter).endStream}, done},
		{"a stream that ends twice", []func(*answerWriter){(*answerWriter).beginStream, event, (*answerWriter).endStream, (*answerWriter).endStream}, done},
		{"an event after the end", []func(*answerWriter){(*answerWriter).beginStream, event, (*answerWriter).endStream, event}, done},
		{"a refusal after the end", []func(*answerWriter){(*answerWriter).beginStream, event, (*answerWriter).endStream, func(a *answerWriter) { a.writeRefusal(refusal) }}, done},
		{"a complete answer after the end", []func(*answerWriter){(*answerWriter).beginStream, event, (*answerWriter).endStream, whole}, done},
		{"a complete answer", []func(*answerWriter){whole}, "whole"},
		{"a complete answer, then a stream", []func(*answerWriter){whole, (*answerWriter).beginStream, event, (*answerWriter).endStream}, "whole"},
		{"a complete answer, then a refusal", []func(*answerWriter){whole, func(a *answerWriter) { a.writeRefusal(refusal) }}, "whole"},
	} {
		t.Run(one.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				a := newAnswerWriter(w, r)
				for _, call := range one.calls {
					call(a)
				}
				a.close()
			}))
			t.Cleanup(srv.Close)
			body, err := readBodyText(srv.URL)
			if one.body == "" {
				g.Expect(err).To(gomega.HaveOccurred(), body)
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal(one.body))
		})
	}
}

func readBodyText(url string) (body string, err error) {
	resp, err := http.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}
