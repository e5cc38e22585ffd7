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

// tokens is how many tokens an answer of these tests has.
const tokens = 3

// entry writes one answer as an entry might.
type entry struct {
	w      http.ResponseWriter
	prompt string
}

func (e entry) flush() { _ = http.NewResponseController(e.w).Flush() }

func (e entry) write(text string) {
	_, _ = io.WriteString(e.w, text)
	e.flush()
}

// token writes the event of token n with the text of token m.
func (e entry) token(n, m int) {
	text, _ := json.Marshal(standin.Token(e.prompt, m))
	e.write(fmt.Sprintf("id: r/e/%d\ndata: {\"choices\":[{\"delta\":{\"content\":%s}}]}\n\n", n, text))
}

func (e entry) upTo(n int) {
	for i := range n {
		e.token(i, i)
	}
}

func (e entry) outcome(o wire.Outcome) {
	e.write(fmt.Sprintf("event: outcome\ndata: {\"outcome\":%q}\n\n", o))
}

func (e entry) trailer(o wire.Outcome) { e.w.Header().Set(wire.HeaderOutcome, string(o)) }

func (e entry) marker() { e.write("data: [DONE]\n\n") }

func (e entry) whole() {
	e.upTo(tokens)
	e.trailer(wire.Done)
	e.outcome(wire.Done)
	e.marker()
}

func (e entry) cut() { panic(http.ErrAbortHandler) }

// answered runs one request of a kind against a server and returns what the load
// generator counts.
func answered(t *testing.T, k float64, attempts int, h http.HandlerFunc) Result {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	res, err := Run(context.Background(), Config{
		Targets: []string{srv.Listener.Addr().String()}, Rate: 1000, Duration: time.Millisecond,
		Callers: []Caller{{Name: "c", Key: "k"}}, Model: "m", Path: "/s/", StreamShare: k, TokensPerAnswer: tokens, MaxAttempts: attempts,
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(res.Sent).To(Equal(1))
	return res
}

// streamed answers a stream's attempts with the functions, the last one for all
// that follow.
func streamed(t *testing.T, list ...func(entry)) Result {
	t.Helper()
	var n atomic.Int32
	return answered(t, 1, len(list), func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Messages []struct{ Content string }
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Trailer", wire.HeaderOutcome)
		list[min(int(n.Add(1)), len(list))-1](entry{w, "user: " + body.Messages[0].Content + "\n"})
	})
}

func TestWhatAStreamCountsAs(t *testing.T) {
	for _, one := range []struct {
		name string
		do   func(entry)
		want Result
	}{
		{"whole", entry.whole, Result{Complete: 1}},
		{"broken off with an outcome", func(e entry) { e.upTo(2); e.outcome(wire.Unknown); e.cut() }, Result{Unknown: 1}},
		{"broken off without one", func(e entry) { e.upTo(2); e.cut() }, Result{NoOutcome: 1}},
		{"broken off after the last token", func(e entry) { e.upTo(tokens); e.cut() }, Result{NoOutcome: 1}},
		{"broken off after the outcome done", func(e entry) { e.upTo(tokens); e.outcome(wire.Done); e.cut() }, Result{NoOutcome: 1}},
		{"broken off after the marker", func(e entry) { e.whole(); e.cut() }, Result{NoOutcome: 1}},

		{"short, framed as whole", func(e entry) { e.upTo(2) }, Result{Wrong: 1}},
		{"short, framed as whole, not done", func(e entry) { e.upTo(2); e.trailer(wire.Unknown); e.outcome(wire.Unknown) }, Result{Wrong: 1}},
		{"ends inside an event, framed as whole", func(e entry) { e.upTo(2); e.write("id: r/e/2\ndata: ") }, Result{Wrong: 1}},
		{"empty, framed as whole", func(entry) {}, Result{Wrong: 1}},
		{"short, called done", func(e entry) { e.upTo(2); e.trailer(wire.Done); e.outcome(wire.Done); e.marker() }, Result{Wrong: 1}},
		{"no marker", func(e entry) { e.upTo(tokens); e.trailer(wire.Done); e.outcome(wire.Done) }, Result{Wrong: 1}},
		{"no outcome", func(e entry) { e.upTo(tokens); e.trailer(wire.Done); e.marker() }, Result{Wrong: 1}},
		{"no trailer", func(e entry) { e.upTo(tokens); e.outcome(wire.Done); e.marker() }, Result{Wrong: 1}},
		{"trailer says otherwise", func(e entry) { e.upTo(tokens); e.trailer(wire.Unknown); e.outcome(wire.Done); e.marker() }, Result{Wrong: 1}},
		{"marker after an outcome that is not done", func(e entry) { e.upTo(2); e.outcome(wire.Unknown); e.marker(); e.cut() }, Result{Wrong: 1}},
		{"two outcomes", func(e entry) {
			e.upTo(tokens)
			e.trailer(wire.Done)
			e.outcome(wire.Done)
			e.outcome(wire.Unknown)
			e.marker()
		}, Result{Wrong: 1}},
		{"outcome after the marker", func(e entry) { e.whole(); e.outcome(wire.Unknown) }, Result{Wrong: 1}},
		{"token after the marker", func(e entry) { e.whole(); e.token(tokens, tokens) }, Result{Wrong: 1}},
		{"gap in the ids", func(e entry) { e.token(0, 0); e.token(2, 2); e.cut() }, Result{Wrong: 1}},
		{"id repeated", func(e entry) { e.token(0, 0); e.token(0, 0); e.cut() }, Result{Wrong: 1}},
		{"text of another token", func(e entry) { e.token(0, 0); e.token(1, 2); e.cut() }, Result{Wrong: 1}},
		{"event without an id", func(e entry) {
			e.upTo(2)
			e.write("data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n")
			e.token(2, 2)
			e.trailer(wire.Done)
			e.outcome(wire.Done)
			e.marker()
		}, Result{Wrong: 1}},
		{"longer than asked for", func(e entry) {
			e.upTo(tokens + 1)
			e.trailer(wire.Done)
			e.outcome(wire.Done)
			e.marker()
		}, Result{Wrong: 1}},
	} {
		t.Run(one.name, func(t *testing.T) {
			got := streamed(t, one.do)
			got.Sent, got.FirstToken, got.BetweenTokens, got.Answer, got.PaymentOutcomes = 0, nil, nil, nil, nil
			NewWithT(t).Expect(got).To(Equal(one.want))
		})
	}
}

func TestAStreamThatWasCutIsResumedToItsEnd(t *testing.T) {
	rest := func(e entry, from int) {
		for i := from; i < tokens; i++ {
			e.token(i, i)
		}
		e.trailer(wire.Done)
		e.outcome(wire.Done)
		e.marker()
	}
	for name, cut := range map[string]func(entry){
		"in the middle":        func(e entry) { e.upTo(2); e.cut() },
		"after an outcome":     func(e entry) { e.upTo(2); e.outcome(wire.Unknown); e.cut() },
		"after the last token": func(e entry) { e.upTo(tokens); e.cut() },
	} {
		t.Run(name, func(t *testing.T) {
			from := 2
			if name == "after the last token" {
				from = tokens
			}
			got := streamed(t, cut, func(e entry) { rest(e, from) })
			NewWithT(t).Expect(got.Complete).To(Equal(1))
		})
	}
}

func TestWhatAPlainAnswerCountsAs(t *testing.T) {
	body := func(r *http.Request) string {
		return fmt.Sprintf(`{"id":%q,"run":1,"echo":""}`, r.URL.Query().Get("id"))
	}
	for _, one := range []struct {
		name string
		do   http.HandlerFunc
		want Result
	}{
		{"whole", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, body(r)) }, Result{Complete: 1}},
		{"broken off", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, body(r)[:5])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, Result{NoOutcome: 1}},
		{"short, framed as whole", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, body(r)[:5]) }, Result{Wrong: 1}},
		{"more than one answer", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, body(r)+body(r)) }, Result{Wrong: 1}},
		{"somebody else's", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, strings.Replace(body(r), `"id":"r`, `"id":"x`, 1))
		}, Result{Wrong: 1}},
	} {
		t.Run(one.name, func(t *testing.T) {
			got := answered(t, 0, 1, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(wire.HeaderOutcome, string(wire.Done))
				one.do(w, r)
			})
			got.Sent, got.FirstToken, got.BetweenTokens, got.Answer, got.PaymentOutcomes = 0, nil, nil, nil, nil
			NewWithT(t).Expect(got).To(Equal(one.want))
		})
	}
}
