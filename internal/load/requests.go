// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/canvaspulley/canvaspulley/internal/standin"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

func nonce(rnd *rand.Rand) string { return strconv.FormatUint(rnd.Uint64(), 36) }

// topics are prompt prefixes that many requests share, like the question types of
// the users.
var topics = []string{
	"Describe the plate: emulsion, exposure, defects and the field that it shows. ",
	"Summarise the logbook entry of the night and list what the observer noted. ",
	"Compare the two exposures and say which star has changed its brightness. ",
}

func (r *runner) newRequest(ctx context.Context, j job, attempt int, method, path, body string) (req *http.Request, err error) {
	req, err = http.NewRequestWithContext(ctx, method, "http://"+r.target(j, attempt)+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+j.caller.Key)
	if r.cfg.Deadline > 0 {
		req.Header.Set(wire.HeaderDeadline, strconv.FormatInt(r.cfg.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

// sendStream requests a stream from the model and checks it. It makes up to MaxAttempts
// attempts, each at the next entry, until one is done or wrong; a refusal is retried like
// an interrupted stream. An attempt resumes the stream after the last event received, or
// starts afresh if none has been received yet. The result is the outcome of the last
// attempt: "" if it had none or its request could not be created, wrong if it is done but
// the number of tokens is not TokensPerAnswer.
func (r *runner) sendStream(ctx context.Context, j job) wire.Outcome {
	content := topics[j.index%len(topics)] + j.nonce
	prompt := "user: " + content + "\n"
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		r.cfg.Model, r.cfg.TokensPerAnswer, content)
	checker := &streamChecker{runner: r, prompt: prompt, start: time.Now()}
	var o wire.Outcome
	for attempt := range r.cfg.MaxAttempts {
		req, err := r.newRequest(ctx, j, attempt, http.MethodPost, "/v1/chat/completions", body)
		if err != nil {
			return ""
		}
		if checker.lastID != "" {
			req.Header.Set(wire.HeaderResume, checker.lastID)
		}
		o = checker.readAttempt(req)
		if o == wire.Done || o == wrong {
			break
		}
	}
	if o == wire.Done && checker.nextToken != r.cfg.TokensPerAnswer {
		return wrong
	}
	return o
}

// streamChecker checks one streamed answer over all its attempts.
type streamChecker struct {
	runner    *runner
	prompt    string
	start     time.Time
	nextToken int    // Index of the token that is expected next.
	lastID    string // ID of the last event.
	lastAt    time.Time
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (s *streamChecker) readAttempt(req *http.Request) wire.Outcome {
	resp, err := s.runner.client.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return wire.Outcome(resp.Header.Get(wire.HeaderOutcome))
	}
	body := &eofReader{r: resp.Body}
	frames := wire.NewFrameReader(body)
	var last wire.Refusal
	sawDone := false // Set by the [DONE] event, after which nothing may follow.
	for {
		fr, err := frames.Next()
		switch {
		case err != nil && body.sawEOF:
			return checkComplete(resp, last.Outcome, sawDone)
		case err != nil && last.Outcome == wire.Done:
			return "" // The end was not received, so "done" is not confirmed.
		case err != nil:
			return last.Outcome
		case sawDone:
			return wrong
		case last.Outcome == wire.Done && fr.ID == "" && fr.Event == "" && string(fr.Data) == "[DONE]":
			sawDone = true
		case last.Outcome != "":
			return wrong // Only [DONE] may follow an outcome.
		case fr.Event == "outcome":
			_ = json.Unmarshal(fr.Data, &last) // An invalid outcome counts as none.
		case !s.checkToken(fr):
			return wrong
		}
	}
}

// checkComplete checks a stream whose framing is complete. The framing claims a
// complete answer, so the outcome, [DONE] and the trailer must agree with it.
func checkComplete(resp *http.Response, o wire.Outcome, sawDone bool) wire.Outcome {
	if o != wire.Done || !sawDone || resp.Trailer.Get(wire.HeaderOutcome) != string(wire.Done) {
		return wrong
	}
	return wire.Done
}

// eofReader records whether its reader ended with io.EOF, the regular end.
type eofReader struct {
	r      io.Reader
	sawEOF bool
}

func (e *eofReader) Read(p []byte) (n int, err error) {
	n, err = e.r.Read(p)
	e.sawEOF = err == io.EOF
	return n, err
}

// checkToken reports whether an event is the expected token, with its text and its
// offset, and records its latency.
func (s *streamChecker) checkToken(fr wire.Frame) bool {
	var c chunk
	id, err := wire.ParseEventID(fr.ID)
	if err != nil || json.Unmarshal(fr.Data, &c) != nil || len(c.Choices) != 1 {
		return false
	}
	if id.Offset != s.nextToken || c.Choices[0].Delta.Content != standin.Token(s.prompt, s.nextToken) {
		return false
	}
	now := time.Now()
	s.runner.record(func(res *Result) {
		if s.nextToken == 0 {
			_ = res.FirstToken.RecordValue(now.Sub(s.start).Microseconds())
		} else {
			_ = res.BetweenTokens.RecordValue(now.Sub(s.lastAt).Microseconds())
		}
	})
	s.lastAt, s.lastID = now, fr.ID
	s.nextToken++
	return true
}

// sendPayment requests an idempotency key and calls the service with it until the
// outcome is known or the attempts are used up.
func (r *runner) sendPayment(ctx context.Context, j job) wire.Outcome {
	key := ""
	for attempt := 0; attempt < r.cfg.MaxAttempts && key == ""; attempt++ {
		key = r.createKey(ctx, j, attempt)
	}
	if key == "" {
		return wire.NotRun
	}
	id := j.nonce
	outcome := wire.NotRun
	for attempt := range r.cfg.MaxAttempts {
		o := r.attemptPayment(ctx, j, attempt, key, id)
		if o == wire.Done || o == wrong {
			outcome = o
			break
		}
		if o != wire.NotRun {
			outcome = wire.Unknown // A later "not run" does not settle an earlier unknown outcome.
		}
		time.Sleep(20 * time.Millisecond << min(attempt, 6))
	}
	r.record(func(res *Result) { res.PaymentOutcomes[id] = outcome })
	return outcome
}

func (r *runner) createKey(ctx context.Context, j job, attempt int) (key string) {
	req, err := r.newRequest(ctx, j, attempt, http.MethodPost, "/v1/keys", fmt.Sprintf(`{"path":%q}`, r.cfg.Path))
	if err != nil {
		return ""
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	var m struct {
		Key string `json:"key"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&m) // An invalid answer counts as no key.
	return m.Key
}

func (r *runner) attemptPayment(ctx context.Context, j job, attempt int, key, id string) wire.Outcome {
	req, err := r.newRequest(ctx, j, attempt, http.MethodPost, r.cfg.Path+"pay?id="+id, "amount of "+id)
	if err != nil {
		return ""
	}
	req.Header.Set(wire.HeaderKey, key)
	return r.attemptCall(req, id, "amount of "+id)
}

// sendRead reads a record. It goes on to the next entry when one fails, as the
// platform's load balancer does.
func (r *runner) sendRead(ctx context.Context, j job) wire.Outcome {
	var o wire.Outcome
	for attempt := 0; attempt < r.cfg.MaxAttempts && o != wire.Done && o != wrong; attempt++ {
		req, err := r.newRequest(ctx, j, attempt, http.MethodGet, r.cfg.Path+"record?id=r"+j.nonce, "")
		if err != nil {
			return ""
		}
		o = r.attemptCall(req, "r"+j.nonce, "")
	}
	return o
}

// attemptCall sends one request to the plain service and checks that its answer is
// complete and belongs to the request.
func (r *runner) attemptCall(req *http.Request, id, echo string) wire.Outcome {
	resp, err := r.client.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	o := wire.Outcome(resp.Header.Get(wire.HeaderOutcome))
	if o != wire.Done {
		return o
	}
	var a standin.ServiceAnswer
	if json.Unmarshal(raw, &a) != nil || a.ID != id || a.Echo != echo {
		return wrong
	}
	return o
}
