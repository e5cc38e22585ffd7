// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/platform/standin"
)

// eventsText returns the events of a stream as they are on the wire.
func eventsText(id string, numbers ...int) string {
	var b strings.Builder
	for _, n := range numbers {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, standin.EventData(id, n))
	}
	return b.String()
}

func oneTo(n int) (list []int) {
	for i := range n {
		list = append(list, i+1)
	}
	return list
}

func TestReadEvents(t *testing.T) {
	const id = "0-1-2"
	complete := eventsText(id, oneTo(streamEvents)...)
	for _, tc := range []struct {
		name, text string
		err        error // Error after the text; nil for an orderly end.
		want       answer
	}{
		{name: "whole", text: complete, want: answer{complete: true}},
		{name: "short, with an orderly end", text: eventsText(id, oneTo(5)...),
			want: answer{complete: true, fault: "a stream that ended as whole after event 5 of 12"}},
		{name: "empty, with an orderly end", want: answer{complete: true, fault: "a stream that ended as whole after event 0 of 12"}},
		{name: "orderly end within an event", text: complete[:len(complete)-4],
			want: answer{complete: true, fault: "a stream that ended as whole after event 11 of 12"}},
		{name: "a duplicated event", text: eventsText(id, 1, 2, 2, 3), want: answer{fault: `event "0-1-2/2" where event 3 belongs`}},
		{name: "a gap", text: eventsText(id, 1, 2, 4), want: answer{fault: `event "0-1-2/4" where event 3 belongs`}},
		{name: "a gap hidden by its id", text: strings.Replace(complete, id+"/7\n", id+"/8\n", 1), want: answer{fault: `event "0-1-2/8" where event 7 belongs`}},
		{name: "an event of another request", text: eventsText(id, 1) + strings.Replace(eventsText("9-9-9", 2), "id: 2\n", "", 1), want: answer{fault: `event "9-9-9/2" where event 2 belongs`}},
		{name: "an event too many", text: eventsText(id, oneTo(streamEvents+1)...), want: answer{complete: true, fault: "a stream that ended as whole after event 13 of 12"}},
		{name: "text of another answer after the last event", text: complete + "internal error\n", want: answer{complete: true, fault: `a stream with line "internal error" after event 12, which is of no event`}},
		{name: "short, with text of another answer", text: eventsText(id, 1) + "internal error\n",
			want: answer{complete: true, fault: `a stream that ended as whole after event 1 of 12 with line "internal error" after event 1, which is of no event`}},
		{name: "a wrong id", text: strings.Replace(complete, "id: 4\n", "id: 5\n", 1), want: answer{complete: true, fault: `a stream with line "id: 5" after event 3, which is of no event`}},
		{name: "truncated stream", text: eventsText(id, 1, 2), err: io.ErrUnexpectedEOF},
		{name: "truncated by a reset", text: eventsText(id, 1, 2), err: syscall.ECONNRESET},
		{name: "truncated within an event", text: eventsText(id, 1, 2) + "id: 3\nda", err: io.ErrUnexpectedEOF},
		{name: "all events, but no orderly end", text: complete, err: syscall.ECONNRESET},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			body := io.Reader(strings.NewReader(tc.text))
			if tc.err != nil {
				body = io.MultiReader(body, iotest.ErrReader(tc.err))
			}
			g.Expect(readEvents(body, id)).To(Equal(tc.want))
		})
	}
}

// TestCallerReadsEachBehaviour checks how a caller of each HTTP/1.1 mode evaluates the answers of an
// endpoint, without a gateway between them.
func TestCallerReadsEachBehaviour(t *testing.T) {
	const id = "1-2-3"
	for _, tc := range []struct {
		behaviour standin.Behaviour
		stream    answer
		body      answer
	}{
		{standin.Serves, answer{complete: true}, answer{complete: true}},
		{standin.Truncates, answer{}, answer{}},
		{standin.AnswersTwice, answer{complete: true}, answer{complete: true}},
		{standin.Unframed, answer{complete: true}, answer{complete: true}},
		{standin.UnframedReset, answer{}, answer{}},
		{standin.Stalls, answer{}, answer{complete: true}},
	} {
		for _, s := range []connMode{modeKeepAlive, modeClose} {
			t.Run(fmt.Sprintf("%d over %s", tc.behaviour, s), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				runs := make(chan standin.Run, 2)
				srv := httptest.NewServer(&standin.Endpoint{Delay: time.Millisecond, OnRun: func(r standin.Run) { runs <- r }, Behave: func(string) standin.Behaviour { return tc.behaviour }})
				t.Cleanup(srv.Close)
				send := func(query string) *http.Response {
					r, err := http.NewRequest(http.MethodPost, srv.URL+"/x"+query, strings.NewReader("body"))
					g.Expect(err).NotTo(HaveOccurred())
					standin.SetCallHeaders(r.Header, id, "key", callerTimeout)
					client := http.Client{Transport: s.transport(), Timeout: time.Second}
					resp, err := client.Do(r)
					g.Expect(err).NotTo(HaveOccurred())
					t.Cleanup(func() { _ = resp.Body.Close() })
					g.Expect(standin.Signed(resp.Header, id)).To(BeTrue())
					return resp
				}
				g.Expect(readEvents(send(fmt.Sprintf("?events=%d", streamEvents)).Body, id)).To(Equal(tc.stream))
				g.Expect(readBody(send("").Body, id)).To(Equal(tc.body))
				g.Expect((<-runs).Behaviour).To(Equal(tc.behaviour))
			})
		}
	}
}

// TestHTTP10CallerDistinguishesEndFromReset uses a server that answers HTTP/1.0 callers as a gateway
// does.
func TestHTTP10CallerDistinguishesEndFromReset(t *testing.T) {
	const id = "1-2-3"
	for _, tc := range []struct {
		name  string
		sent  int
		reset bool
		want  answer
	}{
		{"whole", streamEvents, false, answer{complete: true}},
		{"short, orderly end", 5, false, answer{complete: true, fault: "a stream that ended as whole after event 5 of 12"}},
		{"short, reset", 5, true, answer{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			protos := make(chan string, 1)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				protos <- r.Proto + " " + r.Host
				w.(http.Flusher).Flush()
				_, _ = io.WriteString(w, eventsText(id, oneTo(tc.sent)...))
				w.(http.Flusher).Flush()
				if tc.reset {
					c, _, err := w.(http.Hijacker).Hijack()
					if err == nil {
						reset(c)
					}
				}
			}))
			t.Cleanup(srv.Close)
			client := http.Client{Transport: modeHTTP10.transport(), Timeout: time.Second}
			r, err := http.NewRequest(http.MethodPost, srv.URL+"/x", bytes.NewBufferString("body"))
			g.Expect(err).NotTo(HaveOccurred())
			r.Host = host
			resp, err := client.Do(r)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(<-protos).To(Equal("HTTP/1.0 " + host))
			g.Expect(readEvents(resp.Body, id)).To(Equal(tc.want))
			g.Expect(resp.Body.Close()).To(Succeed())
		})
	}
}
