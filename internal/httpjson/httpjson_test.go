// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package httpjson

import (
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestAnswersHaveContentLength guards against answers without a length: clients would take the end
// of the connection for the end of the answer, also those that use HTTP/1.0.
func TestAnswersHaveContentLength(t *testing.T) {
	long := strings.Repeat("x", 4000)
	for name, answer := range map[string]func(w http.ResponseWriter){
		"JSON":  func(w http.ResponseWriter) { Reply(w, long) },
		"bytes": func(w http.ResponseWriter) { ReplyBinary(w, []byte(long)) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := httptest.NewRecorder()
			answer(w)
			g.Expect(w.Header().Get("Content-Length")).To(Equal(strconv.Itoa(w.Body.Len())))
		})
	}
}

func TestLongAnswersAreCompressedForClientsThatAcceptGzip(t *testing.T) {
	for _, tc := range []struct {
		name           string
		length         int
		acceptEncoding string
		compressed     bool
	}{
		{"long", 40_000, "gzip", true},
		{"short", minCompressedBytes / 2, "gzip", false},
		{"to a client that does not accept gzip", 40_000, "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			text := strings.Repeat("x", tc.length)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { ReplyCompressed(w, r, text) }))
			defer srv.Close()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, srv.URL, nil)
			g.Expect(err).NotTo(HaveOccurred())
			r.Header.Set("Accept-Encoding", tc.acceptEncoding)
			resp, err := http.DefaultClient.Do(r)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { g.Expect(resp.Body.Close()).To(Succeed()) }()
			g.Expect(resp.Header.Get("Content-Encoding") == "gzip").To(Equal(tc.compressed))
			body := io.Reader(resp.Body)
			if tc.compressed {
				g.Expect(resp.ContentLength).To(BeNumerically("<", tc.length/10))
				body, err = gzip.NewReader(body)
				g.Expect(err).NotTo(HaveOccurred())
			}
			var got string
			g.Expect(json.NewDecoder(body).Decode(&got)).To(Succeed())
			g.Expect(got).To(Equal(text))
		})
	}
}
