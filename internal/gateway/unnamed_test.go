// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// A stream whose events have no ids can go on nowhere else, so it stays at its rank,
// however slow that is.
func TestAStreamThatCannotGoOnIsNotMoved(t *testing.T) {
	const unnamed = "data: x\n\n"
	g := NewWithT(t)
	halted, going := make(chan int, 8), make(chan struct{})
	rank := func(i int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerID, r.Header.Get(headerID))
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, unnamed)
			w.(http.Flusher).Flush()
			halted <- i
			select {
			case <-going:
			case <-r.Context().Done():
				return
			}
			fmt.Fprint(w, unnamed)
		})
	}
	s := newSite(t, rank(0), rank(1))
	s.tell(0, 0, 1)
	s.tell(1, 0, 1)
	r, err := http.NewRequest(http.MethodPost, s.url+"/", strings.NewReader("{}"))
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = "caller.test"
	r.Header.Set(headerID, "one")
	resp, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadFull(resp.Body, make([]byte, len(unnamed)))
	g.Expect(err).NotTo(HaveOccurred(), "the caller has the first event")
	slow := <-halted
	s.tell(slow, 1, 12)
	s.tell(slow, 1, 12)
	close(going)
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred(), "it was broken off")
	g.Expect(string(body)).To(Equal(unnamed))
	g.Expect(s.figures.moved.Count()).To(BeZero())
}
