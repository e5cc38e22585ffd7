// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
	"github.com/canvaspulley/canvaspulley/internal/wait"
)

// endlessAnswer answers with a beginning and then one text after the other until the connection is closed.
type endlessAnswer struct {
	begin func(id string) string
	text  func(n int) string
	asked *atomic.Int64
}

func (e endlessAnswer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.asked.Add(1)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, e.begin(r.Header.Get(headerID)))
	for n := 0; err == nil; n++ {
		_, err = io.WriteString(conn, e.text(n))
	}
}

// endlessKinds returns the places of an answer in which bytes may come without end.
func endlessKinds(asked *atomic.Int64) map[string]endlessAnswer {
	long := strings.Repeat("x", 4<<10)
	same := func(text string) func(int) string { return func(int) string { return text } }
	begin := func(text string) func(string) string {
		return func(id string) string { return strings.ReplaceAll(text, "ID", headerID+": "+id) }
	}
	stream := "HTTP/1.1 200 OK\r\nID\r\nContent-Type: " + eventStream + "\r\n\r\n"
	return map[string]endlessAnswer{
		"status line":       {begin("HTTP/1.1 200 "), same(long), asked},
		"one header":        {begin("HTTP/1.1 200 OK\r\nID\r\nA: "), same(long), asked},
		"many headers":      {begin("HTTP/1.1 200 OK\r\nID\r\n"), func(n int) string { return fmt.Sprintf("a%d: 1\r\n", n) }, asked},
		"interim answers":   {begin(""), same("HTTP/1.1 102 Processing\r\n\r\n"), asked},
		"body":              {begin("HTTP/1.1 200 OK\r\nID\r\n\r\n"), same(long), asked},
		"body of an error":  {begin("HTTP/1.1 500 Failed\r\nID\r\n\r\n"), same(long), asked},
		"chunks":            {begin("HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n"), same("1000\r\n" + long + "\r\n"), asked},
		"chunk extension":   {begin("HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n5;a="), same(long), asked},
		"trailers":          {begin("HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"), same("a: 1\r\n"), asked},
		"event of a stream": {begin(stream + "data: "), same(long), asked},
		"comments":          {begin(stream), same(": " + long + "\n"), asked},
		"head of a stream":  {begin("HTTP/1.1 200 OK\r\nID\r\nContent-Type: " + eventStream + "\r\nA: "), same(long), asked},
	}
}

// An answer without end took gigabytes of memory, and the request ended at its deadline. It is abandoned,
// counts as a failure of its endpoint, and the request goes on elsewhere.
func TestAnswerWithoutEndIsRetriedElsewhere(t *testing.T) {
	var asked atomic.Int64
	for name, kind := range endlessKinds(&asked) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSite(t, kind, newStreamingEndpoint(0))
			before := asked.Load()
			for n := 0; asked.Load() == before && n < 20; n++ { // Either endpoint may be chosen first.
				s.expectServed(g, fmt.Sprint("r", n), "")
			}
			g.Expect(asked.Load()).To(BeNumerically(">", before))
			g.Eventually(s.bufferedTotal.n.Load, testTimeout).Should(BeZero())
		})
	}
}

// All endpoints answer without end, to many requests at once: the memory of all answers together stays
// within its limit, and each request ends.
func TestAnswersWithoutEndStayWithinTheMemoryLimit(t *testing.T) {
	const (
		requests = 20
		limit    = 8 << 20
		// maxReserve is more than one reservation.
		maxReserve = 1 << 20
	)
	var asked atomic.Int64
	for name, kind := range endlessKinds(&asked) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSiteWith(t, func(r *fleet.Route) { r.Timeout, r.Kind = testTimeout, fleet.Repeatable }, kind, kind)
			s.bufferedTotal.limit = limit
			ctx, stopWatch := context.WithCancel(t.Context())
			most := int64(0)
			var watch, callers errgroup.Group
			watch.Go(func() error {
				return wait.Every(ctx, time.Millisecond, func() { most = max(most, s.bufferedTotal.n.Load()) })
			})
			for n := range requests {
				callers.Go(func() error {
					status, _, _, err := s.ask(fmt.Sprint("r", n))
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(status).To(BeNumerically(">=", http.StatusBadGateway))
					return nil
				})
			}
			g.Expect(callers.Wait()).To(Succeed())
			g.Eventually(s.bufferedTotal.n.Load, testTimeout).Should(BeZero())
			stopWatch()
			g.Expect(watch.Wait()).To(Succeed())
			g.Expect(most).To(BeNumerically("<=", limit+requests*maxReserve), "reservations that are refused count for a moment")
		})
	}
}
