// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// pausesBefore returns an endpoint that streams events and pauses before one of them for longer
// than a caller may leave its answer unread. The text in with is sent before the pause.
func pausesBefore(event int, with string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		beginStream(w, r)
		for n := 1; n <= streamEvents+1; n++ {
			if n == event {
				_, _ = io.WriteString(w, with) // Errors show in what the caller receives.
				w.(http.Flusher).Flush()
				time.Sleep(CallerWriteTimeout + time.Second)
			}
			if n <= streamEvents {
				fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
				w.(http.Flusher).Flush()
			}
		}
	}
}

// Guards against cutting a stream after a silence, as if its caller had not read it.
func TestASilentStreamIsNotTakenForOneThatIsNotRead(t *testing.T) {
	t.Parallel()
	for name, endpoint := range map[string]http.Handler{
		"before an event": pausesBefore(4, ""),
		"before its end":  pausesBefore(streamEvents+1, ""),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			newSiteWith(t, func(r *fleet.Route) { r.Resumable = false }, endpoint).expectServed(NewWithT(t), "one", "")
		})
	}
}

// cutsAfterPause is an endpoint that sends one event and a part of the next at once, pauses, and
// cuts the connection.
func cutsAfterPause(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerLast) != "" {
		newStreamingEndpoint(0).ServeHTTP(w, r)
		return
	}
	beginStream(w, r)
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\nda") // As above.
	w.(http.Flusher).Flush()
	time.Sleep(CallerWriteTimeout + time.Second)
	panic(http.ErrAbortHandler)
}

// Guards against losing complete events when a stream is cut after a silence and continued
// elsewhere.
func TestStreamCutAfterASilenceIsContinued(t *testing.T) {
	t.Parallel()
	s := newSiteWith(t, func(r *fleet.Route) { r.TargetLatency = 0 }, http.HandlerFunc(cutsAfterPause), http.HandlerFunc(cutsAfterPause))
	s.expectServed(NewWithT(t), "one", "")
}

// endless streams events for as long as its client reads them.
func endless(w http.ResponseWriter, r *http.Request) {
	beginStream(w, r)
	for n := 1; r.Context().Err() == nil; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %01000d\n\n", n, 0); err != nil {
			return
		}
	}
}

func TestCallerThatDoesNotReadItsStreamIsDropped(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newSiteWith(t, func(r *fleet.Route) { r.Timeout = testTimeout }, http.HandlerFunc(endless))
	c := s.dial(t)
	c.send(t, head("one", int(testTimeout.Milliseconds()), "Content-Length: 0"))
	g.Eventually(s.InFlight, testTimeout).Should(Equal(1))
	began := time.Now()
	g.Eventually(s.InFlight, testTimeout).Should(BeZero())
	g.Expect(time.Since(began)).To(BeNumerically("<", testTimeout*3/4), "well before its deadline")
	g.Eventually(s.CallerConns().OpenConns, testTimeout).Should(BeZero())
}
