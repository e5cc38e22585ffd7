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

// topics are the first lines of prompts, shared by many requests, as the
// users' question types are.
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

// stream asks the model and follows the answer; a broken stream is resumed at
// the next entry after its last event.
func (r *runner) stream(ctx context.Context, j job) wire.Outcome {
	content := topics[j.n%len(topics)] + j.nonce
	prompt := "user: " + content + "\n"
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		r.cfg.Model, r.cfg.TokensPerAnswer, content)
	f := &follower{runner: r, prompt: prompt, start: time.Now()}
	var o wire.Outcome
	for attempt := range r.cfg.MaxAttempts {
		req, err := r.newRequest(ctx, j, attempt, http.MethodPost, "/v1/chat/completions", body)
		if err != nil {
			return ""
		}
		if f.last != "" {
			req.Header.Set(wire.HeaderResume, f.last)
		}
		o = f.follow(req)
		if o == wire.Done || o == wrong {
			break
		}
	}
	if o == wire.Done && f.next != r.cfg.TokensPerAnswer {
		return wrong
	}
	return o
}

// follower checks one answer over all its attempts.
type follower struct {
	runner *runner
	prompt string
	start  time.Time
	next   int    // Next token that is expected.
	last   string // Id of the last event.
	at     time.Time
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (f *follower) follow(req *http.Request) wire.Outcome {
	resp, err := f.runner.client.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return wire.Outcome(resp.Header.Get(wire.HeaderOutcome))
	}
	body := &endReader{r: resp.Body}
	frames := wire.NewFrameReader(body)
	var last wire.Refusal
	marker := false // The event after which nothing comes.
	for {
		fr, err := frames.Next()
		switch {
		case err != nil && body.orderly:
			return complete(resp, last.Outcome, marker)
		case err != nil && last.Outcome == wire.Done:
			return "" // The end did not come, so that "done" is not proven.
		case err != nil:
			return last.Outcome
		case marker:
			return wrong
		case last.Outcome == wire.Done && fr.ID == "" && fr.Event == "" && string(fr.Data) == "[DONE]":
			marker = true
		case last.Outcome != "":
			return wrong // After an outcome there is only the marker.
		case fr.Event == "outcome":
			_ = json.Unmarshal(fr.Data, &last) // An outcome that cannot be read counts as none.
		case !f.take(fr):
			return wrong
		}
	}
}

// complete judges a stream whose framing is complete: that claims a whole answer,
// and everything else must say the same.
func complete(resp *http.Response, o wire.Outcome, marker bool) wire.Outcome {
	if o != wire.Done || !marker || resp.Trailer.Get(wire.HeaderOutcome) != string(wire.Done) {
		return wrong
	}
	return wire.Done
}

// endReader notes whether what it reads ended in order.
type endReader struct {
	r       io.Reader
	orderly bool
}

func (e *endReader) Read(p []byte) (n int, err error) {
	n, err = e.r.Read(p)
	e.orderly = err == io.EOF
	return n, err
}

// take checks one token: the right text at the right place.
func (f *follower) take(fr wire.Frame) bool {
	var c chunk
	id, err := wire.ParseEventID(fr.ID)
	if err != nil || json.Unmarshal(fr.Data, &c) != nil || len(c.Choices) != 1 {
		return false
	}
	if id.Offset != f.next || c.Choices[0].Delta.Content != standin.Token(f.prompt, f.next) {
		return false
	}
	now := time.Now()
	f.runner.note(func(res *Result) {
		if f.next == 0 {
			_ = res.FirstToken.RecordValue(now.Sub(f.start).Microseconds())
		} else {
			_ = res.BetweenTokens.RecordValue(now.Sub(f.at).Microseconds())
		}
	})
	f.at, f.last = now, fr.ID
	f.next++
	return true
}

// payment mints a key and calls the service under it until the outcome is
// known or the attempts are used up.
func (r *runner) payment(ctx context.Context, j job) wire.Outcome {
	key := ""
	for attempt := 0; attempt < r.cfg.MaxAttempts && key == ""; attempt++ {
		key = r.mint(ctx, j, attempt)
	}
	if key == "" {
		return wire.NotRun
	}
	id := j.nonce
	said := wire.NotRun
	for attempt := range r.cfg.MaxAttempts {
		o := r.pay(ctx, j, attempt, key, id)
		if o == wire.Done || o == wrong {
			said = o
			break
		}
		if o != wire.NotRun {
			said = wire.Unknown // One doubt is not undone by a later "not run".
		}
		time.Sleep(20 * time.Millisecond << min(attempt, 6))
	}
	r.note(func(res *Result) { res.PaymentOutcomes[id] = said })
	return said
}

func (r *runner) mint(ctx context.Context, j job, attempt int) (key string) {
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
	_ = json.NewDecoder(resp.Body).Decode(&m) // No key is no key.
	return m.Key
}

func (r *runner) pay(ctx context.Context, j job, attempt int, key, id string) wire.Outcome {
	req, err := r.newRequest(ctx, j, attempt, http.MethodPost, r.cfg.Path+"pay?id="+id, "amount of "+id)
	if err != nil {
		return ""
	}
	req.Header.Set(wire.HeaderKey, key)
	return r.answer(req, id, "amount of "+id)
}

// read asks for a record; an entry that is gone is passed over, as the
// platform's balancer does.
func (r *runner) read(ctx context.Context, j job) wire.Outcome {
	var o wire.Outcome
	for attempt := 0; attempt < r.cfg.MaxAttempts && o != wire.Done && o != wrong; attempt++ {
		req, err := r.newRequest(ctx, j, attempt, http.MethodGet, r.cfg.Path+"record?id=r"+j.nonce, "")
		if err != nil {
			return ""
		}
		o = r.answer(req, "r"+j.nonce, "")
	}
	return o
}

// answer checks that the answer of a plain service is whole and its own.
func (r *runner) answer(req *http.Request, id, echo string) wire.Outcome {
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
