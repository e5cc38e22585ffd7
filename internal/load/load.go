// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

// Package load is an open-loop load generator: it sends requests to entries at a
// fixed rate, regardless of the answers. It checks that each answer is complete,
// in order and meant for its request, and that each payment ran as often as its
// outcome says. It needs stand-ins whose answers are determined by the request.
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
	"github.com/canvaspulley/canvaspulley/internal/httphead"
	"github.com/canvaspulley/canvaspulley/internal/wire"
)

// Caller is a customer with its bearer key.
type Caller struct {
	Name string
	Key  string
}

// Config configures a run.
type Config struct {
	Targets         []string // Callers' listeners of the entries, IP:port; used in turn.
	Rate            float64  // Requests per second.
	Duration        time.Duration
	Callers         []Caller
	Model           string
	Path            string  // Path of the plain service.
	StreamShare     float64 // Share of requests that are streams from the model.
	PaymentShare    float64 // Share of requests that must not run twice; the rest are reads.
	TokensPerAnswer int     // Tokens that a stream asks for.
	Deadline        time.Duration
	Seed            uint64
	MaxAttempts     int // Attempts per request: with one idempotency key, or to resume one stream.
}

// Result counts the requests of a run by outcome.
type Result struct {
	Sent      int `json:"sent"`
	Complete  int `json:"whole"`
	NotRun    int `json:"not_run"`
	Unknown   int `json:"unknown"`
	NoOutcome int `json:"broken"` // The last attempt ended without an outcome.
	Wrong     int `json:"wrong"`  // An incorrect token or service answer, or an incomplete answer that claims to be complete.

	FirstToken    *hdrhistogram.Histogram `json:"-"` // Time to the first token, in microseconds.
	BetweenTokens *hdrhistogram.Histogram `json:"-"` // Time between two tokens, in microseconds.
	Answer        *hdrhistogram.Histogram `json:"-"` // Time to the end of a complete answer, in microseconds.

	// PaymentOutcomes is the final outcome of each payment by id, for CheckPayments.
	PaymentOutcomes map[string]wire.Outcome `json:"-"`
}

// PaymentErrors counts the payments that ran more than once, or whose outcome
// contradicts what ran.
type PaymentErrors struct {
	Lost        int `json:"lost"`          // Reported as done, but did not run.
	Doubled     int `json:"doubled"`       // Ran more than once.
	FalseNotRun int `json:"false_not_run"` // Reported as not run, but ran.
}

// CheckPayments compares the reported outcomes of payments with the runs that the
// services counted.
func CheckPayments(outcomes map[string]wire.Outcome, runs map[string]int) (errs PaymentErrors) {
	for id, o := range outcomes {
		switch n := runs[id]; {
		case n > 1:
			errs.Doubled++
		case n == 0 && o == wire.Done:
			errs.Lost++
		case n == 1 && o == wire.NotRun:
			errs.FalseNotRun++
		}
	}
	return errs
}

// Histogram bounds in microseconds, and its precision.
const (
	minMicros         = 1
	maxMicros         = 120_000_000
	significantDigits = 3
)

// runner executes one run of a Config.
type runner struct {
	cfg    Config
	client *http.Client

	mu  sync.Mutex
	res Result
}

// Run sends requests at cfg.Rate until cfg.Duration is over or ctx ends, and waits
// for their answers.
func Run(ctx context.Context, cfg Config) (res Result, err error) {
	cfg.MaxAttempts = max(1, cfg.MaxAttempts)
	r := &runner{cfg: cfg, client: httphead.NewClient(adapter.NewTransport(""))}
	r.res = Result{
		PaymentOutcomes: map[string]wire.Outcome{},
		FirstToken:      hdrhistogram.New(minMicros, maxMicros, significantDigits),
		BetweenTokens:   hdrhistogram.New(minMicros, maxMicros, significantDigits),
		Answer:          hdrhistogram.New(minMicros, maxMicros, significantDigits),
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
		j := r.planRequest(n, rnd)
		g.Go(func() error {
			r.send(ctx, j)
			return nil
		})
	}
	err = g.Wait()
	return r.res, err
}

// job is one planned request.
type job struct {
	index  int
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

func (r *runner) planRequest(n int, rnd *rand.Rand) job {
	j := job{index: n, kind: kindRead, caller: r.cfg.Callers[rnd.IntN(len(r.cfg.Callers))]}
	j.nonce = nonce(rnd)
	switch draw := rnd.Float64(); {
	case draw < r.cfg.StreamShare:
		j.kind = kindStream
	case draw < r.cfg.StreamShare+r.cfg.PaymentShare:
		j.kind = kindPayment
	}
	return j
}

func (r *runner) send(ctx context.Context, j job) {
	r.record(func(res *Result) { res.Sent++ })
	start := time.Now()
	var o wire.Outcome
	switch j.kind {
	case kindStream:
		o = r.sendStream(ctx, j)
	case kindPayment:
		o = r.sendPayment(ctx, j)
	default:
		o = r.sendRead(ctx, j)
	}
	took := time.Since(start)
	r.record(func(res *Result) {
		switch o {
		case wire.Done:
			res.Complete++
			_ = res.Answer.RecordValue(took.Microseconds()) // Values out of bounds are not counted.
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

// wrong marks an incorrect answer: a token or a service's answer of another request,
// a token out of order, or an incomplete answer that was reported as done or framed as
// complete.
const wrong wire.Outcome = "wrong"

func (r *runner) record(f func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.res)
}

// target spreads requests, and the attempts of each request, over the entries.
func (r *runner) target(j job, attempt int) string {
	return r.cfg.Targets[(j.index+attempt)%len(r.cfg.Targets)]
}
