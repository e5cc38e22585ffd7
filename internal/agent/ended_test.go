// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// breaker is an endpoint that breaks every answer off, and whose process ends with it if
// it is to.
func breaker(t *testing.T, ends bool, head string) (base string) {
	var srv *httptest.Server
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return // A question for its state.
		}
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		_, _ = io.WriteString(c, head)
		if ends {
			_ = srv.Listener.Close()
		}
		_ = c.Close()
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// endedIn returns what an answer says of the endpoint's process.
func endedIn(a answer) (life string) {
	if _, data, ok := strings.Cut(a.body, "event: "+wire.EventEnded+"\ndata: "); ok {
		var e wire.Ended
		if json.Unmarshal([]byte(data[:strings.Index(data, "\n")]), &e) == nil {
			return e.Life
		}
	}
	var r wire.Refusal
	if json.Unmarshal([]byte(a.body), &r) == nil && r.Ended != nil {
		return r.Ended.Life
	}
	return ""
}

func TestAnEndpointThatEndedIsToldFromAnAnswerThatBrokeOff(t *testing.T) {
	generate, err := json.Marshal(adapter.Generate{Prompt: "x", MaxTokens: 3})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for _, tc := range []struct {
		name   string
		engine bool
		head   string
	}{
		{"stream", true, streamHead},
		{"stream without a head", true, ""},
		{"call", false, ""},
	} {
		for _, ends := range []bool{true, false} {
			name := tc.name + " that broke off"
			if ends {
				name = tc.name + " whose endpoint ended"
			}
			t.Run(name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				base := breaker(t, ends, tc.head)
				var a answer
				if tc.engine {
					b := newBench(t, nil, adapter.NewEngine(base, &http.Client{Transport: adapter.NewSingleTransport("")}), nil)
					a = b.send(wire.Envelope{Kind: wire.KindStream, Customer: "c"}, string(generate))
				} else {
					once := &http.Client{Transport: adapter.NewSingleTransport("")}
					b := newBench(t, nil, nil, adapter.NewService(base, once, once))
					a = b.send(call(""), "x")
				}
				g.Expect(endedIn(a) != "").To(gomega.Equal(ends), a.body)
			})
		}
	}
}
