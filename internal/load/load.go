// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package load sends requests to entries at a given rate, whatever comes back,
// and judges every answer: whole, in order, its own, run as often as was said.
// It relies on stand-ins whose answers follow from the request.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/canvaspulley/canvaspulley/internal/adapter"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Caller is one customer's key.
type Caller struct {
	Name string
	Key  string
}

// Config says what to send.
type Config struct {
	Targets         []string // Callers' listeners, IP:port; used in turn.
	Rate            float64  // Requests a second.
	Duration        time.Duration
	Callers         []Caller
	Model           string
	Path            string  // Path of the plain service.
	StreamShare     float64 // Share of streamed requests to the model.
	PaymentShare    float64 // Share of calls that may not be repeated; the rest reads.
	TokensPerAnswer int     // Tokens of an answer.
	Deadline        time.Duration
	Seed            uint64
	MaxAttempts     int // Attempts of a caller with one key, or to resume one stream.
}

// Result is what came back.
type Result struct {
	Sent      int `json:"sent"`
	Complete  int `json:"whole"`
	NotRun    int `json:"not_run"`
	Unknown   int `json:"unknown"`
	NoOutcome int `json:"broken"` // Ended without an outcome.
	Wrong     int `json:"wrong"`  // Not whole, out of order or somebody else's, yet called done or framed as complete.

	FirstToken    *hdrhistogram.Histogram `json:"-"` // Microseconds.
	BetweenTokens *hdrhistogram.Histogram `json:"-"`
	Answer        *hdrhistogram.Histogram `json:"-"`

	// PaymentOutcomes is the final word on each payment by its id, for Judge.
	PaymentOutcomes map[string]wire.Outcome `json:"-"`
}

// PaymentErrors compares what callers were told of payments with what ran.
type PaymentErrors struct {
	Lost        int `json:"lost"`          // Told done, did not run.
	Doubled     int `json:"doubled"`       // Ran more than once.
	FalseNotRun int `json:"false_not_run"` // Told not run, did run.
}

// CheckPayments compares the words on payments with the runs that services counted.
func CheckPayments(said map[string]wire.Outcome, runs map[string]int) (v PaymentErrors) {
	for id, o := range said {
		switch n := runs[id]; {
		case n > 1:
			v.Doubled++
		case n == 0 && o == wire.Done:
			v.Lost++
		case n == 1 && o == wire.NotRun:
			v.FalseNotRun++
		}
	}
	return v
}

// Histogram bounds, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 120_000_000
	digits        = 3
)

// runner is one run of a Config.
type runner struct {
	cfg    Config
	client *http.Client

	mu  sync.Mutex
	res Result
}

// Run sends at the rate until the duration is over or ctx ends, and waits for
// the answers.
func Run(ctx context.Context, cfg Config) (res Result, err error) {
	cfg.MaxAttempts = max(1, cfg.MaxAttempts)
	r := &runner{cfg: cfg, client: &http.Client{Transport: adapter.NewTransport("")}}
	r.res = Result{
		PaymentOutcomes: map[string]wire.Outcome{},
		FirstToken:      hdrhistogram.New(lowestMicros, highestMicros, digits),
		BetweenTokens:   hdrhistogram.New(lowestMicros, highestMicros, digits),
		Answer:          hdrhistogram.New(lowestMicros, highestMicros, digits),
	}
	defer r.client.CloseIdleConnections()
	g := &errgroup.Group{}
	rnd := rand.New(rand.NewPCG(cfg.Seed, 0))
	start := time.Now()
	for n := 0; ; n++ {
		at := start.Add(time.Duration(float64(n) / cfg.Rate * float64(time.Second)))
		if at.Sub(start) >= cfg.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(at))
		j := r.plan(n, rnd)
		g.Go(func() error {
			r.do(ctx, j)
			return nil
		})
	}
	err = g.Wait()
	return r.res, err
}

// job is one request that was planned.
type job struct {
	n      int
	kind   kind
	caller Caller
	nonce  string
}

type kind int

const (
	kindStream kind = iota
	kindPayment
	kindRead
)

func (r *runner) plan(n int, rnd *rand.Rand) job {
	j := job{n: n, kind: kindRead, caller: r.cfg.Callers[rnd.IntN(len(r.cfg.Callers))]}
	j.nonce = nonce(rnd)
	switch draw := rnd.Float64(); {
	case draw < r.cfg.StreamShare:
		j.kind = kindStream
	case draw < r.cfg.StreamShare+r.cfg.PaymentShare:
		j.kind = kindPayment
	}
	return j
}

func (r *runner) do(ctx context.Context, j job) {
	r.note(func(res *Result) { res.Sent++ })
	start := time.Now()
	var o wire.Outcome
	switch j.kind {
	case kindStream:
		o = r.stream(ctx, j)
	case kindPayment:
		o = r.payment(ctx, j)
	default:
		o = r.read(ctx, j)
	}
	took := time.Since(start)
	r.note(func(res *Result) {
		switch o {
		case wire.Done:
			res.Complete++
			_ = res.Answer.RecordValue(took.Microseconds()) // Beyond the bounds it is not counted.
		case wire.NotRun:
			res.NotRun++
		case wire.Unknown:
			res.Unknown++
		case wrong:
			res.Wrong++
		default:
			res.NoOutcome++
		}
	})
}

// wrong marks an answer that was called done or framed as complete and was not
// right.
const wrong wire.Outcome = "wrong"

func (r *runner) note(f func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.res)
}

// target spreads requests, and the attempts of one, over the entries.
func (r *runner) target(j job, attempt int) string {
	return r.cfg.Targets[(j.n+attempt)%len(r.cfg.Targets)]
}
