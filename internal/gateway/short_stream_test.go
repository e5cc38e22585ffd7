// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// cutsAfter returns an endpoint that sends the first events of a stream and then cuts the
// connection.
func cutsAfter(events int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		beginStream(w, r)
		for n := 1; n <= events; n++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		}
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

// failsWith500 is an endpoint that runs each request and answers 500.
func failsWith500(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.WriteHeader(http.StatusInternalServerError)
}

// Guards against answers that are framed as complete streams but hold only the first events. Users
// received such answers on days on which many endpoints cut answers while others answered 500. A
// stream had sent events to its caller when its run was cut, and the request continued at a second
// endpoint, the last that its route allowed, which answered 500 at once. The gateway passed that
// answer on as the answer to the request: its head had no effect, since a head had been sent, its
// body was empty, and the server completed the chunked answer.
//
// This was seen 11 times on one day. The log lines of these 11 requests, and no others, had the
// status 200 of a first endpoint, a last run that answered 500 without any event, and an answer
// that was not cut.
func TestAStreamCutShortIsNeverEndedByAnEndpointsFailure(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t, cutsAfter(2), http.HandlerFunc(failsWith500))
	s.reportLoad(0, 0, 1)
	s.reportLoad(1, slots-1, 1) // So that the first endpoint is chosen first.
	for i := range 20 {         // The choice is random among equal loads.
		status, _, body, err := s.ask(fmt.Sprint(i))
		if status == http.StatusOK {
			g.Expect(err).To(HaveOccurred(), "an answer of %q looked whole", body)
			g.Expect(body).To(Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\n"))
			return
		}
	}
	t.Fatal("no request began at the endpoint that cuts its stream")
}

// failsOnContinuation is a streamingEndpoint that answers 500 when a stream is continued.
type failsOnContinuation struct{ *streamingEndpoint }

func (f failsOnContinuation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerLast) != "" {
		failsWith500(w, r)
		return
	}
	f.streamingEndpoint.ServeHTTP(w, r)
}

// The gateway itself ends a sound run when it moves a stream off a slow rank. A failure of the next
// endpoint must not complete the caller's answer either.
func TestAMovedStreamIsNeverEndedByAnEndpointsFailure(t *testing.T) {
	g := NewWithT(t)
	ranks := []*streamingEndpoint{newStreamingEndpoint(3), newStreamingEndpoint(3)} // The first choice is random.
	s := newSite(t, failsOnContinuation{ranks[0]}, failsOnContinuation{ranks[1]})
	s.reportLoad(0, 0, 1)
	s.reportLoad(1, 0, 1)
	var caller errgroup.Group
	caller.Go(func() error {
		status, _, body, err := s.ask("one")
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(err).To(HaveOccurred(), "an answer of %q looked whole", body)
		g.Expect(body).To(Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\n"))
		return nil
	})
	slow := haltedRank(g, ranks)
	s.reportLoad(slow, 1, 2)
	s.reportLoad(slow, 1, 12)
	g.Expect(caller.Wait()).To(Succeed())
	g.Expect(s.stats.moved.Count()).To(BeEquivalentTo(1))
}
