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

// restsBefore is an endpoint that streams events and rests for longer than a caller may
// leave its answer unread; rest says before what, and what goes out with the event before.
func restsBefore(event int, with string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		beginStream(w, r)
		for n := 1; n <= streamEvents+1; n++ {
			if n == event {
				_, _ = io.WriteString(w, with) // The caller's view is what is tested.
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

// Guards against a stream that is cut after a silence, as if its caller had not read.
func TestASilentStreamIsNotTakenForOneThatIsNotRead(t *testing.T) {
	t.Parallel()
	for name, endpoint := range map[string]http.Handler{
		"before an event": restsBefore(4, ""),
		"before its end":  restsBefore(streamEvents+1, ""),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			newSiteWith(t, func(r *fleet.Route) { r.Resumable = false }, endpoint).expectServed(NewWithT(t), "one", "")
		})
	}
}

// breaksLater is an endpoint that sends events and a part of one at once, rests, and breaks off.
func breaksLater(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerLast) != "" {
		newStreamer(0).ServeHTTP(w, r)
		return
	}
	beginStream(w, r)
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\nda") // As above.
	w.(http.Flusher).Flush()
	time.Sleep(CallerWriteTimeout + time.Second)
	panic(http.ErrAbortHandler)
}

// Guards against events that are lost, with the rest of their stream, where it goes on elsewhere.
func TestAStreamThatBreaksOffAfterASilenceGoesOn(t *testing.T) {
	t.Parallel()
	s := newSiteWith(t, func(r *fleet.Route) { r.TargetLatency = 0 }, http.HandlerFunc(breaksLater), http.HandlerFunc(breaksLater))
	s.expectServed(NewWithT(t), "one", "")
}

// endless streams events for as long as somebody reads them.
func endless(w http.ResponseWriter, r *http.Request) {
	beginStream(w, r)
	for n := 1; r.Context().Err() == nil; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %01000d\n\n", n, 0); err != nil {
			return
		}
	}
}

func TestACallerWhoDoesNotReadItsStreamIsLetGo(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newSiteWith(t, func(r *fleet.Route) { r.Timeout = patienceOf }, http.HandlerFunc(endless))
	c := s.dial(t)
	c.send(t, head("one", int(patienceOf.Milliseconds()), "Content-Length: 0"))
	g.Eventually(s.InFlight, patienceOf).Should(Equal(1))
	began := time.Now()
	g.Eventually(s.InFlight, patienceOf).Should(BeZero())
	g.Expect(time.Since(began)).To(BeNumerically("<", patienceOf*3/4), "well before its time is over")
	g.Eventually(s.CallerConns().OpenConns, patienceOf).Should(BeZero())
}
