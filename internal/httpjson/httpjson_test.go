// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package httpjson

import (
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
		"bytes": func(w http.ResponseWriter) { Binary(w, []byte(long)) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := httptest.NewRecorder()
			answer(w)
			g.Expect(w.Header().Get("Content-Length")).To(Equal(strconv.Itoa(w.Body.Len())))
		})
	}
}
