// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package httpjson

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/httphead/headtest"
)

// doCall makes a call with a transport that unpacks answers.
func doCall(t *testing.T, url string) (raw []byte, err error) {
	g := NewWithT(t)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	g.Expect(err).NotTo(HaveOccurred())
	return Do(&http.Client{Transport: transport}, r, 1<<20)
}

// An answer that the transport has unpacked was taken for one without a length.
func TestCompressedAnswerIsRead(t *testing.T) {
	for name, size := range map[string]int{"plain": 10, "compressed": 10 * minCompressedBytes} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { ReplyCompressed(w, r, strings.Repeat("x", size)) }))
			defer srv.Close()
			raw, err := doCall(t, srv.URL)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(raw).To(HaveLen(size + len(`""`)))
		})
	}
}

// A compressed answer ends with its connection only if it is whole.
func TestPartOfACompressedAnswerIsNone(t *testing.T) {
	packed, err := compress([]byte(`{"list":[1,2,3]}`))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for n := range len(packed) {
		address, cleanup := headtest.Serve(t, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n"+string(packed[:n]))
		_, err := doCall(t, "http://"+address)
		NewWithT(t).Expect(err).To(HaveOccurred(), "%d of %d bytes", n, len(packed))
		cleanup()
	}
}
