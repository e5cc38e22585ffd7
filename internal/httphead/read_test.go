// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package httphead_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/httphead"
)

// silentReader returns a text and then an error, and counts the errors.
type silentReader struct {
	text   io.Reader
	err    error
	errors int
}

// Read implements io.Reader.
func (r *silentReader) Read(p []byte) (n int, err error) {
	if n, _ = r.text.Read(p); n > 0 { // Any error is its end.
		return n, nil
	}
	r.errors++
	return 0, r.err
}

// An answer that was silent for too long before its head was waited for twice.
func TestReadReturnsTheFirstErrorOfItsReader(t *testing.T) {
	silent := errors.New("silent")
	for _, text := range []string{"", "HTTP", "HTTP/1.0", "HTTP/1.1"} {
		for _, want := range []struct{ from, to error }{{silent, silent}, {io.EOF, io.ErrUnexpectedEOF}} {
			g := NewWithT(t)
			r := &silentReader{text: strings.NewReader(text), err: want.from}
			_, _, err := httphead.Read(bufio.NewReader(r), &http.Request{Method: http.MethodGet})
			g.Expect(err).To(HaveOccurred(), "%q", text)
			if len(text) < len("HTTP/1.0") { // A longer line that is cut is reported as malformed.
				g.Expect(err).To(MatchError(want.to), "%q", text)
			}
			g.Expect(r.errors).To(Equal(1), "%q", text)
		}
	}
}
