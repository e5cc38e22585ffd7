// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/standin"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// tokens is the number of tokens of an answer in these tests.
const tokens = 3

// answer writes one answer in the form that an entry uses.
type answer struct {
	w      http.ResponseWriter
	prompt string
}

func (e answer) flush() { _ = http.NewResponseController(e.w).Flush() }

func (e answer) write(text string) {
	_, _ = io.WriteString(e.w, text)
	e.flush()
}

// token writes an event with the offset n and the text of token m.
func (e answer) token(n, m int) {
	text, _ := json.Marshal(standin.Token(e.prompt, m))
	e.write(fmt.Sprintf("id: r/e/%d\ndata: {\"choices\":[{\"delta\":{\"content\":%s}}]}\n\n", n, text))
}

func (e answer) send(n int) {
	for i := range n {
		e.token(i, i)
	}
}

func (e answer) outcome(o wire.Outcome) {
	e.write(fmt.Sprintf("event: outcome\ndata: {\"outcome\":%q}\n\n", o))
}

func (e answer) trailer(o wire.Outcome) { e.w.Header().Set(wire.HeaderOutcome, string(o)) }

func (e answer) done() { e.write("data: [DONE]\n\n") }

func (e answer) complete() {
	e.send(tokens)
	e.trailer(wire.Done)
	e.outcome(wire.Done)
	e.done()
}

func (e answer) abort() { panic(http.ErrAbortHandler) }

// runAgainst sends one request, a stream if streamShare is 1, to a server with the
// given handler and returns the result of the load generator.
func runAgainst(t *testing.T, streamShare float64, attempts int, h http.HandlerFunc) Result {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	res, err := Run(context.Background(), Config{
		Targets: []string{srv.Listener.Addr().String()}, Rate: 1000, Duration: time.Millisecond,
		Callers: []Caller{{Name: "c", Key: "k"}}, Model: "m", Path: "/s/", StreamShare: streamShare, TokensPerAnswer: tokens, MaxAttempts: attempts,
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(res.Sent).To(Equal(1))
	return res
}

// runStream sends one stream and answers its attempts with the given functions; the
// last one also answers all further attempts.
func runStream(t *testing.T, attempts ...func(answer)) Result {
	t.Helper()
	var n atomic.Int32
	return runAgainst(t, 1, len(attempts), func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Messages []struct{ Content string }
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Trailer", wire.HeaderOutcome)
		attempts[min(int(n.Add(1)), len(attempts))-1](answer{w, "user: " + body.Messages[0].Content + "\n"})
	})
}

func TestStreamClassification(t *testing.T) {
	for _, one := range []struct {
		name string
		do   func(answer)
		want Result
	}{
		{"whole", answer.complete, Result{Complete: 1}},
		{"aborted with an outcome", func(e answer) { e.send(2); e.outcome(wire.Unknown); e.abort() }, Result{Unknown: 1}},
		{"aborted without an outcome", func(e answer) { e.send(2); e.abort() }, Result{NoOutcome: 1}},
		{"aborted after the last token", func(e answer) { e.send(tokens); e.abort() }, Result{NoOutcome: 1}},
		{"aborted after the outcome done", func(e answer) { e.send(tokens); e.outcome(wire.Done); e.abort() }, Result{NoOutcome: 1}},
		{"aborted after the marker", func(e answer) { e.complete(); e.abort() }, Result{NoOutcome: 1}},

		{"short, framed as complete", func(e answer) { e.send(2) }, Result{Wrong: 1}},
		{"short, framed as complete, not done", func(e answer) { e.send(2); e.trailer(wire.Unknown); e.outcome(wire.Unknown) }, Result{Wrong: 1}},
		{"ends inside an event, framed as complete", func(e answer) { e.send(2); e.write("id: r/e/2\ndata: ") }, Result{Wrong: 1}},
		{"empty, framed as complete", func(answer) {}, Result{Wrong: 1}},
		{"short, reported as done", func(e answer) { e.send(2); e.trailer(wire.Done); e.outcome(wire.Done); e.done() }, Result{Wrong: 1}},
		{"no marker", func(e answer) { e.send(tokens); e.trailer(wire.Done); e.outcome(wire.Done) }, Result{Wrong: 1}},
		{"no outcome", func(e answer) { e.send(tokens); e.trailer(wire.Done); e.done() }, Result{Wrong: 1}},
		{"no trailer", func(e answer) { e.send(tokens); e.outcome(wire.Done); e.done() }, Result{Wrong: 1}},
		{"trailer with another outcome", func(e answer) { e.send(tokens); e.trailer(wire.Unknown); e.outcome(wire.Done); e.done() }, Result{Wrong: 1}},
		{"marker after an outcome that is not done", func(e answer) { e.send(2); e.outcome(wire.Unknown); e.done(); e.abort() }, Result{Wrong: 1}},
		{"two outcomes", func(e answer) {
			e.send(tokens)
			e.trailer(wire.Done)
			e.outcome(wire.Done)
			e.outcome(wire.Unknown)
			e.done()
		}, Result{Wrong: 1}},
		{"outcome after the marker", func(e answer) { e.complete(); e.outcome(wire.Unknown) }, Result{Wrong: 1}},
		{"token after the marker", func(e answer) { e.complete(); e.token(tokens, tokens) }, Result{Wrong: 1}},
		{"gap in the ids", func(e answer) { e.token(0, 0); e.token(2, 2); e.abort() }, Result{Wrong: 1}},
		{"id repeated", func(e answer) { e.token(0, 0); e.token(0, 0); e.abort() }, Result{Wrong: 1}},
		{"text of another token", func(e answer) { e.token(0, 0); e.token(1, 2); e.abort() }, Result{Wrong: 1}},
		{"event without an id", func(e answer) {
			e.send(2)
			e.write("data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n")
			e.token(2, 2)
			e.trailer(wire.Done)
			e.outcome(wire.Done)
			e.done()
		}, Result{Wrong: 1}},
		{"longer than requested", func(e answer) {
			e.send(tokens + 1)
			e.trailer(wire.Done)
			e.outcome(wire.Done)
			e.done()
		}, Result{Wrong: 1}},
	} {
		t.Run(one.name, func(t *testing.T) {
			got := runStream(t, one.do)
			got.Sent, got.FirstToken, got.BetweenTokens, got.Answer, got.PaymentOutcomes = 0, nil, nil, nil, nil
			NewWithT(t).Expect(got).To(Equal(one.want))
		})
	}
}

func TestInterruptedStreamIsResumed(t *testing.T) {
	remaining := func(e answer, from int) {
		for i := from; i < tokens; i++ {
			e.token(i, i)
		}
		e.trailer(wire.Done)
		e.outcome(wire.Done)
		e.done()
	}
	for name, interrupt := range map[string]func(answer){
		"in the middle":        func(e answer) { e.send(2); e.abort() },
		"after an outcome":     func(e answer) { e.send(2); e.outcome(wire.Unknown); e.abort() },
		"after the last token": func(e answer) { e.send(tokens); e.abort() },
	} {
		t.Run(name, func(t *testing.T) {
			from := 2
			if name == "after the last token" {
				from = tokens
			}
			got := runStream(t, interrupt, func(e answer) { remaining(e, from) })
			NewWithT(t).Expect(got.Complete).To(Equal(1))
		})
	}
}

func TestPlainAnswerClassification(t *testing.T) {
	body := func(r *http.Request) string {
		return fmt.Sprintf(`{"id":%q,"run":1,"echo":""}`, r.URL.Query().Get("id"))
	}
	for _, one := range []struct {
		name string
		do   http.HandlerFunc
		want Result
	}{
		{"whole", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, body(r)) }, Result{Complete: 1}},
		{"aborted early", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, body(r)[:5])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, Result{NoOutcome: 1}},
		{"short, framed as complete", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, body(r)[:5]) }, Result{Wrong: 1}},
		{"more than one answer", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, body(r)+body(r)) }, Result{Wrong: 1}},
		{"answer to another request", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, strings.Replace(body(r), `"id":"r`, `"id":"x`, 1))
		}, Result{Wrong: 1}},
	} {
		t.Run(one.name, func(t *testing.T) {
			got := runAgainst(t, 0, 1, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(wire.HeaderOutcome, string(wire.Done))
				one.do(w, r)
			})
			got.Sent, got.FirstToken, got.BetweenTokens, got.Answer, got.PaymentOutcomes = 0, nil, nil, nil, nil
			NewWithT(t).Expect(got).To(Equal(one.want))
		})
	}
}
