// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// silentTarget is a target latency after which a stream in these tests is silent for too long.
const silentTarget = 50 * time.Millisecond

// silentRank begins a stream and is silent after its second event until resume is closed. Requests
// that continue a stream get the answer of other.
func silentRank(resume <-chan struct{}, other http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The server sees only then that the gateway closes the connection.
		if r.Header.Get(headerLast) != "" {
			other(w, r)
			return
		}
		beginStream(w, r)
		for n := 1; n <= streamEvents; n++ {
			if n == 3 {
				select {
				case <-resume:
				case <-r.Context().Done():
					return
				}
			}
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			w.(http.Flusher).Flush()
		}
	}
}

// Guards against breaking a stream off because the rank that was to continue it did not, although the
// silent one goes on.
func TestASilentStreamIsKeptUntilAnotherRankTakesItOver(t *testing.T) {
	answerWith := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerID, r.Header.Get(headerID))
			w.WriteHeader(status)
		}
	}
	for name, other := range map[string]http.HandlerFunc{
		"rejects":               answerWith(http.StatusServiceUnavailable),
		"fails":                 answerWith(http.StatusInternalServerError),
		"closes its connection": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"closes it after its head": func(w http.ResponseWriter, r *http.Request) {
			beginStream(w, r)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
		"sends events that do not follow": func(w http.ResponseWriter, r *http.Request) {
			beginStream(w, r)
			_, _ = io.WriteString(w, "id: 9\ndata: x\n\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			resume := make(chan struct{})
			var once sync.Once
			rank := silentRank(resume, func(w http.ResponseWriter, r *http.Request) {
				time.AfterFunc(2*silentTarget, func() { once.Do(func() { close(resume) }) }) // After this answer has been read.
				other(w, r)
			})
			s := newSiteWith(t, func(r *fleet.Route) { r.TargetLatency = silentTarget }, rank, rank)
			s.expectServed(g, "one", "")
			g.Expect(s.stats.silentAttempts.Count()).To(BeEquivalentTo(1))
		})
	}
}

// Guards against waiting for a second rank that is silent, too, while the first one goes on.
func TestASilentStreamThatGoesOnIsReadAtOnce(t *testing.T) {
	g := NewWithT(t)
	resume := make(chan struct{})
	var left atomic.Int32
	rank := silentRank(resume, func(_ http.ResponseWriter, r *http.Request) {
		close(resume)
		<-r.Context().Done()
		left.Add(1)
	})
	s := newSiteWith(t, func(r *fleet.Route) { r.TargetLatency = silentTarget }, rank, rank)
	s.expectServed(g, "one", "")
	g.Eventually(left.Load, testTimeout).Should(BeEquivalentTo(1), "the second rank is told")
}

// Guards against keeping a silent stream when another rank continues it.
func TestASilentStreamIsTakenOver(t *testing.T) {
	g := NewWithT(t)
	var continued atomic.Int32
	rank := silentRank(nil, func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get(headerLast)) // The gateway has sent it.
		continued.Store(int32(last) + 1)
		beginStream(w, r)
		for n := last + 1; n <= streamEvents; n++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		}
	})
	s := newSiteWith(t, func(r *fleet.Route) { r.TargetLatency = silentTarget }, rank, rank)
	s.expectServed(g, "one", "")
	g.Expect(continued.Load()).To(BeEquivalentTo(3))
}

// Guards against a second rank that is silent, too, and keeps a third one from taking the stream over.
func TestASilentStreamIsTakenOverByAThirdRank(t *testing.T) {
	g := NewWithT(t)
	var asked atomic.Int32
	rank := silentRank(nil, func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		beginStream(w, r)
		for n := 3; n <= streamEvents; n++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		}
	})
	s := newSiteWith(t, func(r *fleet.Route) { r.TargetLatency, r.MaxAttempts = silentTarget, 3 }, rank, rank, rank)
	s.expectServed(g, "one", "")
}
