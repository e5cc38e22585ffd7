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

// TestAnswersHaveALength keeps the end of a connection from being the end of an
// answer, also for those who speak HTTP/1.0.
func TestAnswersHaveALength(t *testing.T) {
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

func TestLongAnswersArePackedForThoseWhoCanReadThem(t *testing.T) {
	for _, tc := range []struct {
		name   string
		length int
		asks   string
		packed bool
	}{
		{"long", 40_000, "gzip", true},
		{"short", leastPacked / 2, "gzip", false},
		{"to one that cannot read it", 40_000, "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			text := strings.Repeat("x", tc.length)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { ReplyCompressed(w, r, text) }))
			defer srv.Close()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, srv.URL, nil)
			g.Expect(err).NotTo(HaveOccurred())
			r.Header.Set("Accept-Encoding", tc.asks)
			resp, err := http.DefaultClient.Do(r)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { g.Expect(resp.Body.Close()).To(Succeed()) }()
			g.Expect(resp.Header.Get("Content-Encoding") == "gzip").To(Equal(tc.packed))
			body := io.Reader(resp.Body)
			if tc.packed {
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
