// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// breaking is an endpoint that sends the first events of a stream and then breaks
// off.
func breaking(events int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		beginStream(w, r)
		for n := 1; n <= events; n++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		}
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

// failing is an endpoint that runs each request and fails by itself.
func failing(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.WriteHeader(http.StatusInternalServerError)
}

// Users got answers to streams that were framed as complete and held only the first
// events, on days on which many endpoints broke answers off while others failed
// requests by themselves. The order of events: a stream has sent events to its
// caller; its run is cut; the request goes on at a second endpoint, the last that its
// route allows, which answers 500 at once. The gateway passed that answer on as the
// request's own: its head came to nothing, since one had gone out, its body was empty,
// and the server ended the chunked answer in order.
//
// Evidence: of a day on which this was seen 11 times, the 11 requests' log lines, and
// no others, had the head 200 of a first endpoint, a last run that answered 500 with no
// event, and an answer that was not broken off.
func TestAStreamCutShortIsNeverEndedByAnEndpointsFailure(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t, breaking(2), http.HandlerFunc(failing))
	s.tell(0, 0, 1)
	s.tell(1, slots-1, 1) // So that the first endpoint is asked first.
	for i := range 20 {   // The choice is by chance when loads are alike.
		status, _, body, err := s.ask(fmt.Sprint(i))
		if status == http.StatusOK {
			g.Expect(err).To(HaveOccurred(), "an answer of %q looked whole", body)
			g.Expect(body).To(Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\n"))
			return
		}
	}
	t.Fatal("no request began at the endpoint that breaks off")
}

// failsLater is a streamer that fails by itself where a stream goes on.
type failsLater struct{ *streamer }

func (f failsLater) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerLast) != "" {
		failing(w, r)
		return
	}
	f.streamer.ServeHTTP(w, r)
}

// The gateway itself ends a sound run when it moves a stream off a slow rank; the
// next endpoint's failure must not end the caller's answer either.
func TestAMovedStreamIsNeverEndedByAnEndpointsFailure(t *testing.T) {
	g := NewWithT(t)
	ranks := []*streamer{newStreamer(3), newStreamer(3)} // Chance says which is asked first.
	s := newSite(t, failsLater{ranks[0]}, failsLater{ranks[1]})
	s.tell(0, 0, 1)
	s.tell(1, 0, 1)
	var caller errgroup.Group
	caller.Go(func() error {
		status, _, body, err := s.ask("one")
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(err).To(HaveOccurred(), "an answer of %q looked whole", body)
		g.Expect(body).To(Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\n"))
		return nil
	})
	slow := haltedRank(g, ranks)
	s.tell(slow, 1, 2)
	s.tell(slow, 1, 12)
	g.Expect(caller.Wait()).To(Succeed())
	g.Expect(s.stats.moved.Count()).To(BeEquivalentTo(1))
}
